package caller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// defaultRetryAfter is the delay of refusals that have no delay of their own.
	defaultRetryAfter = time.Second
	// noConfigRetryAfter is the delay before the first configuration is known. An entry
	// usually knows it a few milliseconds after its start; Retry-After has whole seconds.
	noConfigRetryAfter = time.Second
	// isolatedRetryAfter gives the platform's load balancer time to choose another entry.
	isolatedRetryAfter = 5 * time.Second
)

// statusClientClosedRequest is the non-standard status 499, which proxies log if
// the client disconnects; no client receives it.
const statusClientClosedRequest = 499

const keyCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~+/="

// response writes the response to one kind of request.
type response interface {
	// writeFrame writes or buffers a frame.
	writeFrame(frame *peerpb.Frame) error
	// reset discards buffered frames; it reports false if a part was written.
	reset() bool
	// finish completes the response.
	finish(end *peerpb.End) error
	// fail ends a started response with an error; it reports false if no part was written.
	fail(refusal *refusal.Error) bool
}

// call is a request of a caller.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	id      string
	key     string
	grant   lists.Grant
	ctx     context.Context
	cancel  context.CancelCauseFunc
	start   time.Time
	pool    string
	status  int
	code    string
	// response is nil until the request is forwarded.
	response response
}

func newCall(handler *Handler, w http.ResponseWriter, r *http.Request) *call {
	return &call{handler: handler, writer: w, request: r, id: newID(), start: time.Now(), status: http.StatusOK}
}

// serveAuthorized looks the key up and serves the call until the key is
// withdrawn.
//
// The watch for a withdrawal starts before the lookup, so that a withdrawal
// between the two steps also ends the call. It starts only once a configuration is
// known: without one, the withdrawal of any key would end the call.
func (c *call) serveAuthorized(ctx context.Context, serve func(*call) error) error {
	key, ok := bearerKey(c.request.Header.Get("Authorization"))
	if !ok {
		return refusal.NotRun(http.StatusUnauthorized, "missing_key", "send your key as Authorization: Bearer KEY")
	}
	if !c.handler.Grants.HasConfig() {
		return refusal.NoConfiguration(noConfigRetryAfter)
	}
	hash := lists.HashKey(key)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	if last := c.handler.Stopping; last != nil {
		defer context.AfterFunc(last, func() { c.cancel(context.Cause(last)) })()
	}
	stop := c.handler.Grants.OnWithdrawal(hash, c.withdraw)
	defer stop()
	grant, ok := c.handler.Grants.Grant(hash)
	if !ok {
		return refusal.NotRun(http.StatusUnauthorized, "unknown_key", "the key is unknown or was withdrawn")
	}
	c.key, c.grant = key, grant
	return serve(c)
}

// bearerKey returns the key of an Authorization header. It accepts only the
// characters that RFC 6750 allows, so that a key has the same form in a body, a
// path and a header.
func bearerKey(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	key = strings.TrimSpace(key)
	return key, key != "" && strings.Trim(key, keyCharacters) == ""
}

// run forwards the request and writes the response.
func (c *call) run(request *peerpb.RunRequest, resp response, tokens int64) error {
	c.pool = request.GetPool()
	done, err := c.admit(tokens)
	if err != nil {
		return err
	}
	var used int64
	defer func() { done(used) }()
	c.response = resp
	c.setCommonFields(request)
	c.handler.Decisions.Record(c.id, "caller", "%s of account %s for %s is taken", request.GetKind(), c.grant.Account(), c.pool)
	end, err := c.handler.Runner.RunRestartable(c.ctx, request, resp.writeFrame, resp.reset)
	if err != nil {
		used = tokens
		return c.refusalFor(err)
	}
	used = int64(end.GetPromptTokens() + end.GetOutputTokens())
	return resp.finish(end)
}

// admit decides whether this process accepts new work, and whether the account's limits allow it.
func (c *call) admit(tokens int64) (done func(used int64), err error) {
	if c.handler.IsIsolated != nil && c.handler.IsIsolated(time.Now()) {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "isolated",
			"this entry hears neither the store nor most of its peers").WithRetryAfter(isolatedRetryAfter)
	}
	if c.handler.Admission == nil {
		return func(int64) {}, nil
	}
	return c.handler.Admission.Admit(c.grant.Account(), c.grant.Plan(), tokens)
}

// setCommonFields sets the fields that all kinds of requests share. No field contains the
// key.
func (c *call) setCommonFields(request *peerpb.RunRequest) {
	request.SetId(c.id)
	request.SetAccount(c.grant.Account())
	request.SetWeight(c.grant.Plan().GetWeight())
	request.SetPriority(c.grant.Plan().GetPriority())
	request.SetTimeout(durationpb.New(c.handler.Timeout))
}

// refusalFor maps the end of the call's context to a refusal and returns other errors unchanged.
func (c *call) refusalFor(err error) error {
	if errors.Is(context.Cause(c.ctx), errWithdrawn) {
		return refusal.Unknown(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn")
	}
	var refused *refusal.Error
	switch {
	case errors.As(err, &refused):
		return err
	case errors.As(context.Cause(c.ctx), &refused):
		// Other calls share the cause.
		ended := *refused
		return &ended
	case c.request.Context().Err() != nil:
		return refusal.Unknown(statusClientClosedRequest, "caller_left", "the caller closed the connection")
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return refusal.Unknown(http.StatusGatewayTimeout, "timeout", "no whole answer within %s", c.handler.Timeout)
	default:
		return err
	}
}

// refuse sends a refusal: as the end of a started response if its format allows
// that, otherwise as a response of its own.
func (c *call) refuse(err error) {
	refused := withRetryAfter(refusal.Of(err))
	c.status, c.code = refused.Status, refused.Code
	c.handler.Decisions.Record(c.id, "caller", "refused: %s", refused.Error())
	if c.response != nil && c.response.fail(refused) {
		return
	}
	refusal.Write(c.writer, refused)
}

// withRetryAfter sets the default delay of a refusal without a delay if a retry may help.
func withRetryAfter(refused *refusal.Error) *refusal.Error {
	switch refused.Status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if refused.RetryAfter <= 0 {
			refused.RetryAfter = defaultRetryAfter
		}
	}
	return refused
}

// checkPlan refuses a model or service that the plan does not include.
func (c *call) checkPlan(kind, name string, allowed []string) error {
	if slices.Contains(allowed, name) {
		return nil
	}
	return refusal.NotRun(http.StatusForbidden, "not_in_plan", "your plan does not allow %s %q", kind, name)
}

var errWithdrawn = errors.New("key withdrawn")
