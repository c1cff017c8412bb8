package rollout_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/rollout"
)

// Guards against a sample without end, which takes a process over its memory.
func TestSampleWithoutEnd(t *testing.T) {
	const maxBytes = 16 << 20
	for name, test := range map[string]struct {
		chunk peerpb.Chunk_builder
		// size is how much memory a chunk takes at least.
		size int
	}{
		"text":              {peerpb.Chunk_builder{Data: make([]byte, 1<<20), Tokens: []int32{1}}, 1 << 20},
		"tokens":            {peerpb.Chunk_builder{Tokens: make([]int32, 1<<18)}, 1 << 20},
		"log probabilities": {peerpb.Chunk_builder{Tokens: []int32{1}, Logprobs: make([]float32, 1<<18)}, 1 << 20},
		"versions":          {peerpb.Chunk_builder{Tokens: []int32{1}}, 64},
	} {
		t.Run(name, func(t *testing.T) {
			builder := &rollout.SampleBuilder{}
			var err error
			added := 0
			for ; err == nil && added < 2*maxBytes; added += test.size {
				test.chunk.Version = 1 + uint64(added/test.size)
				err = builder.Add("r1", test.chunk.Build())
			}
			must.Error(t, err)
			must.LessEq(t, maxBytes, added)
		})
	}
}
