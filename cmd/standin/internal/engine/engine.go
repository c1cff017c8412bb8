// Package engine is a stand-in for a model engine with continuous batching, a
// queue, a prefix cache of limited size, weight versions that are swapped while
// requests run, and fault injection.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
)

// Faults are the faults that the engine injects.
type Faults struct {
	// Hang stops all output without closing connections.
	Hang bool `json:"hang"`
	// Slow multiplies the time of prefill and of each token; 0 means 1.
	Slow float64 `json:"slow"`
	// Cut closes the connection of each response after this many tokens; 0 disables the fault.
	Cut int `json:"cut"`
	// FailSwaps is the number of further weight swaps that fail.
	FailSwaps int `json:"fail_swaps"`
	// IgnoreFences accepts orders with a stale fencing token.
	IgnoreFences bool `json:"ignore_fences"`
	// Refuse rejects every completion request with 503.
	Refuse bool `json:"refuse"`
	// Version sets the weight version, as a restart would; 0 keeps the current one.
	Version uint64 `json:"version"`
}

// Engine simulates a model engine. Exported fields must be set before Routes is called.
type Engine struct {
	Model string
	// Slots is the maximum number of running requests.
	Slots int
	// Queue is the maximum number of queued requests.
	Queue int
	// TokenTime is the time to generate one token of a request, regardless of other requests.
	TokenTime time.Duration
	// PrefillTime is the time to process one prompt token that is not cached.
	PrefillTime time.Duration
	// SwapTime is the time to load a weight version, after its download.
	SwapTime time.Duration
	// LoadLag is the maximum age of the reported load.
	LoadLag time.Duration
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// Weights is the base URL of the weight store; empty skips the download.
	Weights string

	mutex        sync.Mutex
	faults       Faults
	version      uint64
	fence        uint64
	running      int
	waiting      []*waiter
	cache        cache
	reportedLoad loadReport
	reportedAt   time.Time
	requests     int
}

type loadReport struct {
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Slots   int    `json:"slots"`
	Version uint64 `json:"weight_version"`
	Model   string `json:"model"`
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// Routes returns the engine's endpoints and the control endpoints for tests.
func (e *Engine) Routes() []rest.Route {
	e.version = max(e.version, 1)
	e.cache.maxBlocks = e.CacheBlocks
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/completions", Handler: e.handleCompletion},
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: e.handleCompletion},
		{Method: http.MethodPost, Path: "/v1/orders", Handler: e.handleOrder},
		{Method: http.MethodGet, Path: "/v1/load", Handler: e.handleLoad},
		{Method: http.MethodGet, Path: "/healthz", Handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }},
		{Method: http.MethodPost, Path: "/control/faults", Handler: e.handleFaults},
		{Method: http.MethodGet, Path: "/control/record", Handler: e.handleRecord},
	}
}

// acquireSlot waits for a slot; it returns false if the queue is full or ctx is done.
func (e *Engine) acquireSlot(ctx context.Context, priority int) bool {
	e.mutex.Lock()
	if e.running < e.Slots {
		e.running++
		e.mutex.Unlock()
		return true
	}
	if len(e.waiting) >= e.Queue {
		e.mutex.Unlock()
		return false
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	e.waiting = append(e.waiting, w)
	e.mutex.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return e.cancelWait(w)
	}
}

// cancelWait removes a queued waiter; it returns true if the waiter already holds a slot.
func (e *Engine) cancelWait(w *waiter) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// releaseSlot passes the slot to the request that has waited longest among those with the lowest
// priority number.
func (e *Engine) releaseSlot() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	best := 0
	for i, w := range e.waiting {
		if w.priority < e.waiting[best].priority {
			best = i
		}
	}
	next := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	close(next.ready)
}

func (e *Engine) state() (Faults, uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults, e.version
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if time.Since(e.reportedAt) >= e.LoadLag {
		e.reportedAt = time.Now()
		e.reportedLoad = loadReport{Running: e.running, Queued: len(e.waiting), Slots: e.Slots, Version: e.version, Model: e.Model}
	}
	answer.JSON(w, http.StatusOK, e.reportedLoad)
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !answer.Read(w, r, &faults) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
	if e.faults.Version != 0 {
		e.version = e.faults.Version
		e.faults.Version = 0
	}
	answer.JSON(w, http.StatusOK, e.faults)
}

func (e *Engine) handleRecord(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	answer.JSON(w, http.StatusOK, map[string]any{
		"requests": e.requests, "version": e.version, "running": e.running, "queued": len(e.waiting),
	})
}
