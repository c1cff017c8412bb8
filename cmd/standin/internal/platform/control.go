package platform

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Rate limits of the key-value service.
const (
	maxWritesPerSecond = 400
	maxReadsPerSecond  = 2000
)

// Faults are the faults that the platform injects.
type Faults struct {
	// Outage rejects all calls of the key-value service with 503.
	Outage bool `json:"outage"`
	// Latency delays each call of the key-value service, milliseconds.
	Latency int64 `json:"latency"`
	// LoseAnswers is the number of further changes that take effect without a response.
	LoseAnswers int `json:"lose_answers"`
	// SilentWatches keeps watches open without ever responding.
	SilentWatches bool `json:"silent_watches"`
	// OldWatches makes watches return the oldest event of their prefix.
	OldWatches bool `json:"old_watches"`
	// IgnoreFences accepts orders with a stale fencing token or an expired deadline.
	IgnoreFences bool `json:"ignore_fences"`
}

// Record holds the orders and usage reports received, and counts the calls.
type Record struct {
	Orders  []platform.Order `json:"orders"`
	Refused []platform.Order `json:"refused"`
	Usage   []platform.Usage `json:"usage"`
	Reads   int              `json:"reads"`
	Writes  int              `json:"writes"`
	Watches int              `json:"watches"`
	Limited int              `json:"limited"`
}

// control holds the faults and the record, and limits the rate of calls.
type control struct {
	mutex  sync.Mutex
	faults Faults
	record Record
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newControl() *control {
	return &control{
		reads:  rate.NewLimiter(maxReadsPerSecond, maxReadsPerSecond),
		writes: rate.NewLimiter(maxWritesPerSecond, maxWritesPerSecond),
	}
}

// admit counts a call of the key-value service and reports whether the call may proceed. It
// responds to rejected calls.
func (c *control) admit(w http.ResponseWriter, r *http.Request, isWrite bool) bool {
	c.mutex.Lock()
	faults := c.faults
	limiter := c.reads
	if isWrite {
		limiter = c.writes
		c.record.Writes++
	} else {
		c.record.Reads++
	}
	allowed := limiter.Allow()
	if !allowed {
		c.record.Limited++
	}
	c.mutex.Unlock()
	if faults.Latency > 0 {
		time.Sleep(time.Duration(faults.Latency) * time.Millisecond)
	}
	if faults.Outage {
		answer.Error(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	if !allowed {
		answer.Error(w, http.StatusTooManyRequests, "rate limit")
		return false
	}
	return r.Context().Err() == nil
}

// consumeLostAnswer reports whether to drop this response, and decrements LoseAnswers if so.
func (c *control) consumeLostAnswer() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.faults.LoseAnswers == 0 {
		return false
	}
	c.faults.LoseAnswers--
	return true
}

func (c *control) currentFaults() Faults {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.faults
}

func (c *control) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !answer.Read(w, r, &faults) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults = faults
	answer.JSON(w, http.StatusOK, faults)
}

func (c *control) handleRecord(w http.ResponseWriter, _ *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answer.JSON(w, http.StatusOK, c.record)
}
