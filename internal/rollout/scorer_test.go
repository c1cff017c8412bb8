package rollout_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/rollout"
)

// Guards against a malformed answer of a scorer whose score is taken.
func TestMalformedScores(t *testing.T) {
	for name, text := range listentest.MalformedAnswers(http.StatusOK, "Content-Type: application/json\r\n", `{"score":1}`) {
		t.Run(name, func(t *testing.T) {
			server := listentest.StartRaw(t, func(*http.Request) string { return text })
			_, err := rollout.NewHTTPScorer("http://"+server.Address).Score(t.Context(), "prompt", "text")
			var malformed *http1.MalformedAnswerError
			must.True(t, errors.As(err, &malformed), must.Sprint(err))
		})
	}
}
