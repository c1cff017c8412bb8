package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"net/http"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const scoreRetryInterval = 200 * time.Millisecond

// errNotNeeded ends an attempt whose sample can no longer be used.
var errNotNeeded = errors.New("rollout: the slot needs the attempt no more")

// completionRequest is the body of the request to an engine.
type completionRequest struct {
	Model       string  `json:"model"`
	Prompt      string  `json:"prompt"`
	MaxTokens   uint32  `json:"max_tokens,omitempty"`
	Temperature float64 `json:"temperature"`
	Seed        int64   `json:"seed"`
}

// execution runs one attempt.
type execution struct {
	holder  *Holder
	step    *Step
	attempt Attempt
	open    *peerpb.OpenRequest
	sample  SampleBuilder
}

func (e *execution) run(ctx context.Context) {
	sample, err := e.generate(ctx)
	if err != nil {
		e.fail(err)
		return
	}
	if e.finish(sample) {
		e.replicate(ctx, sample)
	}
}

// generate returns a complete, scored sample.
func (e *execution) generate(ctx context.Context) (*peerpb.Sample, error) {
	e.holder.Decisions.Record(e.attempt.ID(), "sample", "slot %d of step %d starts, second run %t", e.attempt.Slot(), e.open.GetStep(), e.attempt.IsSecondRun())
	end, err := e.holder.Runner.Run(ctx, e.request(), e.addFrame)
	if err != nil {
		return nil, err
	}
	sample, err := e.sample.Sample(e.attempt, e.open, end)
	if err != nil {
		return nil, err
	}
	return sample, e.score(ctx, sample)
}

func (e *execution) request() *peerpb.RunRequest {
	body, err := json.Marshal(completionRequest{
		Model:       e.open.GetModel(),
		Prompt:      e.attempt.Prompt(),
		MaxTokens:   e.open.GetMaxTokens(),
		Temperature: e.open.GetTemperature(),
		Seed:        seed(e.open, e.attempt),
	})
	if err != nil {
		body = nil
	}
	return peerpb.RunRequest_builder{
		Id:         e.attempt.ID(),
		Account:    e.open.GetAccount(),
		Pool:       e.open.GetModel(),
		Kind:       peerpb.Kind_KIND_COMPLETION,
		Method:     http.MethodPost,
		Body:       body,
		Weight:     e.open.GetWeight(),
		Priority:   e.open.GetPriority(),
		Timeout:    durationpb.New(e.holder.Timeout),
		Idempotent: true,
		Version:    e.attempt.MinVersion(),
	}.Build()
}

// seed returns the same value for all attempts at a slot, so that a second run
// generates the same answer. Otherwise the faster of two attempts would often be
// the one with the shorter answer.
func seed(open *peerpb.OpenRequest, attempt Attempt) int64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(attemptID(open.GetTrainer(), open.GetStep(), attempt.Slot(), 0, 0)))
	return int64(hash.Sum64() >> 1)
}

// addFrame adds a frame to the answer and ends the attempt once its sample is no
// longer needed.
func (e *execution) addFrame(frame *peerpb.Frame) error {
	if frame.WhichPart() != peerpb.Frame_Chunk_case {
		return nil
	}
	chunk := frame.GetChunk()
	if err := e.sample.Add(e.attempt.ID(), chunk); err != nil {
		return err
	}
	e.holder.mutex.Lock()
	defer e.holder.mutex.Unlock()
	if !e.step.Progress(e.attempt, len(chunk.GetTokens()), chunk.GetVersion(), time.Now()) {
		return errNotNeeded
	}
	return nil
}

// score retries the scorer until it answers or the attempt times out: the sample is
// complete, and generating it again would cost more.
func (e *execution) score(ctx context.Context, sample *peerpb.Sample) error {
	if e.holder.Scorer == nil {
		return nil
	}
	for {
		score, err := e.holder.Scorer.Score(ctx, sample.GetPrompt(), sample.GetText())
		if err == nil {
			sample.SetScore(score)
			return nil
		}
		if !pause.For(ctx, scoreRetryInterval) {
			return err
		}
	}
}

func (e *execution) fail(err error) {
	h := e.holder
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.removeRunning(e.step, e.attempt)
	h.Decisions.Record(e.attempt.ID(), "sample", "gave no sample: %v", err)
	e.recordFailure(err)
	h.notify()
}

// recordFailure reports the failure of the attempt to the step.
func (e *execution) recordFailure(err error) {
	var refused *refusal.Error
	switch {
	case !errors.As(err, &refused):
		e.step.Fail(e.attempt, 0, time.Now())
	case refusal.IsNotRun(err):
		e.step.Refuse(e.attempt, refused.RetryAfter, time.Now())
	default:
		e.step.Fail(e.attempt, refused.RetryAfter, time.Now())
	}
}

// finish reports whether the sample fills its slot; if so, it cancels the other
// attempts at the slot.
func (e *execution) finish(sample *peerpb.Sample) bool {
	h := e.holder
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.removeRunning(e.step, e.attempt)
	others := e.step.Others(e.attempt)
	if !e.step.Finish(e.attempt, sample, time.Now()) {
		h.Decisions.Record(e.attempt.ID(), "sample", "whole but not needed: slot %d has one, or it is stale", e.attempt.Slot())
		h.notify()
		return false
	}
	if h.step == e.step {
		h.cancelAttempts(others, "attempt "+e.attempt.ID()+" was first")
		h.Metrics.observe(e.step)
	}
	h.notify()
	return true
}

// replicate copies the sample to another process, then allows the step to commit it.
func (e *execution) replicate(ctx context.Context, sample *peerpb.Sample) {
	h := e.holder
	h.mutex.Lock()
	released := h.released
	h.released = nil
	h.mutex.Unlock()
	holders := h.Replicator.Replicate(ctx, sample, released)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	e.step.MarkReplicated(e.attempt, append([]string{h.Process}, holders...))
	h.notify()
}
