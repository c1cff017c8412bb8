// Package platform is a client of the platform: its key-value service, its orders
// for backend servers, its usage reports and its host list.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const maxAnswerBytes = 64 << 20

// ConflictError reports that a compare-and-swap found an unexpected revision, or that an order had
// an outdated fencing token.
type ConflictError struct {
	Key string
	// Revision is the current revision of the key.
	Revision uint64
	// Current holds the current values of the keys in a commit's expectations, if
	// the store returns them, else nil; keys that don't exist are omitted.
	Current []Value
}

// Find returns the current value of one of the commit's keys. It returns false if the key doesn't
// exist or the store didn't return its value.
func (e *ConflictError) Find(key string) (Value, bool) {
	for _, value := range e.Current {
		if value.Key == key && value.Revision != 0 {
			return value, true
		}
	}
	return Value{}, false
}

// Lacks reports whether the store returned the current values of the commit's keys and this key
// doesn't exist.
func (e *ConflictError) Lacks(key string) bool {
	_, exists := e.Find(key)
	return e.Current != nil && !exists
}

// CompactedError reports that the store no longer has the changes since a revision.
type CompactedError struct {
	Prefix string
	After  uint64
}

// Error implements the error interface.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("platform: changes to %s since revision %d have been compacted", e.Prefix, e.After)
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s has changed, now at revision %d", e.Key, e.Revision)
}

// NotFoundError reports that a key or lease does not exist.
type NotFoundError struct {
	Key string
}

// Error implements the error interface.
func (e *NotFoundError) Error() string { return "platform: " + e.Key + " does not exist" }

// UnavailableError reports that the platform did not respond or could not process the call. A
// change may still have taken effect: read the value back before deciding.
type UnavailableError struct {
	Operation string
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	Cause  error
}

// Error describes the operation and its cause, or the HTTP status if there is no cause.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return "platform: " + e.Operation + ": " + e.Cause.Error()
	}
	return "platform: " + e.Operation + ": status " + strconv.Itoa(e.Status)
}

// IsRejected reports whether a status means that the store rejected the call
// without any effect.
func IsRejected(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// Unwrap returns the cause of the error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Client calls the platform. Exported fields must be set before the first call. Client never
// retries a call: each caller decides whether to retry.
type Client struct {
	// Address is the base URL.
	Address string
	// Timeout limits each call; for Watch, the wait is added.
	Timeout time.Duration
	// OnResponse is called after each response with status 200, 404 or 409; may be nil.
	OnResponse func()

	service httpc.Service
}

// NewClient returns a client of the platform at a base URL.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{Address: address, Timeout: timeout, service: listen.Client("platform " + address)}
}

// Delete removes a key that has the expected revision.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	query := url.Values{"key": {key}, "expect": {strconv.FormatUint(expect, 10)}}
	return c.call(ctx, http.MethodDelete, PathValue, query, key, nil, &SwapReply{})
}

// Get returns the value of a key, or a NotFoundError.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var value Value
	err := c.call(ctx, http.MethodGet, PathValue, url.Values{"key": {key}}, key, nil, &value)
	return value, err
}

// GrantLease creates a lease and returns its ID.
func (c *Client) GrantLease(ctx context.Context, length time.Duration) (uint64, error) {
	var reply LeaseReply
	err := c.call(ctx, http.MethodPost, PathLease, nil, "lease", LeaseRequest{Length: length.Milliseconds()}, &reply)
	return reply.ID, err
}

// Hosts returns the platform's list of hosts, which may be stale.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts json.RawMessage
	err := c.call(ctx, http.MethodGet, PathHost, nil, "hosts", nil, &hosts)
	isUnusable := func(host Host) bool { return host.Address == "" }
	return slices.DeleteFunc(DecodeElements[Host]("hosts", hosts, nil), isUnusable), err
}

// List returns all values whose key has the prefix.
func (c *Client) List(ctx context.Context, prefix string) (ListReply, error) {
	var reply ListReply
	err := c.call(ctx, http.MethodGet, PathValue, url.Values{"prefix": {prefix}}, prefix, nil, &reply)
	return reply, err
}

// Order sends an order for a backend server. It calls guard immediately before sending the order;
// if guard fails, Order returns its error and sends no order.
func (c *Client) Order(ctx context.Context, order Order, guard func() error) error {
	return c.sendGuarded(ctx, PathOrder, "order "+order.ID, order, guard)
}

// RenewLease extends a lease to length from now, or returns a NotFoundError if the lease has
// expired.
func (c *Client) RenewLease(ctx context.Context, lease uint64, length time.Duration) error {
	request := LeaseRequest{ID: lease, Length: length.Milliseconds()}
	return c.call(ctx, http.MethodPut, PathLease, nil, "lease", request, &LeaseReply{})
}

// Report sends the usage of a window. Like Order, it calls guard immediately before sending.
func (c *Client) Report(ctx context.Context, usage Usage, guard func() error) error {
	return c.sendGuarded(ctx, PathUsage, "usage", usage, guard)
}

// Servers returns the platform's list of the backend servers in a zone. It includes a server whose entry can't be
// decoded, but for its ID.
func (c *Client) Servers(ctx context.Context, zone string) ([]Server, error) {
	var servers json.RawMessage
	err := c.call(ctx, http.MethodGet, PathServer, url.Values{"zone": {zone}}, "servers", nil, &servers)
	var unreadable []Server
	decoded := DecodeElements[Server]("servers", servers, func(element json.RawMessage) {
		unreadable = append(unreadable, Server{ID: elementText(element, "id"), IsUnreadable: true})
	})
	isUnusable := func(server Server) bool { return server.ID == "" || server.Pool == "" && !server.IsUnreadable }
	return slices.DeleteFunc(append(decoded, unreadable...), isUnusable), err
}

// CompareAndSwap writes a value if the key has the expected revision, and returns the new revision.
// Expected revision 0 means that the key must not exist; lease 0 means none.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	var reply SwapReply
	request := SwapRequest{Key: key, Data: data, Expect: expect, Lease: lease}
	err := c.call(ctx, http.MethodPut, PathValue, nil, key, request, &reply)
	return reply.Revision, err
}

// Watch waits at most wait for changes to keys with the prefix after a revision. The reply is empty
// if there were none.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (ListReply, error) {
	var reply ListReply
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {wait.String()},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.Timeout)
	defer cancel()
	err := c.send(ctx, http.MethodGet, PathWatch, query, prefix, nil, &reply)
	return reply, err
}

func (c *Client) sendGuarded(ctx context.Context, path, key string, message any, guard func() error) error {
	text, err := json.Marshal(message)
	if err != nil {
		return &UnavailableError{Operation: key, Cause: err}
	}
	body := newGuardedBody(text, guard)
	err = c.call(ctx, http.MethodPost, path, nil, key, body, nil)
	if guardErr := body.guardError(); guardErr != nil {
		return guardErr
	}
	return err
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, key string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.send(ctx, method, path, query, key, body, reply)
}

func (c *Client) send(ctx context.Context, method, path string, query url.Values, key string, body, reply any) error {
	operation := method + " " + path + " " + key
	request, err := c.request(ctx, method, path, query, body)
	if err != nil {
		return &UnavailableError{Operation: operation, Cause: err}
	}
	status, answer, err := listen.Exchange(c.service, request, maxAnswerBytes)
	if err != nil {
		return &UnavailableError{Operation: operation, Cause: err}
	}
	return c.decode(status, operation, key, answer, reply)
}

func (c *Client) request(ctx context.Context, method, path string, query url.Values, body any) (*http.Request, error) {
	address := c.Address + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	var reader io.Reader
	guarded, isGuarded := body.(*guardedBody)
	switch {
	case isGuarded:
		reader = guarded
	case body != nil:
		text, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, reader)
	if err != nil {
		return nil, err
	}
	if isGuarded {
		request.ContentLength = guarded.length()
	}
	// Without GetBody, net/http can't replay the body, so it never sends a change twice.
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func (c *Client) decode(status int, operation, key string, answer []byte, reply any) error {
	switch status {
	case http.StatusOK:
		c.notifyResponse()
		if reply == nil {
			return nil
		}
		if err := json.Unmarshal(answer, reply); err != nil {
			return &UnavailableError{Operation: operation, Status: status, Cause: err}
		}
		return nil
	case http.StatusNotFound:
		c.notifyResponse()
		return &NotFoundError{Key: key}
	case http.StatusConflict:
		c.notifyResponse()
		var current SwapReply
		if err := json.Unmarshal(answer, &current); err != nil {
			return &UnavailableError{Operation: operation, Status: status, Cause: err}
		}
		return &ConflictError{Key: key, Revision: current.Revision}
	default:
		return &UnavailableError{Operation: operation, Status: status}
	}
}

func (c *Client) notifyResponse() {
	if c.OnResponse != nil {
		c.OnResponse()
	}
}
