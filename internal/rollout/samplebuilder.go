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

const (
	// maxSampleBytes bounds a sample; a message to another process holds a whole sample.
	maxSampleBytes = 4 << 20
	// rangeBytes is the size of a Range in memory.
	rangeBytes = 64
)

// SampleBuilder collects the chunks of one attempt.
type SampleBuilder struct {
	text     []byte
	tokens   []int32
	logprobs []float32
	ranges   []*peerpb.Range
	// size is the number of bytes of the chunks so far.
	size int
}

// Add appends a chunk. The chunk's version is the one that the engine reported for
// its tokens, never the version that the engine was ordered to load. Add rejects
// tokens without a version, and chunks without an end.
func (b *SampleBuilder) Add(request string, chunk *peerpb.Chunk) error {
	tokens := uint32(len(chunk.GetTokens()))
	if tokens > 0 && chunk.GetVersion() == 0 {
		return &SampleError{Request: request, Problem: "the engine showed no weight version"}
	}
	if b.size += b.sizeOf(chunk); b.size > maxSampleBytes {
		return &SampleError{Request: request, Problem: fmt.Sprintf("the chunks have more than %d bytes", maxSampleBytes)}
	}
	b.text = append(b.text, chunk.GetData()...)
	from := uint32(len(b.tokens))
	b.tokens = append(b.tokens, chunk.GetTokens()...)
	b.logprobs = append(b.logprobs, chunk.GetLogprobs()...)
	switch {
	case tokens == 0:
	case b.startsRange(chunk):
		b.ranges = append(b.ranges, peerpb.Range_builder{From: from, Until: from + tokens, Version: chunk.GetVersion()}.Build())
	default:
		b.ranges[len(b.ranges)-1].SetUntil(from + tokens)
	}
	return nil
}

// startsRange reports whether the version of a chunk's tokens differs from that of the tokens before.
func (b *SampleBuilder) startsRange(chunk *peerpb.Chunk) bool {
	last := len(b.ranges) - 1
	return last < 0 || b.ranges[last].GetVersion() != chunk.GetVersion()
}

// sizeOf returns the number of bytes that a chunk adds to the sample.
func (b *SampleBuilder) sizeOf(chunk *peerpb.Chunk) int {
	size := len(chunk.GetData()) + 4*len(chunk.GetTokens()) + 4*len(chunk.GetLogprobs())
	if len(chunk.GetTokens()) > 0 && b.startsRange(chunk) {
		size += rangeBytes
	}
	return size
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
