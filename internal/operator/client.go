package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
)

const maxResponseBytes = 64 << 20

// Error is returned when an entry refuses a command.
type Error struct {
	Status  int
	Problem *operatorpb.Problem
}

// Error returns the entry's message.
func (e *Error) Error() string { return e.Problem.GetMessage() }

// UnreachableError is returned when an entry gives no answer. A change may still
// have been accepted.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error returns the address of the entry and the cause.
func (e *UnreachableError) Error() string {
	return "no answer from the entry at " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Client is an operator's client for the HTTP interface of an entry.
type Client struct {
	address string
	token   string
	timeout time.Duration
	service httpc.Service
}

// NewClient returns a client for the entry at an address (host and port, or a
// base URL) that authenticates with the token. config is used for HTTPS; nil uses
// the system defaults.
func NewClient(address, token string, timeout time.Duration, config *tls.Config) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	address = strings.TrimSuffix(address, "/")
	return &Client{address: address, token: token, timeout: timeout, service: listen.ClientTLS("operator "+address, config)}
}

// Config returns the configuration in the store.
func (c *Client) Config(ctx context.Context) (*operatorpb.ConfigReply, error) {
	reply := &operatorpb.ConfigReply{}
	return reply, c.call(ctx, http.MethodGet, PathConfig, nil, nil, reply)
}

// Drain sets a backend server or an entry to draining, or resumes it.
func (c *Client) Drain(ctx context.Context, request *operatorpb.DrainRequest) (*operatorpb.DrainReply, error) {
	reply := &operatorpb.DrainReply{}
	return reply, c.call(ctx, http.MethodPost, PathDrain, nil, request, reply)
}

// Explain returns the decisions recorded for an identity.
func (c *Client) Explain(ctx context.Context, id string) (*operatorpb.ExplainReply, error) {
	reply := &operatorpb.ExplainReply{}
	return reply, c.call(ctx, http.MethodGet, PathExplain, url.Values{"id": {id}}, nil, reply)
}

// RevisionsInForce returns the configuration revision in force at each entry.
func (c *Client) RevisionsInForce(ctx context.Context) (*operatorpb.ForceReply, error) {
	reply := &operatorpb.ForceReply{}
	return reply, c.call(ctx, http.MethodGet, PathForce, nil, nil, reply)
}

// Grant grants a key by its hash.
func (c *Client) Grant(ctx context.Context, request *operatorpb.GrantRequest) (*operatorpb.ChangeReply, error) {
	reply := &operatorpb.ChangeReply{}
	return reply, c.call(ctx, http.MethodPost, PathGrant, nil, request, reply)
}

// Put replaces both lists. The request's ID makes it safe to retry.
func (c *Client) Put(ctx context.Context, request *operatorpb.PutRequest) (*operatorpb.ChangeReply, error) {
	reply := &operatorpb.ChangeReply{}
	return reply, c.call(ctx, http.MethodPut, PathConfig, nil, request, reply)
}

// Status returns the state of the system as the entry knows it.
func (c *Client) Status(ctx context.Context) (*operatorpb.StatusReply, error) {
	reply := &operatorpb.StatusReply{}
	return reply, c.call(ctx, http.MethodGet, PathStatus, nil, nil, reply)
}

// Withdraw withdraws a key by its hash.
func (c *Client) Withdraw(ctx context.Context, request *operatorpb.WithdrawRequest) (*operatorpb.ChangeReply, error) {
	reply := &operatorpb.ChangeReply{}
	return reply, c.call(ctx, http.MethodPost, PathWithdraw, nil, request, reply)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.request(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	status, text, err := listen.Exchange(c.service, request, maxResponseBytes)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	if status != http.StatusOK {
		return readProblem(status, text)
	}
	return eris.Wrap(protojson.Unmarshal(text, reply), "decode response")
}

func readProblem(status int, text []byte) error {
	problem := &operatorpb.Problem{}
	if err := protojson.Unmarshal(text, problem); err != nil || problem.GetMessage() == "" {
		problem.SetMessage(http.StatusText(status))
	}
	return &Error{Status: status, Problem: problem}
}

func (c *Client) request(ctx context.Context, method, path string, query url.Values, body proto.Message) (*http.Request, error) {
	address := c.address + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	var reader io.Reader
	if body != nil {
		text, err := protojson.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, reader)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
