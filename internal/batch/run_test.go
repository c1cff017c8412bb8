package batch

import (
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
