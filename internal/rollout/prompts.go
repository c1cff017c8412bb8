package rollout

import (
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// EncodePrompts returns the value of the key that holds a step's prompts. It is
// written once a step, so that the often written state stays small.
func EncodePrompts(open *peerpb.OpenRequest) []byte {
	prompts := statepb.Prompts_builder{Step: open.GetStep()}.Build()
	texts := make([]string, 0, len(open.GetPrompts()))
	for _, prompt := range open.GetPrompts() {
		texts = append(texts, prompt.GetText())
	}
	prompts.SetPrompts(texts)
	return encode(prompts)
}

// encode returns the same bytes for the same message. Encoding can only fail
// for text that isn't UTF-8, which is refused where it enters.
func encode(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}
