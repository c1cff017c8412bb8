package listen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpc"
)

// NewJSONRequest returns a request with a JSON body, or without a body if body is nil.
// net/http never repeats the request.
func NewJSONRequest(ctx context.Context, method, address string, body []byte) (*http.Request, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, reader)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// AnswerSizeError reports an answer that is longer than what is read of it, so that its end is unknown.
type AnswerSizeError struct {
	// Limit is the number of bytes that are read.
	Limit int64
}

// Error names the limit.
func (e *AnswerSizeError) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes", e.Limit)
}

// Exchange sends a request and reads the answer, which may have up to limit bytes. The status is 0 if no answer arrived.
// An error with a status means that the answer is incomplete, or longer (*AnswerSizeError); the part received is returned
// too.
func Exchange(client httpc.Service, request *http.Request, limit int64) (status int, answer []byte, err error) {
	response, err := client.DoRequest(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(answer)) > limit {
		answer, err = answer[:limit], &AnswerSizeError{Limit: limit}
	}
	return response.StatusCode, answer, err
}
