package gateway

import (
	"context"
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	// scoreShare of a pool's slots may be taken by one batch's texts.
	scoreShare = 0.5
	// leastScores are judged at the same time where few slots are known.
	leastScores = 4
)

// Scorer has the texts of batches judged through the routes of callers.
// Exported fields are set before the first call.
type Scorer struct {
	View      *table.View
	Forwarder *forward.Forwarder
	// Proof returns the proof of an answer.
	Proof func(answer *http.Response) string
}

var _ batch.Scorer = &Scorer{}

// Capacity returns how many texts may be judged by the scorer's pool at the same
// time: a half of its slots, so that callers of the same pool find the others.
func (s *Scorer) Capacity(scorer *statepb.Scorer) int {
	now := s.View.Current()
	if now == nil {
		return leastScores
	}
	route := now.Route(scorer.GetHost(), scorer.GetPath())
	if route == nil {
		return leastScores
	}
	slots := 0
	for _, share := range route.Shares {
		for _, entry := range s.Forwarder.Roster.Entries(share.Pool) {
			slots += entry.Slots
		}
	}
	return max(leastScores, int(scoreShare*float64(slots)))
}

// Score sends a scorer's request and returns the proof of its answer. Such
// requests need no key and may be repeated.
func (s *Scorer) Score(ctx context.Context, scorer *statepb.Scorer) (string, error) {
	now := s.View.Current()
	var route *table.Route
	if now != nil {
		route = now.Route(scorer.GetHost(), scorer.GetPath())
	}
	if route == nil {
		return "", refusal.NotRun(http.StatusNotFound, "no_route", "no route takes the scorer's path")
	}
	repeatable := *route
	repeatable.Kind = table.Idempotent
	// Only answers that the run failed count: one that its time was over says that
	// the server is slow, and nothing of the text.
	failures := 0
	answer, err := s.Forwarder.Run(ctx, &forward.Request{
		Request: backend.Request{
			ID:     scorer.GetId(),
			Host:   scorer.GetHost(),
			Method: http.MethodPost,
			Target: scorer.GetPath(),
			Header: http.Header{},
			Body:   scorer.GetBody(),
		},
		OnFailed: func() { failures++ },
		Route:  &repeatable,
		Deadline:  clock.Now().Add(routeTime(route)),
	})
	if err != nil && failures > 0 {
		return "", &batch.ScoreError{Failures: failures, MaxFailures: route.Attempts}
	}
	if err != nil {
		return "", err
	}
	defer answer.Finish()
	proof := s.Proof(answer.Response)
	if answer.StatusCode < http.StatusMultipleChoices && proof != "" && answer.Complete {
		return proof, nil
	}
	if failures > 0 {
		return "", &batch.ScoreError{Failures: failures, MaxFailures: route.Attempts}
	}
	return "", refusal.Unknown(http.StatusBadGateway, "not_judged", "the scorer answered %d without a whole proof", answer.StatusCode)
}

// Routes finds the routes of batches in a view.
func Routes(view *table.View) batch.Routes {
	return func(accepted *statepb.Batch) (batch.Route, bool) {
		now := view.Current()
		if now == nil {
			return batch.Route{}, false
		}
		route := now.Route(accepted.GetHost(), accepted.GetPath())
		if route == nil || route.Kind != table.Batch {
			return batch.Route{}, true
		}
		return batch.Route{
			Pool:  route.Pool(table.HashFraction(accepted.GetId())),
			Rules: batch.Rules{Attempts: route.Attempts, GiveUpAfter: route.GiveUpAfter, SingleVersion: route.SingleVersion},
		}, true
	}
}
