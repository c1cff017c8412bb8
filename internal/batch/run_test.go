package batch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

func TestStallTimeout(t *testing.T) {
	for name, test := range map[string]struct{ pace, want time.Duration }{
		"no pace is known": {0, silenceTimeout},
		"fast":             {50 * time.Millisecond, minStallTimeout},
		"slow":             {120 * time.Millisecond, 960 * time.Millisecond},
		"very slow":        {300 * time.Millisecond, silenceTimeout},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, stallTimeout(test.pace)) })
	}
}

// Guards against a text without end, which takes a process over its memory and which the store could not hold.
func TestTextWithoutEnd(t *testing.T) {
	for name, data := range map[string]string{"events with data": strings.Repeat("x", 256), "events without data": ""} {
		t.Run(name, func(t *testing.T) {
			const maxTextBytes, events = 4 << 10, 1 << 10
			s := newSampled(t, 10)
			s.maxTextBytes = maxTextBytes
			s.startSampler(samplerSlots, func(w http.ResponseWriter, r *http.Request) {
				for number := 1; r.Context().Err() == nil && number < events; number++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, data)
				}
			})
			s.generateFirst(t.Context())
			item := s.plan.items[0]
			must.Eq(t, waiting, item.phase)
			must.SliceEmpty(t, item.events)
			must.Eq(t, 1, item.faults)
		})
	}
}

// fixedScorer returns the same proof for all texts.
type fixedScorer struct {
	scorer

	proof string
}

func (s *fixedScorer) Score(context.Context, *statepb.Scorer) (string, error) { return s.proof, nil }

// Guards against a proof that isn't valid UTF-8, which could not be stored and held up all outcomes of the batch.
func TestInvalidProof(t *testing.T) {
	s := newSampled(t, 10)
	job := mustGenerate(t, s.plan, mustStart(t, s.plan, clock.Now(), "i0"), 3, "a")
	mustScore := func(proof string, want phase) {
		t.Helper()
		s.scorer = &fixedScorer{proof: proof}
		s.score(t.Context(), job, func() {})
		must.Eq(t, want, s.plan.items[0].phase)
	}
	mustScore("\xff", unscored)
	mustScore("proof", settled)
}

// Guards against an event that isn't valid UTF-8: its text could not be stored, and held up all outcomes of the batch.
func TestEventWithInvalidText(t *testing.T) {
	s := newSampled(t, 10)
	s.startSampler(samplerSlots, func(w http.ResponseWriter, _ *http.Request) {
		if s.reached.Load() > 1 {
			_, _ = fmt.Fprint(w, "id: 2\ndata: y\n\n")
			return
		}
		_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\nid: 2\ndata: \xff\n\n")
	})
	s.generateFirst(t.Context())
	item := s.plan.items[0]
	must.Eq(t, waiting, item.phase)
	must.Eq(t, []string{"x"}, item.events)
	s.register()
	s.startAll(clock.Now().Add(maxFaultPause))
	must.Eq(t, unscored, item.phase)
	must.Eq(t, []string{"x", "y"}, item.events)
}
