package backend

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// promptFields are the fields of a caller's body that are passed to an engine.
var promptFields = []string{
	"model", "prompt", "messages", "max_tokens", "max_completion_tokens", "temperature", "top_p", "top_k", "min_p",
	"stop", "seed", "presence_penalty", "frequency_penalty", "repetition_penalty", "logit_bias", "logprobs",
	"top_logprobs", "response_format", "tools", "tool_choice", "resume_tokens",
}

// prompt is the body of a request to an engine, with the tokens generated so far.
type prompt struct {
	fields map[string]json.RawMessage
	// callerTokens are the resume tokens in the caller's request; tokens are the tokens
	// that the engine has sent.
	callerTokens   []int32
	receivedTokens []int32
	// sentTokens is the number of tokens received before the prompt was last sent.
	sentTokens int
	// sendCount is how often the prompt was sent.
	sendCount int
	// tokensMissing is true once text arrived without its tokens.
	tokensMissing bool
}

// newPrompt copies the allowed fields of a request's body.
func newPrompt(request *peerpb.RunRequest) (*prompt, error) {
	var body map[string]json.RawMessage
	if err := json.Unmarshal(request.GetBody(), &body); err != nil {
		return nil, eris.New("body is not a JSON object")
	}
	p := &prompt{fields: map[string]json.RawMessage{}}
	for _, name := range promptFields {
		if value, ok := body[name]; ok {
			p.fields[name] = value
		}
	}
	if resume := p.fields["resume_tokens"]; len(resume) > 0 {
		if err := json.Unmarshal(resume, &p.callerTokens); err != nil {
			return nil, eris.New("resume_tokens is not a list of whole numbers")
		}
	}
	p.fields["stream"] = json.RawMessage("true")
	return p, p.setField("priority", request.GetPriority())
}

// encode returns the body to send, with all tokens known so far.
func (p *prompt) encode() ([]byte, error) {
	p.sentTokens = len(p.receivedTokens)
	p.sendCount++
	if resume := append(append([]int32(nil), p.callerTokens...), p.receivedTokens...); len(resume) > 0 {
		if err := p.setField("resume_tokens", resume); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(p.fields)
	return body, eris.Wrap(err, "encode body")
}

// mayResume reports whether the generation can resume after err: the connection was lost,
// tokens arrived since the prompt was last sent, and all tokens are known. After a timeout
// without any token the prompt is sent once more: the timeout may have hit an idle
// connection that broke long ago, while new connections work.
func (p *prompt) mayResume(err error) bool {
	var refused *refusal.Error
	if !errors.As(err, &refused) || p.tokensMissing {
		return false
	}
	if len(p.receivedTokens) == p.sentTokens {
		return p.sendCount == 1 && refused.Code == codeReadTimeout
	}
	return refused.Code == CodeInterrupted || refused.Code == codeReadTimeout
}

func (p *prompt) setField(name string, value any) error {
	raw, err := json.Marshal(value)
	p.fields[name] = raw
	return eris.Wrap(err, "encode "+name)
}

// addTokens appends the tokens of a chunk.
func (p *prompt) addTokens(chunk *peerpb.Chunk) {
	p.tokensMissing = p.tokensMissing || len(chunk.GetTokens()) == 0
	p.receivedTokens = append(p.receivedTokens, chunk.GetTokens()...)
}
