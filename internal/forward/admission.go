package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	// maxFullServers is the number of full servers that a request to an overloaded pool may find. Gateways that asked
	// all servers again every retryDelay sent 28 requests for each look-up.
	maxFullServers = 2
	// maxRetryAfterShare is the maximum Retry-After as a share of the time that the caller has left: callers wait no
	// longer.
	maxRetryAfterShare = 1.0 / 3
	// maxRetryAfterTargets is the maximum Retry-After of a request that found full servers, in latency targets: their
	// queues are served in less.
	maxRetryAfterTargets = 2
)

// Reasons for which a request ends without a further attempt; the metric's other reasons are those of
// admission.Decision.
const (
	reasonFull   = "full"
	reasonBudget = "retries"
)

// Admission decides which requests an overloaded pool gets. Its methods are safe for concurrent use.
type Admission interface {
	// Admit decides on the first attempt of a request.
	Admit(request admission.Request, now clock.Boot) admission.Decision
	// RecordTry records the first attempt of a request that Admit doesn't decide on.
	RecordTry(pool string)
	// RecordAnswer records how long a server took to answer a request of a route.
	RecordAnswer(pool, route string, target, took time.Duration, now clock.Boot)
	// RecordFull records that a server of a pool refused a request because it was full.
	RecordFull(pool string, now clock.Boot)
	// MayRetry reports whether a request may be sent once more.
	MayRetry(pool string, now clock.Boot) bool
	// IsOverloaded reports whether a pool drops requests or had a full server recently.
	IsOverloaded(pool string, now clock.Boot) bool
	// IsDropping reports whether a pool drops requests.
	IsDropping(pool string, now clock.Boot) bool
}

// gate applies the admission decisions to one request. A nil gate admits everything and records nothing.
type gate struct {
	decisions Admission
	metrics   *metrics
	request   *Request
	pool      string
	// full counts the servers that were full or refused the connection, as servers over their connection limit do.
	full int
}

// TakesPart reports whether admission applies to the requests of a route to a pool: the pool is a plain service, and the
// route has a latency target to keep. Batches for pools with models queue in the gateway.
func (f *Forwarder) TakesPart(route *table.Route, pool string) bool {
	return f.Admission != nil && route.LatencyTarget > 0 && (f.IsPlainPool == nil || f.IsPlainPool(pool))
}

// newGate returns the gate of a request to a pool, or nil if admission doesn't apply to it.
func (f *Forwarder) newGate(request *Request, pool string) *gate {
	if !f.TakesPart(request.Route, pool) {
		return nil
	}
	f.once.Do(func() { f.metrics = newMetrics(f.Metrics) })
	return &gate{decisions: f.Admission, metrics: f.metrics, request: request, pool: pool}
}

// admit returns the refusal of a request that its pool doesn't get. Calls of scorers are limited by their window
// before they come here.
func (g *gate) admit() error {
	if g == nil {
		return nil
	}
	if g.request.Class == admission.Scorers {
		g.decisions.RecordTry(g.pool)
		return nil
	}
	route, left := g.request.Route, g.request.left()
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = left
	}
	decision := g.decisions.Admit(admission.Request{
		Pool: g.pool, Route: route.Name, Account: g.request.Account, Class: g.request.Class,
		// Servers number priorities from 1; 0 means unspecified.
		Priority: max(g.request.Priority-1, 0),
		Target:   route.LatencyTarget, Timeout: timeout, Left: left,
	}, clock.Now())
	if decision.Admitted {
		return nil
	}
	g.metrics.countRefused(g.pool, g.request.Class, decision.Reason)
	klog.InfoS("admission: refused", "id", g.request.ID, "account", g.request.Account, "route", route.Name, "pool", g.pool, "reason", decision.Reason, "probability", decision.Probability, "delay", decision.Delay, "retry", decision.RetryAfter, "left", left)
	return refusal.NotRun(http.StatusServiceUnavailable, admission.CodeOverloaded, "pool %s is overloaded: %s", g.pool, decision.Reason).WithRetryAfter(decision.RetryAfter)
}

// recordAnswer records the time until a server's answer. A failure counts only if it came later than the target: a
// server that fails at once doesn't show the usual time of the route, and one that fails late was queueing.
func (g *gate) recordAnswer(status int, took time.Duration) {
	if g == nil || status >= http.StatusInternalServerError && took <= g.request.Route.LatencyTarget {
		return
	}
	g.decisions.RecordAnswer(g.pool, g.request.Route.Name, g.request.Route.LatencyTarget, took, clock.Now())
}

// recordFailure records an attempt without an answer. A server that is silent or resets connections is at fault, which
// says nothing about the pool's load.
func (g *gate) recordFailure(err error) {
	if g == nil {
		return
	}
	switch refusal.Of(err).Code {
	case backend.CodeFull:
		g.full++
		g.decisions.RecordFull(g.pool, clock.Now())
	case backend.CodeUnreachable:
		// A stopped server refuses connections too, so the refusal doesn't show that the pool is overloaded.
		g.full++
	}
}

// mayRetry reports whether a request may be sent to another server after a failed attempt. hasOpen states whether an open
// server has not been tried. While the pool drops nothing such a server is likely to have room, although some others are
// full, so the retry is free.
func (g *gate) mayRetry(hasOpen bool) bool {
	if g == nil || hasOpen && !g.decisions.IsDropping(g.pool, clock.Now()) {
		return true
	}
	if g.full >= maxFullServers && g.isOverloaded() {
		g.recordNoRetry(reasonFull)
		return false
	}
	if !g.decisions.MayRetry(g.pool, clock.Now()) {
		g.recordNoRetry(reasonBudget)
		return false
	}
	return true
}

// mayAskAgain reports whether a request that has tried all servers may ask them again.
func (g *gate) mayAskAgain() bool {
	if g == nil || g.full == 0 || !g.isOverloaded() {
		return true
	}
	g.recordNoRetry(reasonFull)
	return false
}

func (g *gate) isOverloaded() bool {
	return g != nil && g.decisions.IsOverloaded(g.pool, clock.Now())
}

func (g *gate) recordNoRetry(reason string) {
	g.metrics.countRefused(g.pool, g.request.Class, reason)
	klog.InfoS("admission: no further attempt", "id", g.request.ID, "account", g.request.Account, "route", g.request.Route.Name, "pool", g.pool, "reason", reason, "full", g.full, "left", g.request.left())
}

// refine makes the refusal of a request that certainly did not run that of an overloaded pool, if its last server was
// full or unreachable. Refused callers get different times to come back, so that they don't return all at once.
func (g *gate) refine(refused *refusal.Error) {
	if refused.Code != backend.CodeFull && refused.Code != backend.CodeUnreachable || !g.isOverloaded() {
		return
	}
	refused.Code = admission.CodeOverloaded
	refused.Message = "pool " + g.pool + " is overloaded: " + refused.Message
	longest := min(maxRetryAfterShare*float64(max(g.request.left(), fullRetryAfter)), float64(max(maxRetryAfterTargets*g.request.Route.LatencyTarget, fullRetryAfter)))
	refused.RetryAfter = time.Duration(longest * (1 + rand.Float64()) / 2)
}
