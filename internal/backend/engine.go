package backend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	pathCompletion = "/v1/completions"
	pathChat       = "/v1/chat/completions"
	// maxResumes is how often a generation that was cut is resumed.
	maxResumes = 2
)

// Engine speaks to a model engine.
type Engine struct {
	Server

	Decisions *decision.Log

	version atomic.Uint64
	// shownAt is when an answer showed the version, nanoseconds since 1970 UTC.
	shownAt atomic.Int64
}

// Version returns the weight version that the engine has shown last; 0 if none.
func (e *Engine) Version() uint64 { return e.version.Load() }

// Run passes a request on and gives the answer's parts to sink. The error is a
// *refusal.Error unless sink failed.
//
// A generation that was cut goes on at the same engine from the tokens that
// were received, so that the answer is one whole and no token is made twice.
func (e *Engine) Run(ctx context.Context, request *peerpb.RunRequest, sink Sink) (*peerpb.End, error) {
	prompt, err := newPrompt(request)
	if err != nil {
		return nil, refusal.NotRun(http.StatusBadRequest, "bad_body", "%v", err)
	}
	if shown := e.Version(); shown < request.GetVersion() {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "old_version", "%s shows version %d, not %d", e.Name, shown, request.GetVersion()).WithRetryAfter(retryElsewhere)
	}
	end, err := e.generate(ctx, request, prompt, sink)
	for resumes := 0; resumes < maxResumes && request.GetIdempotent() && prompt.mayResume(err); resumes++ {
		e.Decisions.Record(request.GetId(), "backend", "%v, resumed after %d tokens", err, len(prompt.tokens))
		end, err = e.generate(ctx, request, prompt, sink)
		err = afterSend(err)
	}
	return end, err
}

// generate sends a prompt once and relays the events.
func (e *Engine) generate(ctx context.Context, request *peerpb.RunRequest, prompt *prompt, sink Sink) (*peerpb.End, error) {
	body, err := prompt.encode()
	if err != nil {
		return nil, refusal.NotRun(http.StatusBadRequest, "bad_body", "%v", err)
	}
	header := baseHeader(request)
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	answer, err := e.exchange(ctx, call{
		method:  http.MethodPost,
		path:    enginePath(request.GetKind()),
		header:  header,
		body:    body,
		silence: e.ReadTimeout,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, e.refused(answer)
	}
	return e.relay(answer, prompt, sink)
}

// afterSend keeps a refusal from saying "not run" once the engine was sent the
// request before.
func afterSend(err error) error {
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		return refusal.Unknown(refused.Status, refused.Code, "%s", refused.Message).WithRetryAfter(refused.RetryAfter)
	}
	return err
}

// relay gives the events to sink until [DONE]. An answer without it was cut and
// gets no end frame.
func (e *Engine) relay(answer *answer, prompt *prompt, sink Sink) (*peerpb.End, error) {
	events := newEvents(answer.Body)
	end := &peerpb.End{}
	for {
		event, err := events.next()
		if errors.Is(err, errDone) {
			return e.finish(end, prompt)
		}
		if err != nil {
			return nil, e.refuse(answer.watch.cause(err), true)
		}
		e.show(event.Version)
		e.shownAt.Store(time.Now().UnixNano())
		event.fill(end)
		chunk := event.chunk()
		if chunk == nil {
			continue
		}
		prompt.take(chunk)
		if err := sink(peerpb.Frame_builder{Chunk: chunk}.Build()); err != nil {
			return nil, err
		}
	}
}

// finish checks that the engine said why it stopped.
func (e *Engine) finish(end *peerpb.End, prompt *prompt) (*peerpb.End, error) {
	if end.GetFinish() == "" {
		return nil, refusal.Unknown(http.StatusBadGateway, "unfinished", "%s ended its answer without saying why", e.Name)
	}
	if end.GetOutputTokens() < uint64(len(prompt.tokens)) {
		end.SetOutputTokens(uint64(len(prompt.tokens)))
	}
	return end, nil
}

// refused reads a status other than 200. Only 503 says that the engine has not
// taken the request; any other may come after it has begun.
func (e *Engine) refused(answer *answer) *refusal.Error {
	var body struct {
		Error json.RawMessage `json:"error"`
	}
	err := json.NewDecoder(http.MaxBytesReader(nil, answer.Body, maxEventBytes)).Decode(&body)
	isRefusal := err == nil && hasError(body.Error)
	switch {
	case answer.StatusCode == http.StatusServiceUnavailable && isRefusal:
		return refusal.NotRun(http.StatusServiceUnavailable, "engine_full", "%s has no room", e.Name).WithRetryAfter(retryElsewhere)
	case answer.StatusCode >= 400 && answer.StatusCode < 500:
		return refusal.Unknown(answer.StatusCode, "engine_rejected", "%s rejected the request: %s", e.Name, errorText(body.Error))
	default:
		return refusal.Unknown(http.StatusBadGateway, "engine_failed", "%s answered %d", e.Name, answer.StatusCode)
	}
}

// show notes the version that the engine has shown and logs a change.
func (e *Engine) show(version uint64) {
	if version == 0 || version == e.version.Swap(version) {
		return
	}
	e.Decisions.Record(e.Name, "backend", "shows weight version %d", version)
}

func enginePath(kind peerpb.Kind) string {
	if kind == peerpb.Kind_KIND_CHAT {
		return pathChat
	}
	return pathCompletion
}

// errorText returns the message of an error in OpenAI's style, or the error as it is.
func errorText(raw json.RawMessage) string {
	var style struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(raw, &style) == nil && style.Message != "" {
		return style.Message
	}
	return string(raw)
}
