package backend

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// promptFields are the fields of a caller's body that an engine may see.
var promptFields = []string{
	"model", "prompt", "messages", "max_tokens", "max_completion_tokens", "temperature", "top_p", "top_k", "min_p",
	"stop", "seed", "presence_penalty", "frequency_penalty", "repetition_penalty", "logit_bias", "logprobs",
	"top_logprobs", "response_format", "tools", "tool_choice", "resume_tokens",
}

// prompt is the body of a request to an engine, with the tokens produced so far.
type prompt struct {
	fields map[string]json.RawMessage
	// given are the caller's own resume tokens, tokens those received since.
	given  []int32
	tokens []int32
	// sent is the number of tokens known when the prompt was sent last.
	sent int
	// sends is how often the prompt was sent.
	sends int
	// untold is true once text came without its tokens.
	untold bool
}

// newPrompt takes the allowed fields of a request's body.
func newPrompt(request *peerpb.RunRequest) (*prompt, error) {
	var body map[string]json.RawMessage
	if err := json.Unmarshal(request.GetBody(), &body); err != nil {
		return nil, eris.New("body is not a JSON object")
	}
	p := &prompt{fields: map[string]json.RawMessage{}}
	for _, name := range promptFields {
		if value, given := body[name]; given {
			p.fields[name] = value
		}
	}
	if resume := p.fields["resume_tokens"]; len(resume) > 0 {
		if err := json.Unmarshal(resume, &p.given); err != nil {
			return nil, eris.New("resume_tokens is not a list of whole numbers")
		}
	}
	p.fields["stream"] = json.RawMessage("true")
	return p, p.set("priority", request.GetPriority())
}

// encode returns the body to send, with all tokens known so far.
func (p *prompt) encode() ([]byte, error) {
	p.sent = len(p.tokens)
	p.sends++
	if resume := append(append([]int32(nil), p.given...), p.tokens...); len(resume) > 0 {
		if err := p.set("resume_tokens", resume); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(p.fields)
	return body, eris.Wrap(err, "encode body")
}

// mayResume reports whether the generation can go on after err: the connection
// was lost, tokens came since the prompt was sent last, and all are known. A
// connection that was silent from the first is tried anew once: it may have
// been an idle one that went silent long ago, while new ones work.
func (p *prompt) mayResume(err error) bool {
	var refused *refusal.Error
	if !errors.As(err, &refused) || p.untold {
		return false
	}
	if len(p.tokens) == p.sent {
		return p.sends == 1 && refused.Code == codeSilent
	}
	return refused.Code == codeCut || refused.Code == codeSilent
}

func (p *prompt) set(name string, value any) error {
	raw, err := json.Marshal(value)
	p.fields[name] = raw
	return eris.Wrap(err, "encode "+name)
}

// take notes the tokens of a chunk.
func (p *prompt) take(chunk *peerpb.Chunk) {
	p.untold = p.untold || len(chunk.GetTokens()) == 0
	p.tokens = append(p.tokens, chunk.GetTokens()...)
}
