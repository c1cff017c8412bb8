package caller

import (
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// usage is the token count in an answer.
type usage struct {
	PromptTokens     uint64       `json:"prompt_tokens"`
	CompletionTokens uint64       `json:"completion_tokens"`
	TotalTokens      uint64       `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

// usageDetails tells how much of the prompt the engine had cached.
type usageDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// delta is the part of a chat message in one event.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is the one choice of an answer.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// body is an answer or one event of it.
type body struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// shape is the form of the answers of one kind of request.
type shape interface {
	// whole returns the answer's object name and its choice.
	whole(text string, finish *string) (string, choice)
	// part returns an event's object name and its choice.
	part(text string, first bool, finish *string) (string, choice)
}

func shapeOf(kind peerpb.Kind) shape {
	if kind == peerpb.Kind_KIND_CHAT {
		return chatShape{}
	}
	return completionShape{}
}

// completionShape is the form of completions.
type completionShape struct{}

func (completionShape) whole(text string, finish *string) (string, choice) {
	return "text_completion", choice{Text: &text, FinishReason: finish}
}

func (s completionShape) part(text string, _ bool, finish *string) (string, choice) {
	return s.whole(text, finish)
}

// chatShape is the form of chat completions.
type chatShape struct{}

func (chatShape) whole(text string, finish *string) (string, choice) {
	return "chat.completion", choice{Message: &message{Role: "assistant", Content: content(text)}, FinishReason: finish}
}

func (chatShape) part(text string, first bool, finish *string) (string, choice) {
	part := &delta{Content: text}
	if first {
		part.Role = "assistant"
	}
	return "chat.completion.chunk", choice{Delta: part, FinishReason: finish}
}

func usageOf(end *peerpb.End) *usage {
	return &usage{
		PromptTokens:     end.GetPromptTokens(),
		CompletionTokens: end.GetOutputTokens(),
		TotalTokens:      end.GetPromptTokens() + end.GetOutputTokens(),
		Details:          usageDetails{CachedTokens: end.GetCachedTokens()},
	}
}

// newBody returns the fields that an answer and its events share.
func (c *call) newBody(object string, one choice) body {
	return body{
		ID:      "cmpl-" + strings.ReplaceAll(c.id, "-", ""),
		Object:  object,
		Created: c.start.Unix(),
		Model:   c.pool,
		Choices: []choice{one},
	}
}
