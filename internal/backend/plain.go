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

// userAgent names the system to backend servers.
const userAgent = "bramleyhatch"

// partBytes is the largest chunk of a plain service's answer.
const partBytes = 32 << 10

// requestHeaders are the caller's headers that a plain service may see.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range",
}

// answerHeaders are the plain service's headers that the caller gets.
var answerHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Content-Range",
	"Content-Type", "Etag", "Expires", "Last-Modified", "Location", "Retry-After", "Vary",
}

// Plain speaks to a plain service.
type Plain struct {
	Server

	// Keys refuses requests that hold a caller's key; nil refuses none.
	Keys Keys
}

// Version returns 0: a plain service has no weights.
func (p *Plain) Version() uint64 { return 0 }

// Run passes a request on and gives the answer's parts to sink. The error is a
// *refusal.Error unless sink failed.
func (p *Plain) Run(ctx context.Context, request *peerpb.RunRequest, sink Sink) (*peerpb.End, error) {
	if holdsKey(request, p.Keys) {
		return nil, refusal.NotRun(http.StatusBadRequest, "key_in_request", "the path, query or a header holds a key")
	}
	answer, err := p.exchange(ctx, call{
		method:  request.GetMethod(),
		path:    request.GetPath(),
		header:  plainHeader(request),
		body:    request.GetBody(),
		silence: p.ReadTimeout,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if !isDelimited(request.GetMethod(), answer.Response) {
		return nil, refusal.Unknown(http.StatusBadGateway, "undelimited", "%s sent an answer whose end can't be told from a cut", p.Name)
	}
	if err := sink(head(answer.Response)); err != nil {
		return nil, err
	}
	if err := p.relay(answer, sink); err != nil {
		return nil, err
	}
	return &peerpb.End{}, nil
}

// relay gives the body to sink in parts. A body shorter than its
// Content-Length, or without its last chunk, fails with io.ErrUnexpectedEOF.
func (p *Plain) relay(answer *answer, sink Sink) error {
	buffer := make([]byte, partBytes)
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
	for _, given := range request.GetHeaders() {
		name := http.CanonicalHeaderKey(given.GetName())
		for _, allowed := range requestHeaders {
			if name == allowed {
				header.Add(name, given.GetValue())
			}
		}
	}
	return header
}

// baseHeader returns the headers of the system's own. Accept-Encoding keeps
// net/http from asking for compression that the caller did not ask for.
func baseHeader(request *peerpb.RunRequest) http.Header {
	return http.Header{
		"Accept-Encoding": {"identity"},
		"User-Agent":      {userAgent},
		"X-Request-Id":    {request.GetId()},
	}
}

func head(response *http.Response) *peerpb.Frame {
	var headers []*peerpb.Header
	for _, name := range answerHeaders {
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

// isDelimited reports whether a cut of the answer can be told from its end. An
// answer without length or chunks ends when the connection does, so a service
// that dies in the middle would look like one that has finished.
func isDelimited(method string, response *http.Response) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return true
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor >= 2
}
