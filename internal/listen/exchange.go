package listen

import (
	"bytes"
	"context"
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

// Exchange sends a request and reads up to limit bytes of the answer. The status is 0 if no
// answer arrived. An error with a status means that the answer is incomplete; the part
// received is returned too.
func Exchange(client httpc.Service, request *http.Request, limit int64) (status int, answer []byte, err error) {
	response, err := client.DoRequest(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, limit))
	return response.StatusCode, answer, err
}
