// Package gateway serves callers and trainers on a host that connects to backend
// servers directly, and communicates with the other gateways.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	// defaultMaxBodyBytes limits a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 32 << 20
	// defaultTimeout is the timeout of routes that set none.
	defaultTimeout = 60 * time.Second
	// maxWait bounds how long a call waits for new results or store changes.
	maxWait = time.Second
)

// bodyCodes are the codes of requests whose bodies can't be read.
var bodyCodes = listen.BodyCodes{TooLarge: "large_body", Cut: "cut_body"}

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

// Call is the operation that a request asks for, with its parameters.
type Call struct {
	Kind  CallKind
	Batch string
	Item  string
	// After is the position from which results are read.
	After uint64
	// Wait is how long to wait for a result.
	Wait time.Duration
}

// Wire extracts call parameters from HTTP requests.
type Wire interface {
	// ParseCall returns the operation that the request asks for.
	ParseCall(request *http.Request) Call
	// ID returns the request's identity; "" if it has none.
	ID(request *http.Request) string
	// Key returns the caller's key; "" if it has none.
	Key(request *http.Request) string
	// LastEvent returns the last event of a stream that the caller has received.
	LastEvent(request *http.Request) uint64
	// TimeLeft returns how long the caller will wait; 0 if unspecified.
	TimeLeft(request *http.Request) time.Duration
}

// Formats decodes and encodes the bodies of trainers' calls.
type Formats struct {
	ReadBatch      func(id string, text []byte) (*statepb.Batch, error)
	EncodeOutcomes func(total, after uint64, outcomes []*statepb.Outcome) ([]byte, error)
}

// Shutdown is the planned end of the process.
type Shutdown interface {
	// TimeLeft returns how much longer requests may run; ok is false unless the process stops.
	TimeLeft() (left time.Duration, ok bool)
	// Context ends when requests that still run must be answered. Its cause is a *refusal.Error.
	Context() context.Context
}

// Handler serves callers and trainers. Exported fields are set before the first request.
type Handler struct {
	Wire      Wire
	Formats   Formats
	View      *table.View
	Forwarder *forward.Forwarder
	Board     *batch.Board
	Hosts     *Hosts
	// NoConfigRetry is the retry delay sent to callers before the first configuration
	// is known.
	NoConfigRetry time.Duration
	// Metrics registers the handler's metrics; nil leaves them unregistered.
	Metrics prometheus.Registerer
	// CountStart is called when a backend server starts a request; it may be nil.
	CountStart func(account, pool string)
	// Shutdown bounds requests while the process stops; nil means that it never does.
	Shutdown Shutdown

	once    sync.Once
	metrics *metrics
}

// admittedRequest is a request with its resolved route and account.
type admittedRequest struct {
	id      string
	account table.Account
	route   *table.Route
	began   clock.Boot
	// needsKey reports whether the configuration has accounts. Callers of public routes then count as one.
	needsKey bool
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(func() { h.metrics = newMetrics(h.Metrics) })
	call := h.Wire.ParseCall(r)
	recorder := &statusRecorder{ResponseWriter: w, isStopping: h.isStopping}
	began := clock.Now()
	defer func() { h.metrics.observe(call.Kind, recorder.status, began) }()
	h.serve(recorder, r, call)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, call Call) {
	admitted, err := h.admit(r, call)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	if admitted.needsKey {
		listen.ReservationOf(r.Context()).Assign(admitted.account.Name)
	}
	switch {
	case call.Kind == CallRead:
		err = h.read(w, r, admitted, call)
	case call.Kind == CallEnd:
		err = h.end(w, r, admitted, call)
	case call.Kind == CallItem:
		err = h.serveItem(w, r, admitted, call)
	case admitted.route.Kind == table.Batch:
		err = h.accept(w, r, admitted)
	default:
		err = h.run(w, r, admitted)
	}
	if err != nil {
		h.refuse(w, r, err)
	}
}

// admit resolves the route and the account of a request. The result does not contain the key.
func (h *Handler) admit(r *http.Request, call Call) (*admittedRequest, error) {
	began := clock.Now()
	current := h.View.Current()
	if current == nil {
		return nil, refusal.NoConfiguration(h.NoConfigRetry)
	}
	admitted := &admittedRequest{id: h.Wire.ID(r), began: began, needsKey: current.NeedsKeys()}
	if call.Kind == CallRun {
		admitted.route = current.Route(hostOf(r), r.URL.Path)
		if admitted.route == nil {
			return nil, refusal.NotRun(http.StatusNotFound, "no_route", "no route takes this path, by version %d", current.Version)
		}
		if admitted.id == "" {
			return nil, refusal.NotRun(http.StatusBadRequest, "no_id", "the request has no identity")
		}
	}
	if !current.NeedsKeys() || admitted.route != nil && admitted.route.Public {
		return admitted, nil
	}
	account, ok := current.Account(lists.HashKey(h.Wire.Key(r)))
	if !ok {
		return nil, refusal.NotRun(http.StatusUnauthorized, "bad_key", "the key isn't known, by version %d", current.Version)
	}
	admitted.account = account
	return admitted, nil
}

func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return strings.ToLower(host)
}

// readBody reads the request body, up to the configured limit and the request's deadline.
func (h *Handler) readBody(r *http.Request, admitted *admittedRequest) ([]byte, error) {
	maxBytes := int64(defaultMaxBodyBytes)
	if current := h.View.Current(); current != nil && current.Limits.MaxBodyBytes > 0 {
		maxBytes = current.Limits.MaxBodyBytes
	}
	left := admitted.began.Add(h.requestTimeout(r, admitted.route)).Sub(clock.Now())
	if untilStop, isStopping := h.stopsIn(); isStopping {
		left = min(left, untilStop)
	}
	body, err := listen.ReadBody(r, maxBytes, time.Now().Add(left))
	return body, listen.RefuseBody(err, bodyCodes)
}

// accept stores a new batch.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, admitted *admittedRequest) error {
	if r.Method != http.MethodPost {
		return refusal.NotRun(http.StatusMethodNotAllowed, "bad_method", "batches are posted")
	}
	body, err := h.readBody(r, admitted)
	if err != nil {
		return err
	}
	if err := listen.TakeMemory(r, budget.JSONBytes(body), bodyCodes); err != nil {
		return err
	}
	accepted, err := h.Formats.ReadBatch(admitted.id, body)
	if err != nil {
		return refusal.NotRun(http.StatusBadRequest, "bad_batch", "%v", err)
	}
	accepted.SetHost(r.Host)
	accepted.SetPath(r.URL.Path)
	accepted.SetAccount(admitted.account.Name)
	accepted.SetAccepted(time.Now().UnixMilli())
	// The outcome must be determined even if the trainer disconnects.
	if err := h.Board.Accept(context.WithoutCancel(r.Context()), accepted); err != nil {
		return err
	}
	w.WriteHeader(http.StatusAccepted)
	return nil
}

// run forwards a request to a backend server.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, admitted *admittedRequest) error {
	body, err := h.readBody(r, admitted)
	if err != nil {
		return err
	}
	request := &forward.Request{
		Request: backend.Request{
			ID:        admitted.id,
			Host:      r.Host,
			Method:    r.Method,
			Target:    r.URL.RequestURI(),
			Header:    endToEndHeaders(r.Header),
			Body:      body,
			Account:   admitted.account.Name,
			Priority:  priority(admitted),
			LastEvent: h.Wire.LastEvent(r),
		},
		Memory:   listen.ReservationOf(r.Context()),
		Route:    admitted.route,
		Deadline: admitted.began.Add(h.requestTimeout(r, admitted.route)),
		StopsIn:  h.stopsIn,
	}
	if h.CountStart != nil && admitted.account.Name != "" {
		request.OnReceived = func() { h.CountStart(admitted.account.Name, admitted.route.Name) }
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	endWait := h.onStop(cancel)
	answer, err := h.Forwarder.Run(ctx, request)
	// An answer that has begun is passed on for as long as the process lives.
	endWait()
	if err != nil {
		return err
	}
	defer answer.Finish()
	klog.InfoS("caller: answered", "id", admitted.id, "account", admitted.account.Name, "status", answer.StatusCode, "took", clock.Now().Sub(admitted.began))
	return h.relay(w, answer)
}

// stopsIn returns how much longer requests may run; isStopping is false unless the process stops.
func (h *Handler) stopsIn() (left time.Duration, isStopping bool) {
	if h.Shutdown == nil {
		return 0, false
	}
	return h.Shutdown.TimeLeft()
}

func (h *Handler) isStopping() bool {
	_, isStopping := h.stopsIn()
	return isStopping
}

// onStop calls cancel when the process has to answer its last requests, until the returned function is called.
func (h *Handler) onStop(cancel context.CancelCauseFunc) (endWait func()) {
	if h.Shutdown == nil {
		return func() {}
	}
	ctx := h.Shutdown.Context()
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return func() { stop() }
}

// requestTimeout returns the shorter of the caller's and the route's timeout.
func (h *Handler) requestTimeout(r *http.Request, route *table.Route) time.Duration {
	timeout := routeTimeout(route)
	if left := h.Wire.TimeLeft(r); left > 0 {
		timeout = min(timeout, left)
	}
	return timeout
}

// routeTimeout returns the timeout of requests of a route.
func routeTimeout(route *table.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout
	}
	return defaultTimeout
}

// priority returns the priority of the request at the backend server, 1 to 9.
func priority(admitted *admittedRequest) int {
	rank := admitted.route.Priority
	if admitted.account.HasPriority {
		rank = admitted.account.Priority
	}
	return min(max(rank, 0)+1, 9)
}

// read responds with results of a batch.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, admitted *admittedRequest, call Call) error {
	page, err := h.readPage(r, admitted, call)
	if err != nil {
		return err
	}
	if err := listen.TakeMemory(r, pageBytes(page.Outcomes), bodyCodes); err != nil {
		return err
	}
	text, err := h.Formats.EncodeOutcomes(page.Total, call.After, page.Outcomes)
	if err != nil {
		return err
	}
	writeJSON(w, text)
	return nil
}

// pageBytes returns the memory of encoded outcomes, which may grow by half and is copied once.
func pageBytes(outcomes []*statepb.Outcome) int64 {
	const outcomeBytes = 256
	size := int64(0)
	for _, outcome := range outcomes {
		size += outcomeBytes + 3*int64(len(outcome.GetText()))
	}
	return size
}

// serveItem responds with the body of an item.
func (h *Handler) serveItem(w http.ResponseWriter, r *http.Request, admitted *admittedRequest, call Call) error {
	if !h.Board.Owns(call.Batch) {
		if err := listen.TakeMemory(r, h.storedBytes(), bodyCodes); err != nil {
			return err
		}
	}
	found, err := h.Board.Find(r.Context(), call.Batch, admitted.account.Name)
	if err != nil {
		return err
	}
	for _, item := range found.GetItems() {
		if item.GetId() == call.Item {
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("Content-Length", strconv.Itoa(len(item.GetBody())))
			w.WriteHeader(http.StatusOK)
			_, err := w.Write(item.GetBody()) //nolint:gosec // the trainer's own bytes, as an octet stream
			logWriteError(err)
			return nil
		}
	}
	return refusal.NotRun(http.StatusNotFound, "no_item", "the batch has no such item")
}

// end ends a batch: first at its owner, which stops running its items, then in the
// store.
func (h *Handler) end(w http.ResponseWriter, r *http.Request, admitted *admittedRequest, call Call) error {
	h.notifyOwnerOfEnd(r.Context(), admitted, call)
	if err := h.Board.End(r.Context(), call.Batch, admitted.account.Name); err != nil {
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
	logWriteError(err)
}

// logWriteError logs that a response could not be written because its caller
// disconnected.
func logWriteError(err error) {
	if err != nil {
		klog.V(1).InfoS("caller: writing the response failed; the caller has disconnected", "err", err.Error())
	}
}
