// Package gateway serves callers and trainers on a host that reaches backend
// servers by itself, and speaks to the other gateways.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	// bodyBytes bounds a body before any configuration names a bound.
	bodyBytes = 32 << 20
	// defaultTime is how long a request may take whose route and caller say nothing.
	defaultTime = 60 * time.Second
	// greatestWait bounds how long a read of results waits for one.
	greatestWait = time.Second
)

// CallKind is the kind of a request to the gateway.
type CallKind int

// Kinds of requests.
const (
	// CallRun is a request for a backend server, or a batch.
	CallRun CallKind = iota
	// CallRead reads a batch's results.
	CallRead
	// CallEnd ends a batch.
	CallEnd
	// CallItem reads an item's body.
	CallItem
)

// Call is what a request asks of the gateway.
type Call struct {
	Kind  CallKind
	Batch string
	Item  string
	// After is the place from which results are read.
	After uint64
	// Wait is the longest wait for a result.
	Wait time.Duration
}

// Wire reads what callers say.
type Wire interface {
	// ClassifyCall tells what a request asks.
	ClassifyCall(request *http.Request) Call
	// ID returns the request's identity; "" if it has none.
	ID(request *http.Request) string
	// Key returns the caller's key; "" if it has none.
	Key(request *http.Request) string
	// LastEvent returns the last event that a caller has of its stream.
	LastEvent(request *http.Request) uint64
	// TimeLeft returns how long the caller will wait; 0 if it doesn't say.
	TimeLeft(request *http.Request) time.Duration
}

// Formats reads and writes the bodies of trainers' calls.
type Formats struct {
	ReadBatch     func(id string, text []byte) (*statepb.Batch, error)
	WriteOutcomes func(total, after uint64, outcomes []*statepb.Outcome) ([]byte, error)
}

// Handler serves callers and trainers. Exported fields are set before the first request.
type Handler struct {
	Wire      Wire
	Formats   Formats
	View      *table.View
	Forwarder *forward.Forwarder
	Board     *batch.Board
	Hosts     *Hosts
	// NoConfigRetry is when a caller should come back before the first configuration is known.
	NoConfigRetry time.Duration
	// Metrics takes the handler's metrics; nil keeps them to itself.
	Metrics prometheus.Registerer
	// CountStart is told of a request that a backend server has begun; nil is allowed.
	CountStart func(account, pool string)

	once    sync.Once
	metrics *metrics
}

// caller is a request that was found to be allowed.
type caller struct {
	id      string
	account table.Account
	route   *table.Route
	began   clock.Boot
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(func() { h.metrics = newMetrics(h.Metrics) })
	call := h.Wire.ClassifyCall(r)
	answer := &observed{ResponseWriter: w}
	began := clock.Now()
	defer func() { h.metrics.observe(call.Kind, answer.status, began) }()
	h.serve(answer, r, call)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, call Call) {
	caller, err := h.admit(r, call)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	switch {
	case call.Kind == CallRead:
		err = h.read(w, r, caller, call)
	case call.Kind == CallEnd:
		err = h.end(w, r, caller, call)
	case call.Kind == CallItem:
		err = h.item(w, r, caller, call)
	case caller.route.Kind == table.Batch:
		err = h.accept(w, r, caller)
	default:
		err = h.run(w, r, caller)
	}
	if err != nil {
		h.refuse(w, r, err)
	}
}

// admit finds the route and the account of a request. The key goes no further.
func (h *Handler) admit(r *http.Request, call Call) (*caller, error) {
	began := clock.Now()
	now := h.View.Current()
	if now == nil {
		// A refusal for want of a route would be final, though the route may well be there.
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "no_configuration", "no configuration is known yet").WithRetryAfter(h.NoConfigRetry)
	}
	admitted := &caller{id: h.Wire.ID(r), began: began}
	if call.Kind == CallRun {
		admitted.route = now.Route(hostOf(r), r.URL.Path)
		if admitted.route == nil {
			return nil, refusal.NotRun(http.StatusNotFound, "no_route", "no route takes this path, by version %d", now.Version)
		}
		if admitted.id == "" {
			return nil, refusal.NotRun(http.StatusBadRequest, "no_id", "the request has no identity")
		}
	}
	if !now.NeedsKeys() || admitted.route != nil && admitted.route.Public {
		return admitted, nil
	}
	account, ok := now.Account(lists.HashKey(h.Wire.Key(r)))
	if !ok {
		return nil, refusal.NotRun(http.StatusUnauthorized, "bad_key", "the key isn't known, by version %d", now.Version)
	}
	admitted.account = account
	return admitted, nil
}

func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return strings.ToLower(host)
}

// body reads the request's body, up to the bound in force.
func (h *Handler) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	most := int64(bodyBytes)
	if now := h.View.Current(); now != nil && now.Limits.BodyBytes > 0 {
		most = now.Limits.BodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refusal.NotRun(http.StatusRequestEntityTooLarge, "large_body", "the body has more than %d bytes", most)
	case err != nil:
		return nil, refusal.NotRun(http.StatusBadRequest, "cut_body", "the body ended before it was whole")
	default:
		return body, nil
	}
}

// accept takes a batch.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, caller *caller) error {
	if r.Method != http.MethodPost {
		return refusal.NotRun(http.StatusMethodNotAllowed, "bad_method", "batches are posted")
	}
	body, err := h.body(w, r)
	if err != nil {
		return err
	}
	accepted, err := h.Formats.ReadBatch(caller.id, body)
	if err != nil {
		return refusal.NotRun(http.StatusBadRequest, "bad_batch", "%v", err)
	}
	accepted.SetHost(r.Host)
	accepted.SetPath(r.URL.Path)
	accepted.SetAccount(caller.account.Name)
	accepted.SetAccepted(time.Now().UnixMilli())
	// The trainer may leave; whether the batch was taken has to be found out all the same.
	if err := h.Board.Accept(context.WithoutCancel(r.Context()), accepted); err != nil {
		return err
	}
	w.WriteHeader(http.StatusAccepted)
	return nil
}

// run gives a request to a backend server.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, caller *caller) error {
	body, err := h.body(w, r)
	if err != nil {
		return err
	}
	request := &forward.Request{
		Request: backend.Request{
			ID:        caller.id,
			Host:      r.Host,
			Method:    r.Method,
			Target:    r.URL.RequestURI(),
			Header:    forwarded(r.Header),
			Body:      body,
			Account:   caller.account.Name,
			Priority:  priority(caller),
			LastEvent: h.Wire.LastEvent(r),
		},
		Route: caller.route,
		Deadline: caller.began.Add(h.allowed(r, caller.route)),
	}
	if h.CountStart != nil && caller.account.Name != "" {
		request.OnBegan = func() { h.CountStart(caller.account.Name, caller.route.Name) }
	}
	answer, err := h.Forwarder.Run(r.Context(), request)
	if err != nil {
		return err
	}
	defer answer.Finish()
	klog.InfoS("caller: answered", "id", caller.id, "account", caller.account.Name, "status", answer.StatusCode, "took", clock.Now().Sub(caller.began))
	return h.relay(w, answer)
}

// allowed returns how long a request may take: the caller's time or the
// route's, whichever is shorter.
func (h *Handler) allowed(r *http.Request, route *table.Route) time.Duration {
	allowed := routeTime(route)
	if left := h.Wire.TimeLeft(r); left > 0 {
		allowed = min(allowed, left)
	}
	return allowed
}

// routeTime returns how long a route's requests may take.
func routeTime(route *table.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout
	}
	return defaultTime
}

// priority returns the request's rank at the backend server, 1 to 9.
func priority(caller *caller) int {
	rank := caller.route.Priority
	if caller.account.HasPriority {
		rank = caller.account.Priority
	}
	return min(max(rank, 0)+1, 9)
}

// read answers with results of a batch.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, caller *caller, call Call) error {
	page, err := h.page(r.Context(), caller, call)
	if err != nil {
		return err
	}
	text, err := h.Formats.WriteOutcomes(page.Total, call.After, page.Outcomes)
	if err != nil {
		return err
	}
	writeJSON(w, text)
	return nil
}

// item answers with the body of an item.
func (h *Handler) item(w http.ResponseWriter, r *http.Request, caller *caller, call Call) error {
	found, err := h.Board.Find(r.Context(), call.Batch, caller.account.Name)
	if err != nil {
		return err
	}
	for _, item := range found.GetItems() {
		if item.GetId() == call.Item {
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("Content-Length", strconv.Itoa(len(item.GetBody())))
			w.WriteHeader(http.StatusOK)
			_, err := w.Write(item.GetBody()) //nolint:gosec // the trainer's own bytes, as an octet stream
			logWrite(err)
			return nil
		}
	}
	return refusal.NotRun(http.StatusNotFound, "no_item", "the batch has no such item")
}

// end ends a batch: at its owner first, so that no more of it runs, then in the store.
func (h *Handler) end(w http.ResponseWriter, r *http.Request, caller *caller, call Call) error {
	h.tellEnd(r.Context(), caller, call)
	if err := h.Board.End(r.Context(), call.Batch, caller.account.Name); err != nil {
		return err
	}
	w.WriteHeader(http.StatusOK)
	return nil
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	refused := refusal.Of(err)
	klog.InfoS("caller: refused", "id", h.Wire.ID(r), "path", r.URL.Path, "status", refused.Status, "code", refused.Code, "reason", refused.Message, "outcome", refused.OutcomeText(), "after", refused.RetryAfter)
	refusal.WriteFractional(w, err)
}

func writeJSON(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusOK)
	_, err := w.Write(text)
	logWrite(err)
}

// logWrite logs that a caller left before its answer was written.
func logWrite(err error) {
	if err != nil {
		klog.V(1).InfoS("caller: left before its answer was written", "err", err.Error())
	}
}
