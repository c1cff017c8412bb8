package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// userAgent is the User-Agent header sent to backend servers.
const userAgent = "bramleyhatch"

// maxChunkBytes is the maximum size of a chunk of a plain service's answer.
const maxChunkBytes = 32 << 10

// requestHeaders are the caller's headers that are passed to a plain service.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range",
}

// responseHeaders are the plain service's headers that are passed to the caller.
var responseHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Content-Range",
	"Content-Type", "Etag", "Expires", "Last-Modified", "Location", "Retry-After", "Vary",
}

// Plain is the client for a plain service.
type Plain struct {
	Server

	// Keys detects API keys; requests that contain a key are refused. nil disables the
	// check.
	Keys Keys
}

// Version returns 0: a plain service has no weights.
func (p *Plain) Version() uint64 { return 0 }

// Run sends a request to the service and passes the frames of its answer to sink. The
// error is a *refusal.Error unless sink failed.
func (p *Plain) Run(ctx context.Context, request *peerpb.RunRequest, sink Sink) (*peerpb.End, error) {
	if containsKey(request, p.Keys) {
		return nil, refusal.NotRun(http.StatusBadRequest, "key_in_request", "the path, query or a header holds a key")
	}
	answer, err := p.exchange(ctx, call{
		method:      request.GetMethod(),
		path:        request.GetPath(),
		header:      plainHeader(request),
		body:        request.GetBody(),
		readTimeout: p.ReadTimeout,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if !isDelimited(request.GetMethod(), answer.Response) {
		return nil, refusal.Unknown(http.StatusBadGateway, "undelimited", "%s sent an answer whose end can't be told from a cut", p.Name)
	}
	if err := sink(newHeadFrame(answer.Response)); err != nil {
		return nil, err
	}
	if err := p.relay(answer, sink); err != nil {
		return nil, err
	}
	return &peerpb.End{}, nil
}

// relay passes the body to sink in chunks. Reading a body that is shorter than its
// Content-Length, or lacks its last chunk, fails with io.ErrUnexpectedEOF.
func (p *Plain) relay(answer *watchedResponse, sink Sink) error {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			data := append([]byte(nil), buffer[:n]...)
			chunk := peerpb.Chunk_builder{Data: data}.Build()
			if err := sink(peerpb.Frame_builder{Chunk: chunk}.Build()); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return p.refuse(err, true)
		}
	}
}

func plainHeader(request *peerpb.RunRequest) http.Header {
	header := baseHeader(request)
	for _, requested := range request.GetHeaders() {
		name := http.CanonicalHeaderKey(requested.GetName())
		for _, allowed := range requestHeaders {
			if name == allowed {
				header.Add(name, requested.GetValue())
			}
		}
	}
	return header
}

// baseHeader returns the headers that the system itself sets. Accept-Encoding keeps
// net/http from requesting compression that the caller did not request.
func baseHeader(request *peerpb.RunRequest) http.Header {
	return http.Header{
		"Accept-Encoding": {"identity"},
		"User-Agent":      {userAgent},
		"X-Request-Id":    {request.GetId()},
	}
}

func newHeadFrame(response *http.Response) *peerpb.Frame {
	var headers []*peerpb.Header
	for _, name := range responseHeaders {
		for _, value := range response.Header.Values(name) {
			headers = append(headers, peerpb.Header_builder{Name: name, Value: value}.Build())
		}
	}
	if response.ContentLength >= 0 {
		length := strconv.FormatInt(response.ContentLength, 10)
		headers = append(headers, peerpb.Header_builder{Name: "Content-Length", Value: length}.Build())
	}
	return peerpb.Frame_builder{Head: peerpb.Head_builder{Status: int32(response.StatusCode), Headers: headers}.Build()}.Build()
}

// isDelimited reports whether an interrupted answer can be distinguished from a complete
// one. An answer without Content-Length or chunked encoding ends with the connection, so a
// crash of the service midway would look like a complete answer.
func isDelimited(method string, response *http.Response) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return true
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor >= 2
}
