// Package engine is a small stand-in for a model engine: continuous batching
// with a token rate and a queue, a prefix cache in limited memory, weight
// versions that are swapped while requests run, and faults on demand.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
)

// Faults are what the engine is told to do wrong.
type Faults struct {
	// Hang stops all output without closing connections.
	Hang bool `json:"hang"`
	// Slow multiplies the time of each token; 0 is 1.
	Slow float64 `json:"slow"`
	// Cut closes each answer after this many tokens; 0 never does.
	Cut int `json:"cut"`
	// FailSwaps is how many swaps of weights fail.
	FailSwaps int `json:"fail_swaps"`
	// IgnoreFences takes orders with an old fencing number.
	IgnoreFences bool `json:"ignore_fences"`
	// Refuse answers every request with 503.
	Refuse bool `json:"refuse"`
	// Version restarts the engine on this version; 0 leaves it.
	Version uint64 `json:"version"`
}

// Engine is the stand-in. Exported fields are set before Routes is called.
type Engine struct {
	Model string
	// Slots is how many requests run at the same time.
	Slots int
	// Queue is how many wait.
	Queue int
	// TokenTime is the time of one token of one request while others run too.
	TokenTime time.Duration
	// PrefillTime is the time of one prompt token that is not in the cache.
	PrefillTime time.Duration
	// SwapTime is the time that loading a weight version takes.
	SwapTime time.Duration
	// LoadLag is how old a reported load may be.
	LoadLag time.Duration
	// CacheBlocks is how many blocks of prompt prefixes are cached.
	CacheBlocks int
	// Weights is the base URL of the weight store; empty fetches nothing.
	Weights string

	mutex    sync.Mutex
	faults   Faults
	version  uint64
	fence    uint64
	running  int
	waiting  []*waiter
	cache    cache
	reported load
	at       time.Time
	requests int
}

type load struct {
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

// Routes returns the engine's interface and the control endpoints of tests.
func (e *Engine) Routes() []rest.Route {
	e.version = max(e.version, 1)
	e.cache.size = e.CacheBlocks
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

// enter waits for a slot; it returns false if the queue is full or the caller left.
func (e *Engine) enter(ctx context.Context, priority int) bool {
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
		return e.leaveQueue(w)
	}
}

// leaveQueue takes a waiter out; one that got its slot meanwhile keeps it.
func (e *Engine) leaveQueue(w *waiter) bool {
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

// leave gives the slot to the first waiter of the lowest priority number.
func (e *Engine) leave() {
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

func (e *Engine) now() (Faults, uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults, e.version
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if time.Since(e.at) >= e.LoadLag {
		e.at = time.Now()
		e.reported = load{Running: e.running, Queued: len(e.waiting), Slots: e.Slots, Version: e.version, Model: e.Model}
	}
	answer.JSON(w, http.StatusOK, e.reported)
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
