package caller

import (
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// usage is the token usage in a response.
type usage struct {
	PromptTokens     uint64       `json:"prompt_tokens"`
	CompletionTokens uint64       `json:"completion_tokens"`
	TotalTokens      uint64       `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

// usageDetails reports how many tokens of the prompt the engine had cached.
type usageDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// delta is the part of a chat message in an event.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is the only choice of a response.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// responseBody is a response or an event of a streamed response.
type responseBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// responseFormat builds the responses to one kind of request.
type responseFormat interface {
	// full returns the object name and the choice of a complete response.
	full(text string, finish *string) (string, choice)
	// chunk returns the object name and the choice of an event.
	chunk(text string, first bool, finish *string) (string, choice)
}

func formatOf(kind peerpb.Kind) responseFormat {
	if kind == peerpb.Kind_KIND_CHAT {
		return chatFormat{}
	}
	return completionFormat{}
}

// completionFormat is the format of completions.
type completionFormat struct{}

func (completionFormat) full(text string, finish *string) (string, choice) {
	return "text_completion", choice{Text: &text, FinishReason: finish}
}

func (f completionFormat) chunk(text string, _ bool, finish *string) (string, choice) {
	return f.full(text, finish)
}

// chatFormat is the format of chat completions.
type chatFormat struct{}

func (chatFormat) full(text string, finish *string) (string, choice) {
	return "chat.completion", choice{Message: &message{Role: "assistant", Content: content(text)}, FinishReason: finish}
}

func (chatFormat) chunk(text string, first bool, finish *string) (string, choice) {
	chunk := &delta{Content: text}
	if first {
		chunk.Role = "assistant"
	}
	return "chat.completion.chunk", choice{Delta: chunk, FinishReason: finish}
}

func usageOf(end *peerpb.End) *usage {
	return &usage{
		PromptTokens:     end.GetPromptTokens(),
		CompletionTokens: end.GetOutputTokens(),
		TotalTokens:      end.GetPromptTokens() + end.GetOutputTokens(),
		Details:          usageDetails{CachedTokens: end.GetCachedTokens()},
	}
}

// newResponseBody returns the fields that responses and events share.
func (c *call) newResponseBody(object string, only choice) responseBody {
	return responseBody{
		ID:      "cmpl-" + strings.ReplaceAll(c.id, "-", ""),
		Object:  object,
		Created: c.start.Unix(),
		Model:   c.pool,
		Choices: []choice{only},
	}
}
