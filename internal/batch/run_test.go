package batch

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
	s := newSampled(t, 10)
	s.maxTextBytes = 1 << 20
	event := strings.Repeat("x", 64<<10)
	s.startSampler(samplerSlots, func(w http.ResponseWriter, r *http.Request) {
		for number := 1; r.Context().Err() == nil && number < 1000; number++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, event)
		}
	})
	s.generateFirst(t.Context())
	item := s.plan.items[0]
	must.Eq(t, waiting, item.phase)
	must.SliceEmpty(t, item.events)
	must.Eq(t, 1, item.faults)
}
