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
	// defaultRetry is told to callers where nothing better is known.
	defaultRetry = time.Second
	// isolatedRetry gives the platform's balancer time to choose another entry.
	isolatedRetry = 5 * time.Second
)

// statusClientClosed is what proxies log for a caller who left; none sees it.
const statusClientClosed = 499

const keyCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~+/="

// answer writes the answer of one kind of request.
type answer interface {
	// take writes a frame or keeps it.
	take(frame *peerpb.Frame) error
	// restart forgets what was taken; it reports false if a part was written.
	restart() bool
	// end writes what closes the answer.
	end(end *peerpb.End) error
	// fail closes an answer that has begun; it reports false if nothing of it was written.
	fail(refusal *refusal.Error) bool
}

// call is one request of a caller.
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
	// answer is nil until the request is sent on.
	answer answer
}

func newCall(handler *Handler, w http.ResponseWriter, r *http.Request) *call {
	return &call{handler: handler, writer: w, request: r, id: newID(), start: time.Now(), status: http.StatusOK}
}

// admit looks the key up and serves the call as long as the key is not withdrawn.
//
// The watch for the withdrawal begins before the key is looked up: a key
// withdrawn between the two ends the call all the same.
func (c *call) admit(ctx context.Context, serve func(*call) error) error {
	key, ok := bearerKey(c.request.Header.Get("Authorization"))
	if !ok {
		return refusal.NotRun(http.StatusUnauthorized, "missing_key", "send your key as Authorization: Bearer KEY")
	}
	hash := lists.HashKey(key)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	stop := c.handler.Grants.UntilWithdrawn(hash, c.withdraw)
	defer stop()
	grant, ok := c.handler.Grants.Grant(hash)
	if !ok {
		return refusal.NotRun(http.StatusUnauthorized, "unknown_key", "the key is unknown or was withdrawn")
	}
	c.key, c.grant = key, grant
	return serve(c)
}

// bearerKey returns the key of an Authorization header. Characters outside of
// those that RFC 6750 allows make it no key, so that a key reads the same in a
// body, a path and a header.
func bearerKey(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	key = strings.TrimSpace(key)
	return key, key != "" && strings.Trim(key, keyCharacters) == ""
}

// run sends the request on and writes the answer.
func (c *call) run(request *peerpb.RunRequest, answer answer, tokens int64) error {
	c.pool = request.GetPool()
	done, err := c.mayRun(tokens)
	if err != nil {
		return err
	}
	var used int64
	defer func() { done(used) }()
	c.answer = answer
	c.complete(request)
	c.handler.Decisions.Record(c.id, "caller", "%s of account %s for %s is taken", request.GetKind(), c.grant.Account(), c.pool)
	end, err := c.handler.Runner.RunRestartable(c.ctx, request, answer.take, answer.restart)
	if err != nil {
		used = tokens
		return c.explain(err)
	}
	used = int64(end.GetPromptTokens() + end.GetOutputTokens())
	return answer.end(end)
}

// mayRun decides whether new work is taken at all, and from this account.
func (c *call) mayRun(tokens int64) (done func(used int64), err error) {
	if c.handler.Isolated != nil && c.handler.Isolated(time.Now()) {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "isolated",
			"this entry hears neither the store nor most of its peers").WithRetryAfter(isolatedRetry)
	}
	if c.handler.Admission == nil {
		return func(int64) {}, nil
	}
	return c.handler.Admission.Admit(c.grant.Account(), c.grant.Plan(), tokens)
}

// complete sets what a request of any kind carries. The key is not among it.
func (c *call) complete(request *peerpb.RunRequest) {
	request.SetId(c.id)
	request.SetAccount(c.grant.Account())
	request.SetWeight(c.grant.Plan().GetWeight())
	request.SetPriority(c.grant.Plan().GetPriority())
	request.SetTimeout(durationpb.New(c.handler.Timeout))
}

// explain turns the end of the call's context into the refusal that the caller sees.
func (c *call) explain(err error) error {
	if errors.Is(context.Cause(c.ctx), errWithdrawn) {
		return refusal.Unknown(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn")
	}
	var refused *refusal.Error
	switch {
	case errors.As(err, &refused):
		return err
	case c.request.Context().Err() != nil:
		return refusal.Unknown(statusClientClosed, "caller_left", "the caller closed the connection")
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return refusal.Unknown(http.StatusGatewayTimeout, "timeout", "no whole answer within %s", c.handler.Timeout)
	default:
		return err
	}
}

// refuse answers with a refusal, in the way that the answer begun so far allows.
func (c *call) refuse(err error) {
	refused := withRetry(refusal.Of(err))
	c.status, c.code = refused.Status, refused.Code
	c.handler.Decisions.Record(c.id, "caller", "refused: %s", refused.Error())
	if c.answer != nil && c.answer.fail(refused) {
		return
	}
	refusal.Write(c.writer, refused)
}

// withRetry sets when to come back where coming back may help and nothing was said.
func withRetry(refused *refusal.Error) *refusal.Error {
	switch refused.Status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if refused.RetryAfter <= 0 {
			refused.RetryAfter = defaultRetry
		}
	}
	return refused
}

// mayUse checks a model or service against those of the plan.
func (c *call) mayUse(what, name string, allowed []string) error {
	if slices.Contains(allowed, name) {
		return nil
	}
	return refusal.NotRun(http.StatusForbidden, "not_in_plan", "your plan does not allow %s %q", what, name)
}

var errWithdrawn = errors.New("key withdrawn")
