package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Trainer sends the requests of one trainer of the client account.
// Exported fields are set before the first call. All calls are idempotent: a step
// is opened once, and a pull from the same place returns the same samples.
type Trainer struct {
	Client
	// Name is the trainer's name in the plan.
	Name string

	// newest is the newest version announced through this Trainer.
	newest atomic.Uint64
}

// Group requests samples of one prompt.
type Group struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// Step requests the samples of one training step.
type Step struct {
	Number uint64 `json:"step"`
	Model  string `json:"model"`
	// Staleness is how many versions a sample may lag behind the newest announced one.
	Staleness   uint64  `json:"staleness"`
	MaxTokens   int     `json:"max_tokens"`
	Temperature float64 `json:"temperature"`
	Groups      []Group `json:"groups"`
}

// Sample is one finished rollout.
type Sample struct {
	// Place is the position in the trainer's stream.
	Place    uint64    `json:"place"`
	Step     uint64    `json:"step"`
	Slot     uint32    `json:"slot"`
	Group    uint32    `json:"group"`
	Prompt   string    `json:"prompt"`
	Text     string    `json:"text"`
	Tokens   []int32   `json:"tokens"`
	Logprobs []float32 `json:"logprobs"`
	// Versions covers all tokens, in order.
	Versions []Range `json:"versions"`
	Finish   string  `json:"finish"`
	Score    float64 `json:"score"`
}

// Range is the weight version that produced the tokens from From up to Until.
type Range struct {
	From    uint32 `json:"from"`
	Until   uint32 `json:"until"`
	Version uint64 `json:"version"`
}

// Pulled is the result of Trainer.Pull.
type Pulled struct {
	Samples []Sample `json:"samples"`
	// Next is the place of the next pull, which acknowledges all samples before it.
	Next uint64 `json:"next"`
	// Done is true once all samples of the step are delivered.
	Done bool `json:"done"`
}

// Announce reports that a weight version is in the weight store. Later pulls send the
// version, so that a process that doesn't know the version yet delivers no stale
// sample.
func (t *Trainer) Announce(ctx context.Context, model string, version uint64) error {
	t.raiseNewest(version)
	body := map[string]any{"model": model, "version": version}
	return t.call(ctx, http.MethodPost, t.path("weights"), "", body, nil)
}

// Open opens a step and returns its first place in the trainer's stream.
func (t *Trainer) Open(ctx context.Context, step Step) (uint64, error) {
	var reply struct {
		Place uint64 `json:"place"`
	}
	err := t.call(ctx, http.MethodPost, t.path("steps"), "", step, &reply)
	return reply.Place, err
}

// Pull returns up to limit samples from a place on. It waits up to wait for the first
// sample and acknowledges all samples before the place.
func (t *Trainer) Pull(ctx context.Context, place uint64, limit int, wait time.Duration) (Pulled, error) {
	query := url.Values{
		"place": {strconv.FormatUint(place, 10)},
		"max":   {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	if newest := t.newest.Load(); newest > 0 {
		query.Set("version", strconv.FormatUint(newest, 10))
	}
	var result Pulled
	err := t.call(ctx, http.MethodGet, t.path("samples")+"?"+query.Encode(), "", nil, &result)
	return result, err
}

func (t *Trainer) raiseNewest(version uint64) {
	for known := t.newest.Load(); known < version; known = t.newest.Load() {
		if t.newest.CompareAndSwap(known, version) {
			return
		}
	}
}

func (t *Trainer) path(part string) string {
	return fmt.Sprintf("/v1/trainers/%s/%s", url.PathEscape(t.Name), part)
}
