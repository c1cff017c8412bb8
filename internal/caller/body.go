package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Bounds of the fields of a request for an engine.
const (
	maxTokens      = 1 << 20
	maxTemperature = 2.0
	maxStops       = 4
	maxMessages    = 4096
)

// message is one message of a chat.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a message's text. Clients send it whole or as a list of parts.
type content string

// part is a part of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads a string, a list of text parts or null. A part of another
// kind, such as an image, is an error: engines here take text only.
func (c *content) UnmarshalJSON(text []byte) error {
	var whole string
	if err := json.Unmarshal(text, &whole); err == nil {
		*c = content(whole)
		return nil
	}
	var parts []part
	if err := json.Unmarshal(text, &parts); err != nil {
		return err
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return &json.UnmarshalTypeError{Field: "content", Value: "part"}
		}
		joined.WriteString(part.Text)
	}
	*c = content(joined.String())
	return nil
}

// sampling holds the fields that completions and chat completions share and
// that are passed on to the engine.
type sampling struct {
	Model       string   `json:"model"`
	MaxTokens   int64    `json:"max_tokens,omitempty"`
	Temperature *float64 `json:"temperature,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
	Stop        stops    `json:"stop,omitempty"`
}

// completionBody is what an engine sees of a completion.
type completionBody struct {
	Prompt string `json:"prompt"`
	sampling
}

// chatBody is what an engine sees of a chat completion.
type chatBody struct {
	Messages []message `json:"messages"`
	sampling
}

// delivery holds the fields that end at the entry.
type delivery struct {
	Stream        bool `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N *int64 `json:"n"`
	// MaxCompletionTokens is the newer name of max_tokens in chat completions.
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
}

// stops accepts one string or a list of them.
type stops []string

// UnmarshalJSON reads a string, a list of strings or null.
func (s *stops) UnmarshalJSON(text []byte) error {
	var one string
	if err := json.Unmarshal(text, &one); err == nil {
		if one != "" {
			*s = stops{one}
		}
		return nil
	}
	var many []string
	if err := json.Unmarshal(text, &many); err != nil {
		return err
	}
	*s = many
	return nil
}

func malformed(format string, arguments ...any) error {
	return refusal.NotRun(http.StatusBadRequest, "invalid_request", format, arguments...)
}

// readBody reads a request's body up to the bound.
func readBody(w http.ResponseWriter, r *http.Request, bound int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bound))
	if err == nil {
		return body, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refusal.NotRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", bound)
	}
	return nil, malformed("the body can't be read")
}

// decode reads one JSON value of the body into each target.
func decode(body []byte, targets ...any) error {
	for _, target := range targets {
		decoder := json.NewDecoder(bytes.NewReader(body))
		if err := decoder.Decode(target); err != nil {
			return malformed("the body is no valid JSON request: %s", problem(err))
		}
		if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
			return malformed("the body holds more than one JSON value")
		}
	}
	return nil
}

// problem names what is wrong without repeating the caller's text.
func problem(err error) string {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return "field " + kind.Field + " has the wrong type"
	}
	return "malformed"
}

func parseCompletion(body []byte) (completionBody, delivery, error) {
	var completion completionBody
	var deliver delivery
	if err := decode(body, &completion, &deliver); err != nil {
		return completion, deliver, err
	}
	if completion.Prompt == "" {
		return completion, deliver, malformed("field prompt is missing")
	}
	return completion, deliver, check(completion.sampling, deliver)
}

func parseChat(body []byte) (chatBody, delivery, error) {
	var chat chatBody
	var deliver delivery
	if err := decode(body, &chat, &deliver); err != nil {
		return chat, deliver, err
	}
	if err := checkMessages(chat.Messages); err != nil {
		return chat, deliver, err
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = deliver.MaxCompletionTokens
	}
	return chat, deliver, check(chat.sampling, deliver)
}

func checkMessages(messages []message) error {
	if len(messages) == 0 {
		return malformed("field messages is missing")
	}
	if len(messages) > maxMessages {
		return malformed("more than %d messages", maxMessages)
	}
	for i, message := range messages {
		switch message.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return malformed("message %d has no known role", i)
		}
	}
	return nil
}

func check(fields sampling, deliver delivery) error {
	switch {
	case fields.Model == "":
		return malformed("field model is missing")
	case fields.MaxTokens < 0 || fields.MaxTokens > maxTokens:
		return malformed("max_tokens must be between 1 and %d", maxTokens)
	case fields.Temperature != nil && (*fields.Temperature < 0 || *fields.Temperature > maxTemperature):
		return malformed("temperature must be between 0 and %g", maxTemperature)
	case len(fields.Stop) > maxStops:
		return malformed("more than %d stop strings", maxStops)
	case deliver.N != nil && *deliver.N != 1:
		return malformed("n must be 1")
	}
	return nil
}
