package platform

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Rates of the key-value service.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// Faults are what the platform is told to do wrong.
type Faults struct {
	// Outage refuses all calls of the key-value service.
	Outage bool `json:"outage"`
	// Latency is added to each call, milliseconds.
	Latency int64 `json:"latency"`
	// LoseAnswers is how many changes take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
	// SilentWatches lets watches wait without ever answering.
	SilentWatches bool `json:"silent_watches"`
	// OldWatches lets watches answer with values that have been replaced since.
	OldWatches bool `json:"old_watches"`
	// IgnoreFences takes orders with an old fencing number.
	IgnoreFences bool `json:"ignore_fences"`
}

// Record is what the platform has been asked to do.
type Record struct {
	Orders  []platform.Order `json:"orders"`
	Refused []platform.Order `json:"refused"`
	Usage   []platform.Usage `json:"usage"`
	Reads   int              `json:"reads"`
	Writes  int              `json:"writes"`
	Watches int              `json:"watches"`
	Limited int              `json:"limited"`
}

// control holds faults and the record, and limits the rates.
type control struct {
	mutex  sync.Mutex
	faults Faults
	record Record
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newControl() *control {
	return &control{
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
}

// admit counts a call of the key-value service and answers it if it is refused.
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

// losesAnswer reports whether the answer of this change is to be lost.
func (c *control) losesAnswer() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.faults.LoseAnswers == 0 {
		return false
	}
	c.faults.LoseAnswers--
	return true
}

func (c *control) now() Faults {
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
