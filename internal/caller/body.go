package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Limits of the fields of a request for an engine.
const (
	maxTokens      = 1 << 20
	maxTemperature = 2.0
	maxStops       = 4
	maxMessages    = 4096
)

// message is a message of a chat.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a message's text. Clients send a string or a list of parts.
type content string

// contentPart is a part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, a list of text parts or null. Parts of other
// types, such as images, are errors, since the engines accept only text.
func (c *content) UnmarshalJSON(text []byte) error {
	var single string
	if err := json.Unmarshal(text, &single); err == nil {
		*c = content(single)
		return nil
	}
	var parts []contentPart
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
// that the engine receives.
type sampling struct {
	Model       string      `json:"model"`
	MaxTokens   int64       `json:"max_tokens,omitempty"`
	Temperature *float64    `json:"temperature,omitempty"`
	Seed        *int64      `json:"seed,omitempty"`
	Stop        stopStrings `json:"stop,omitempty"`
}

// completionBody is the completion request that an engine receives.
type completionBody struct {
	Prompt string `json:"prompt"`
	sampling
}

// chatBody is the chat completion request that an engine receives.
type chatBody struct {
	Messages []message `json:"messages"`
	sampling
}

// responseOptions holds the fields that the entry handles itself.
type responseOptions struct {
	Stream        bool `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N *int64 `json:"n"`
	// MaxCompletionTokens is the newer name of max_tokens in chat completions.
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
}

// stopStrings accepts a string or a list of strings.
type stopStrings []string

// UnmarshalJSON decodes a string, a list of strings or null.
func (s *stopStrings) UnmarshalJSON(text []byte) error {
	var single string
	if err := json.Unmarshal(text, &single); err == nil {
		if single != "" {
			*s = stopStrings{single}
		}
		return nil
	}
	var list []string
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	*s = list
	return nil
}

// bodyCodes are the codes of requests whose bodies can't be read.
var bodyCodes = listen.BodyCodes{TooLarge: "body_too_large", Cut: "invalid_request"}

func invalidRequest(format string, arguments ...any) error {
	return refusal.NotRun(http.StatusBadRequest, "invalid_request", format, arguments...)
}

// readBody reads the request's body and takes the memory that it needs until the end of the request.
func (c *call) readBody() ([]byte, error) {
	listen.ReservationOf(c.ctx).Assign(c.grant.Account())
	body, err := listen.ReadBody(c.request, c.handler.MaxBodyBytes, time.Now().Add(c.handler.bodyTimeout()))
	if err == nil {
		// Beside the decoded body there are its encoded form for the engine, the message for the sidecar, and copies that
		// are searched for the key.
		const copies = 3
		err = listen.ReservationOf(c.ctx).Grow(c.ctx, budget.JSONBytes(body)+copies*int64(len(body)))
	}
	return body, listen.RefuseBody(err, bodyCodes)
}

// decode decodes the body, a single JSON value, into each target.
func decode(body []byte, targets ...any) error {
	for _, target := range targets {
		decoder := json.NewDecoder(bytes.NewReader(body))
		if err := decoder.Decode(target); err != nil {
			return invalidRequest("the body is no valid JSON request: %s", describeDecodeError(err))
		}
		if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
			return invalidRequest("the body holds more than one JSON value")
		}
	}
	return nil
}

// describeDecodeError describes an error without repeating the caller's input.
func describeDecodeError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return "field " + typeError.Field + " has the wrong type"
	}
	return "malformed"
}

func parseCompletion(body []byte) (completionBody, responseOptions, error) {
	var completion completionBody
	var options responseOptions
	if err := decode(body, &completion, &options); err != nil {
		return completion, options, err
	}
	if completion.Prompt == "" {
		return completion, options, invalidRequest("field prompt is missing")
	}
	return completion, options, checkFields(completion.sampling, options)
}

func parseChat(body []byte) (chatBody, responseOptions, error) {
	var chat chatBody
	var options responseOptions
	if err := decode(body, &chat, &options); err != nil {
		return chat, options, err
	}
	if err := checkMessages(chat.Messages); err != nil {
		return chat, options, err
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = options.MaxCompletionTokens
	}
	return chat, options, checkFields(chat.sampling, options)
}

func checkMessages(messages []message) error {
	if len(messages) == 0 {
		return invalidRequest("field messages is missing")
	}
	if len(messages) > maxMessages {
		return invalidRequest("more than %d messages", maxMessages)
	}
	for i, message := range messages {
		switch message.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return invalidRequest("message %d has no known role", i)
		}
	}
	return nil
}

func checkFields(fields sampling, options responseOptions) error {
	switch {
	case fields.Model == "":
		return invalidRequest("field model is missing")
	case fields.MaxTokens < 0 || fields.MaxTokens > maxTokens:
		return invalidRequest("max_tokens must be between 1 and %d", maxTokens)
	case fields.Temperature != nil && (*fields.Temperature < 0 || *fields.Temperature > maxTemperature):
		return invalidRequest("temperature must be between 0 and %g", maxTemperature)
	case len(fields.Stop) > maxStops:
		return invalidRequest("more than %d stop strings", maxStops)
	case options.N != nil && *options.N != 1:
		return invalidRequest("n must be 1")
	}
	return nil
}
