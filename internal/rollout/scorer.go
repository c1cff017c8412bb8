package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	scoreTimeout  = 30 * time.Second
	maxScoreBytes = 1 << 16
)

// ScoreError reports that the scorer returned no score.
type ScoreError struct {
	Status int
}

// Error names the HTTP status.
func (e *ScoreError) Error() string { return fmt.Sprintf("scorer: status %d", e.Status) }

// HTTPScorer calls a scorer over HTTP.
type HTTPScorer struct {
	address string
	service httpc.Service
}

var _ Scorer = &HTTPScorer{}

// NewHTTPScorer returns a client of the scorer at a base URL.
func NewHTTPScorer(address string) *HTTPScorer {
	return &HTTPScorer{address: address, service: listen.Client("scorer " + address)}
}

type scoreRequest struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

type scoreReply struct {
	Score *float64 `json:"score"`
}

// Score returns the score of a text. The call is idempotent.
func (s *HTTPScorer) Score(ctx context.Context, prompt, text string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	body, err := json.Marshal(scoreRequest{Prompt: prompt, Text: text})
	if err != nil {
		return 0, eris.Wrap(err, "encode sample")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.address+"/score", bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "ask scorer")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.service.DoRequest(request)
	if err != nil {
		return 0, eris.Wrap(err, "ask scorer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, &ScoreError{Status: response.StatusCode}
	}
	return readScore(response.Body)
}

func readScore(body io.Reader) (float64, error) {
	var reply scoreReply
	if err := json.NewDecoder(io.LimitReader(body, maxScoreBytes)).Decode(&reply); err != nil {
		return 0, eris.Wrap(err, "read score")
	}
	if reply.Score == nil {
		return 0, &ScoreError{Status: http.StatusOK}
	}
	return *reply.Score, nil
}
