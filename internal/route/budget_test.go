package route_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

func TestBudget(t *testing.T) {
	// Guards against a retry storm: all servers are overloaded, every request
	// fails, and three attempts for each would triple the load and the latency.
	var budget route.Budget
	now := time.Unix(1000, 0)
	requests, retries := 0, 0
	for range 10000 {
		now = now.Add(10 * time.Millisecond)
		requests++
		budget.CountRequest(now)
		if budget.AllowRetry(now) {
			retries++
		}
	}
	must.LessEq(t, requests/10+20, retries)
	must.Greater(t, requests/20, retries)
}
