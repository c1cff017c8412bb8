package listen

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpc"
)

// NewJSONRequest returns a request with a JSON body, or without one where it is nil, that
// net/http never sends twice by itself.
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

// Exchange sends a request and reads its answer up to a number of bytes. The
// status is 0 where no answer came. An error beside a status says that the answer
// did not come whole; what came of it is returned too.
func Exchange(client httpc.Service, request *http.Request, most int64) (status int, answer []byte, err error) {
	response, err := client.DoRequest(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, most))
	return response.StatusCode, answer, err
}
