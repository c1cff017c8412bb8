package gateway

import (
	"context"
	"net/http"
	"sync"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	// maxSlotShare is the maximum share of a pool's slots for the texts of one batch.
	maxSlotShare = 0.5
	// minScores is the number of texts scored concurrently if few slots are known.
	minScores = 4
)

// Scorer scores the texts of batches through the routes of callers. Exported fields are
// set before the first call.
type Scorer struct {
	View      *table.View
	Forwarder *forward.Forwarder
	// Proof returns the proof in an answer, or "" if it contains none.
	Proof func(answer *http.Response) string
	// Window returns how many calls this process may send concurrently to a plain pool, whose servers that answer
	// have a number of slots; nil limits the calls of each batch to its share of all slots.
	Window func(pool string, slots int) int

	mutex sync.Mutex
	// running counts the calls of all batches of this process to a pool.
	running map[string]int
}

var _ batch.Scorer = &Scorer{}

// Acquire reserves a call to the pool of a scorer. With Window the calls of all batches of this process to a pool count
// together, otherwise those of each batch.
func (s *Scorer) Acquire(scorer *statepb.Scorer, running int) (release func(), ok bool) {
	route, capacity := s.route(scorer), s.Capacity(scorer)
	if !s.hasWindow(route) {
		return func() {}, running < capacity
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, share := range route.Shares {
		if s.running[share.Pool] >= capacity {
			return nil, false
		}
	}
	s.add(route.Shares, 1)
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.add(route.Shares, -1)
	}, true
}

// add changes the number of running calls. A call to a route that is split counts in each of its pools, since its pool
// is drawn later.
func (s *Scorer) add(shares []table.Share, change int) {
	if s.running == nil {
		s.running = map[string]int{}
	}
	for _, share := range shares {
		s.running[share.Pool] += change
	}
}

// Capacity returns the maximum number of texts scored concurrently: half of the slots
// of the scorer's pool, which leaves the other half to callers, but at least minScores.
// With Window it is the window of the pool, at least 1.
func (s *Scorer) Capacity(scorer *statepb.Scorer) int {
	route := s.route(scorer)
	if route == nil {
		return minScores
	}
	if s.hasWindow(route) {
		window := 0
		for _, share := range route.Shares {
			window += s.Window(share.Pool, s.Forwarder.Roster.AnsweringSlots(share.Pool))
		}
		return max(1, window)
	}
	slots := 0
	for _, share := range route.Shares {
		for _, entry := range s.Forwarder.Roster.Entries(share.Pool) {
			slots += entry.Slots
		}
	}
	return max(minScores, int(maxSlotShare*float64(slots)))
}

// hasWindow reports whether the calls of a route are limited by windows: admission applies to all its pools.
func (s *Scorer) hasWindow(route *table.Route) bool {
	if s.Window == nil || route == nil {
		return false
	}
	for _, share := range route.Shares {
		if !s.Forwarder.TakesPart(route, share.Pool) {
			return false
		}
	}
	return true
}

// route returns the route of a scorer, or nil if none is known.
func (s *Scorer) route(scorer *statepb.Scorer) *table.Route {
	current := s.View.Current()
	if current == nil {
		return nil
	}
	return current.Route(scorer.GetHost(), scorer.GetPath())
}

// Score sends a scorer's request and returns the proof in the answer. Scoring requests
// need no key and may be repeated.
func (s *Scorer) Score(ctx context.Context, scorer *statepb.Scorer) (string, error) {
	route := s.route(scorer)
	if route == nil {
		return "", refusal.NotRun(http.StatusNotFound, "no_route", "no route takes the scorer's path")
	}
	repeatable := *route
	repeatable.Kind = table.Idempotent
	// Only failed runs count: a timeout indicates a slow server, not a faulty text.
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
		Class:    admission.Scorers,
		Route:    &repeatable,
		Deadline: clock.Now().Add(routeTimeout(route)),
	})
	if err != nil && failures > 0 {
		return "", &batch.ScoreError{Failures: failures, MaxFailures: route.MaxAttempts}
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
		return "", &batch.ScoreError{Failures: failures, MaxFailures: route.MaxAttempts}
	}
	return "", refusal.Unknown(http.StatusBadGateway, "not_judged", "the scorer answered %d without a whole proof", answer.StatusCode)
}

// Routes returns a function that looks up the route of a batch in the view.
func Routes(view *table.View) batch.Routes {
	return func(accepted *statepb.Batch) (batch.Route, bool) {
		current := view.Current()
		if current == nil {
			return batch.Route{}, false
		}
		route := current.Route(accepted.GetHost(), accepted.GetPath())
		if route == nil || route.Kind != table.Batch {
			return batch.Route{}, true
		}
		return batch.Route{
			Pool:  route.Pool(table.HashFraction(accepted.GetId())),
			Rules: batch.Rules{MaxFailures: route.MaxAttempts, GiveUpAfter: route.GiveUpAfter, SingleVersion: route.SingleVersion, DueAfter: route.DueAfter},
		}, true
	}
}
