package route_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

func TestBudget(t *testing.T) {
	// All servers are too slow and every request fails. Each caller waits
	// longer and longer: the entry sends each request three times, which makes
	// the servers three times as slow. The budget keeps the added load small.
	var budget route.Budget
	now := time.Unix(1000, 0)
	requests, retries := 0, 0
	for range 10000 {
		now = now.Add(10 * time.Millisecond)
		requests++
		budget.Request(now)
		if budget.Retry(now) {
			retries++
		}
	}
	must.LessEq(t, requests/10+20, retries)
	must.Greater(t, requests/20, retries)
}
