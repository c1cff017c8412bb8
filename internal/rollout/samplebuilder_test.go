package rollout_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/rollout"
)

// Guards against a sample without end, which takes a process over its memory.
func TestSampleWithoutEnd(t *testing.T) {
	const chunks, maxChunks = 1 << 10, 16
	builder := &rollout.SampleBuilder{}
	chunk := peerpb.Chunk_builder{Data: make([]byte, 1<<20), Tokens: []int32{1}, Version: 1}.Build()
	var err error
	added := 0
	for ; err == nil && added < chunks; added++ {
		err = builder.Add("r1", chunk)
	}
	must.Error(t, err)
	must.LessEq(t, maxChunks, added)
}
