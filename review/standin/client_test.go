//go:build review

package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	host = "h.example"
	key  = "key-acme"
)

var attempts atomic.Int64

// newID returns an ID that no request has had.
func newID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, attempts.Add(1)) }

// client keeps its channels to one gateway open.
type client struct {
	address string
	http    *http.Client
}

func newClient(address string) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 100,
	}
	return &client{address: address, http: &http.Client{Transport: transport}}
}

// reply is what a client got. Err is set if the channel ended without a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request once.
func (c *client) send(method, path, id string, header map[string]string, body []byte, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return reply{err: err}
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = nil
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: text, err: err}
}

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// config returns the operator's configuration with routes and pools.
func config(routes, pools []map[string]any) map[string]any {
	return map[string]any{
		"version": 3, "routes": routes, "backends": pools,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "acme", "api-keys": []string{key}}},
	}
}
