package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// workload sends chat completions and hour postings and counts the results.
type workload struct {
	entries []string
	key     string

	answered int
	refused  int
	posted   int
	repeated int
}

// chat sends a chat completion; every second one is streamed.
func (w *workload) chat(ctx context.Context, i int) error {
	body := map[string]any{
		"model":      "assistant",
		"messages":   []map[string]string{{"role": "user", "content": fmt.Sprintf("draft a dispute note, number %d", i)}},
		"max_tokens": 12,
		"stream":     i%2 == 1,
	}
	status, text, err := w.send(ctx, i, "/v1/chat/completions", "", body)
	if err != nil {
		return err
	}
	complete := bytes.Contains(text, []byte("finish_reason"))
	if i%2 == 1 {
		complete = bytes.HasSuffix(bytes.TrimSpace(text), []byte("data: [DONE]"))
	}
	if status != http.StatusOK || !complete {
		w.refused++
		return fmt.Errorf("chat %d: status %d: %s", i, status, text)
	}
	w.answered++
	return nil
}

// post sends an hour posting twice under the same idempotency key, through two entries.
func (w *workload) post(ctx context.Context, i int) error {
	body := map[string]any{"member": fmt.Sprintf("member%d", i), "hours": 1}
	key := fmt.Sprintf("posting-%d", i)
	var first []byte
	for attempt := range 2 {
		status, text, err := w.send(ctx, i+attempt, "/services/ledger/postings", key, body)
		if err != nil {
			return err
		}
		if status != http.StatusCreated {
			w.refused++
			return fmt.Errorf("posting %d: status %d: %s", i, status, text)
		}
		if attempt == 0 {
			first = text
			w.posted++
			continue
		}
		if !bytes.Equal(first, text) {
			return fmt.Errorf("posting %d: the response to the repeated request differs: %s, then %s", i, first, text)
		}
		w.repeated++
	}
	return nil
}

func (w *workload) send(ctx context.Context, i int, path, idempotency string, body any) (int, []byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.entries[i%len(w.entries)]+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+w.key)
	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
	}
	response, err := listen.Client("entry").DoRequest(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// retry repeats a call until it succeeds: the components take a moment to discover each other.
func retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w (last error: %w)", ctx.Err(), err)
		case <-time.After(retryInterval):
		}
	}
}
