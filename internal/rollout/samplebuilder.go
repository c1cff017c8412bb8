package rollout

import (
	"fmt"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// SampleError reports that the answer of an attempt is not a complete sample.
type SampleError struct {
	Request string
	Problem string
}

// Error names the attempt and the problem.
func (e *SampleError) Error() string {
	return "sample " + e.Request + ": " + e.Problem
}

// maxSampleBytes bounds the text of a sample; a message to another process holds a whole sample.
const maxSampleBytes = 4 << 20

// SampleBuilder collects the chunks of one attempt.
type SampleBuilder struct {
	text     []byte
	tokens   []int32
	logprobs []float32
	ranges   []*peerpb.Range
}

// Add appends a chunk. The chunk's version is the one that the engine reported for
// its tokens, never the version that the engine was ordered to load. Add rejects
// tokens without a version, and text without an end.
func (b *SampleBuilder) Add(request string, chunk *peerpb.Chunk) error {
	tokens := uint32(len(chunk.GetTokens()))
	if tokens > 0 && chunk.GetVersion() == 0 {
		return &SampleError{Request: request, Problem: "the engine showed no weight version"}
	}
	if len(b.text)+len(chunk.GetData()) > maxSampleBytes {
		return &SampleError{Request: request, Problem: fmt.Sprintf("the text has more than %d bytes", maxSampleBytes)}
	}
	b.text = append(b.text, chunk.GetData()...)
	from := uint32(len(b.tokens))
	b.tokens = append(b.tokens, chunk.GetTokens()...)
	b.logprobs = append(b.logprobs, chunk.GetLogprobs()...)
	if tokens == 0 {
		return nil
	}
	if last := len(b.ranges) - 1; last >= 0 && b.ranges[last].GetVersion() == chunk.GetVersion() {
		b.ranges[last].SetUntil(from + tokens)
		return nil
	}
	b.ranges = append(b.ranges, peerpb.Range_builder{From: from, Until: from + tokens, Version: chunk.GetVersion()}.Build())
	return nil
}

// Sample returns the complete sample, or a SampleError if tokens are missing.
//
// An engine that resumes another engine's answer may omit or repeat tokens; the
// trainer would then learn from text that no version produced. Sample detects this by
// the token count in the end frame, and the slot runs again.
func (b *SampleBuilder) Sample(attempt Attempt, open *peerpb.OpenRequest, end *peerpb.End) (*peerpb.Sample, error) {
	if err := b.check(attempt.ID(), end); err != nil {
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
		Text:     string(b.text),
		Tokens:   b.tokens,
		Logprobs: b.logprobs,
		Versions: b.ranges,
		Finish:   end.GetFinish(),
		Request:  attempt.ID(),
	}.Build(), nil
}

func (b *SampleBuilder) check(request string, end *peerpb.End) error {
	if len(b.tokens) == 0 {
		return &SampleError{Request: request, Problem: "the answer has no tokens"}
	}
	if end.GetOutputTokens() != uint64(len(b.tokens)) {
		return &SampleError{Request: request, Problem: fmt.Sprintf("%d of %d tokens came", len(b.tokens), end.GetOutputTokens())}
	}
	if len(b.logprobs) > 0 && len(b.logprobs) != len(b.tokens) {
		return &SampleError{Request: request, Problem: fmt.Sprintf("%d log probabilities for %d tokens", len(b.logprobs), len(b.tokens))}
	}
	return checkRanges(request, b.ranges, uint32(len(b.tokens)))
}

// checkRanges rejects ranges that overlap, leave a gap or do not reach the last token.
func checkRanges(request string, ranges []*peerpb.Range, tokens uint32) error {
	var until uint32
	for _, r := range ranges {
		if r.GetFrom() != until || r.GetUntil() <= r.GetFrom() {
			return &SampleError{Request: request, Problem: fmt.Sprintf("no version for tokens from %d on", until)}
		}
		until = r.GetUntil()
	}
	if until != tokens {
		return &SampleError{Request: request, Problem: fmt.Sprintf("versions for %d of %d tokens", until, tokens)}
	}
	return nil
}
