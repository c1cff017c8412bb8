// Package client is the Go client of bramleyhatch for callers and trainers.
//
// It never retries a request: a *RefusedError reports whether the request ran, and
// the caller decides. A POST with an idempotency key may be sent again with the
// same key.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// maxAnswerBytes bounds a response, which is read into memory as a whole.
const maxAnswerBytes = 64 << 20

const maxStatus = 599

// Outcome reports whether a refused request ran.
type Outcome string

// Outcomes of refused requests.
const (
	// NotRun means that the request certainly didn't run and may be sent again.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// RefusedError reports that a request was refused.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// Code is a short name of the reason, such as "draining".
	Code    string
	Message string
	Outcome Outcome
	// Retry is how long to wait before a retry; 0 if the response has no Retry-After.
	Retry time.Duration
}

// Error gives the reason and the outcome.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d, %s: %s (%s)", e.Status, e.Code, e.Message, e.Outcome)
}

// Client sends requests to one entry, or to the load balancer in front of several.
// Exported fields are set before the first call.
type Client struct {
	// Address is the base URL.
	Address string
	// Key is the client account's key.
	Key string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat asks a model to continue a chat and returns its complete answer. The answer
// has at most the given number of tokens; 0 leaves the limit to the model engine.
func (c *Client) Chat(ctx context.Context, model string, messages []Message, tokens int) (string, error) {
	request := map[string]any{"model": model, "messages": messages}
	if tokens > 0 {
		request["max_tokens"] = tokens
	}
	var reply struct {
		Choices []struct {
			Message Message `json:"message"`
		} `json:"choices"`
	}
	if err := c.call(ctx, http.MethodPost, "/v1/chat/completions", "", request, &reply); err != nil {
		return "", err
	}
	if len(reply.Choices) == 0 {
		return "", eris.New("chat: the response has no choices")
	}
	return reply.Choices[0].Message.Content, nil
}

// Get reads from a plain service; path is relative to the service's prefix.
func (c *Client) Get(ctx context.Context, service, path string, reply any) error {
	return c.call(ctx, http.MethodGet, "/services/"+service+path, "", nil, reply)
}

// Post sends a request to a plain service. The request runs at most once per
// idempotency key, however often it is sent; without a key, at most once per call.
func (c *Client) Post(ctx context.Context, service, path, idempotencyKey string, body, reply any) error {
	return c.call(ctx, http.MethodPost, "/services/"+service+path, idempotencyKey, body, reply)
}

func (c *Client) call(ctx context.Context, method, path, idempotencyKey string, body, reply any) error {
	request, err := c.request(ctx, method, path, idempotencyKey, body)
	if err != nil {
		return err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return eris.Wrapf(err, "read response to %s %s", method, path)
	}
	if err := checkResponse(response); err != nil {
		return eris.Wrapf(err, "check response to %s %s", method, path)
	}
	if err := checkEnd(response, len(text)); err != nil {
		return eris.Wrapf(err, "check response to %s %s", method, path)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return newRefusedError(response, text)
	}
	if reply == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(text, reply), "parse response to %s %s", method, path)
}

// MalformedResponseError reports a response that is not valid HTTP. The request may have run.
type MalformedResponseError struct {
	Status int
	// Field is the name of an invalid field; "" if the status is invalid.
	Field string
}

// Error names what is invalid.
func (e *MalformedResponseError) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("malformed response: field name %.64q", e.Field)
	}
	return fmt.Sprintf("malformed response: status %03d", e.Status)
}

// checkResponse checks what net/http accepts although it is invalid: statuses that are not final, and names with blanks.
func checkResponse(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return &MalformedResponseError{Status: response.StatusCode}
	}
	for _, fields := range []http.Header{response.Header, response.Trailer} {
		for name := range fields {
			if !httpguts.ValidHeaderFieldName(name) {
				return &MalformedResponseError{Status: response.StatusCode, Field: name}
			}
		}
	}
	return nil
}

// IncompleteResponseError reports a response of which a part may be missing. The request may have run.
type IncompleteResponseError struct {
	Status int
	// Problem says why its end is unknown.
	Problem string
}

// Error names the problem.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("response with status %d may be incomplete: %s", e.Status, e.Problem)
}

// checkEnd checks that the end of a response shows that it is whole. One without a length or chunks ends with its
// connection, which ends as well where it breaks. A refusal needs no check: a part of one has no outcome.
func checkEnd(response *http.Response, read int) error {
	if read > maxAnswerBytes {
		return &IncompleteResponseError{Status: response.StatusCode, Problem: fmt.Sprintf("it is longer than %d bytes", maxAnswerBytes)}
	}
	// Compressed data show their end.
	isDelimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor > 1 || response.Uncompressed
	if response.StatusCode < http.StatusMultipleChoices && !isDelimited {
		return &IncompleteResponseError{Status: response.StatusCode, Problem: "it has neither a length nor chunks"}
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path, idempotencyKey string, body any) (*http.Request, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrapf(err, "encode body of %s %s", method, path)
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.Address+path, reader)
	if err != nil {
		return nil, eris.Wrapf(err, "create request %s %s", method, path)
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return request, nil
}

func newRefusedError(response *http.Response, text []byte) error {
	var body struct {
		Error struct {
			Code    string  `json:"code"`
			Message string  `json:"message"`
			Outcome Outcome `json:"outcome"`
		} `json:"error"`
	}
	refusal := &RefusedError{Status: response.StatusCode, Outcome: Unknown}
	if err := json.Unmarshal(text, &body); err == nil && body.Error.Outcome != "" {
		refusal.Code, refusal.Message, refusal.Outcome = body.Error.Code, body.Error.Message, body.Error.Outcome
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		refusal.Retry = time.Duration(seconds) * time.Second
	}
	return refusal
}
