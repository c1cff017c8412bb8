package rollout

import (
	"fmt"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// SampleError says that an attempt's answer isn't a whole sample.
type SampleError struct {
	Request string
	Problem string
}

// Error names the attempt.
func (e *SampleError) Error() string {
	return "sample " + e.Request + ": " + e.Problem
}

// SampleBuilder gathers the chunks of one attempt.
type SampleBuilder struct {
	text     []byte
	tokens   []int32
	logprobs []float32
	ranges   []*peerpb.Range
}

// Add takes a chunk. Its version is the one that the engine showed for these
// tokens, never the one that was ordered. It refuses tokens without a version.
func (a *SampleBuilder) Add(request string, chunk *peerpb.Chunk) error {
	tokens := uint32(len(chunk.GetTokens()))
	if tokens > 0 && chunk.GetVersion() == 0 {
		return &SampleError{Request: request, Problem: "the engine showed no weight version"}
	}
	a.text = append(a.text, chunk.GetData()...)
	from := uint32(len(a.tokens))
	a.tokens = append(a.tokens, chunk.GetTokens()...)
	a.logprobs = append(a.logprobs, chunk.GetLogprobs()...)
	if tokens == 0 {
		return nil
	}
	if last := len(a.ranges) - 1; last >= 0 && a.ranges[last].GetVersion() == chunk.GetVersion() {
		a.ranges[last].SetUntil(from + tokens)
		return nil
	}
	a.ranges = append(a.ranges, peerpb.Range_builder{From: from, Until: from + tokens, Version: chunk.GetVersion()}.Build())
	return nil
}

// Sample returns the whole sample, or an AnswerError if tokens are missing.
//
// An engine that resumes another one's answer may leave tokens out or repeat
// some; the sample would then teach what no version produced. The count in the
// end frame shows it, and the slot runs again.
func (a *SampleBuilder) Sample(attempt Attempt, open *peerpb.OpenRequest, end *peerpb.End) (*peerpb.Sample, error) {
	if err := a.check(attempt.ID(), end); err != nil {
		return nil, err
	}
	return peerpb.Sample_builder{
		Trainer:  open.GetTrainer(),
		Step:     open.GetStep(),
		Slot:     attempt.Slot(),
		Group:    attempt.Group(),
		Term:     attempt.Term(),
		Attempt:  attempt.Number(),
		Prompt:   attempt.Prompt(),
		Text:     string(a.text),
		Tokens:   a.tokens,
		Logprobs: a.logprobs,
		Versions: a.ranges,
		Finish:   end.GetFinish(),
		Request:  attempt.ID(),
	}.Build(), nil
}

func (a *SampleBuilder) check(request string, end *peerpb.End) error {
	if len(a.tokens) == 0 {
		return &SampleError{Request: request, Problem: "the answer has no tokens"}
	}
	if end.GetOutputTokens() != uint64(len(a.tokens)) {
		return &SampleError{Request: request, Problem: fmt.Sprintf("%d of %d tokens came", len(a.tokens), end.GetOutputTokens())}
	}
	if len(a.logprobs) > 0 && len(a.logprobs) != len(a.tokens) {
		return &SampleError{Request: request, Problem: fmt.Sprintf("%d log probabilities for %d tokens", len(a.logprobs), len(a.tokens))}
	}
	return checkRanges(request, a.ranges, uint32(len(a.tokens)))
}

// checkRanges refuses ranges that overlap, leave a gap or don't reach the end.
func checkRanges(request string, ranges []*peerpb.Range, tokens uint32) error {
	var until uint32
	for _, part := range ranges {
		if part.GetFrom() != until || part.GetUntil() <= part.GetFrom() {
			return &SampleError{Request: request, Problem: fmt.Sprintf("no version for tokens from %d on", until)}
		}
		until = part.GetUntil()
	}
	if until != tokens {
		return &SampleError{Request: request, Problem: fmt.Sprintf("versions for %d of %d tokens", until, tokens)}
	}
	return nil
}
