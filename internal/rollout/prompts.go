package rollout

import (
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// EncodePrompts returns the stored value of a step's prompts. It is written once per
// step, so that the frequently written state stays small.
func EncodePrompts(open *peerpb.OpenRequest) []byte {
	prompts := statepb.Prompts_builder{Step: open.GetStep()}.Build()
	texts := make([]string, 0, len(open.GetPrompts()))
	for _, prompt := range open.GetPrompts() {
		texts = append(texts, prompt.GetText())
	}
	prompts.SetPrompts(texts)
	return encode(prompts)
}

// encode marshals a message deterministically. Marshaling fails only for text that is
// not UTF-8, which is rejected on input.
func encode(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}
