// Package scorer is a stand-in for a service that scores samples.
package scorer

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
)

type scoreRequest struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Routes returns the scorer's endpoint; the score is the length of the text in bytes.
func Routes() []rest.Route {
	return []rest.Route{{Method: http.MethodPost, Path: "/score", Handler: handleScore}}
}

func handleScore(w http.ResponseWriter, r *http.Request) {
	var request scoreRequest
	if answer.Read(w, r, &request) {
		answer.JSON(w, http.StatusOK, map[string]float64{"score": float64(len(request.Text))})
	}
}
