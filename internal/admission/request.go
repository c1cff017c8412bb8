// Package admission decides which requests an overloaded pool of plain servers gets.
//
// It answers bursts of several times the pool's capacity, also while most of its servers are lost: without it, servers
// spend their time on requests that are already late, and gateways repeat requests that full servers refuse.
package admission

import "time"

// Class is the kind of sender of a request.
type Class int

// Classes, in descending order of precedence.
const (
	// Callers wait for the answer.
	Callers Class = iota
	// Scorers send the calls that score generated texts, which can wait.
	Scorers
)

// Request describes a request to a pool.
type Request struct {
	Pool    string
	Route   string
	Account string
	Class   Class
	// Priority is highest at 0.
	Priority int
	// Target is the latency target of the route; 0 admits every request.
	Target time.Duration
	// Timeout is the timeout of the route.
	Timeout time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

// Decision states whether a request is admitted, and what decided it.
type Decision struct {
	Admitted bool
	// RetryAfter is when the caller should come back if the request is refused. It is also set for
	// an admitted request, since full servers may refuse it afterwards.
	RetryAfter time.Duration
	// Reason names the rule that refused the request; "" if it is admitted.
	Reason string
	// Probability is the drop probability that applied to the request.
	Probability float64
	// Delay is the estimated queueing delay of the pool.
	Delay time.Duration
}
