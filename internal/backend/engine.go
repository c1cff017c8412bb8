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
	// maxResumes limits how often an interrupted generation is resumed.
	maxResumes = 2
)

// Engine is the client for a model engine.
type Engine struct {
	Server

	Decisions *decision.Log

	version atomic.Uint64
	// versionSeenAt is when an answer last showed the version, in Unix nanoseconds.
	versionSeenAt atomic.Int64
}

// Version returns the weight version that the engine last reported; 0 if none.
func (e *Engine) Version() uint64 { return e.version.Load() }

// Run sends a request to the engine and passes the frames of its answer to sink. The error
// is a *refusal.Error unless sink failed.
//
// An interrupted generation resumes at the same engine after the tokens received so far,
// so that the caller gets one complete answer and no token is generated twice.
func (e *Engine) Run(ctx context.Context, request *peerpb.RunRequest, sink Sink) (*peerpb.End, error) {
	prompt, err := newPrompt(request)
	if err != nil {
		return nil, refusal.NotRun(http.StatusBadRequest, "bad_body", "%v", err)
	}
	if current := e.Version(); current < request.GetVersion() {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "old_version", "%s shows version %d, not %d", e.Name, current, request.GetVersion()).WithRetryAfter(retryAfter)
	}
	end, err := e.generate(ctx, request, prompt, sink)
	for resumes := 0; resumes < maxResumes && request.GetIdempotent() && prompt.mayResume(err); resumes++ {
		e.Decisions.Record(request.GetId(), "backend", "%v, resumed after %d tokens", err, len(prompt.receivedTokens))
		end, err = e.generate(ctx, request, prompt, sink)
		err = asUnknown(err)
	}
	return end, err
}

// generate sends the prompt once and relays the events.
func (e *Engine) generate(ctx context.Context, request *peerpb.RunRequest, prompt *prompt, sink Sink) (*peerpb.End, error) {
	body, err := prompt.encode()
	if err != nil {
		return nil, refusal.NotRun(http.StatusBadRequest, "bad_body", "%v", err)
	}
	header := baseHeader(request)
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	answer, err := e.exchange(ctx, call{
		method:      http.MethodPost,
		path:        enginePath(request.GetKind()),
		header:      header,
		body:        body,
		readTimeout: e.ReadTimeout,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, e.statusRefusal(answer)
	}
	return e.relay(answer, prompt, sink)
}

// asUnknown changes the outcome of a refusal from "not run" to unknown, because an earlier
// attempt has already sent the request to the engine.
func asUnknown(err error) error {
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		return refusal.Unknown(refused.Status, refused.Code, "%s", refused.Message).WithRetryAfter(refused.RetryAfter)
	}
	return err
}

// relay passes the events to sink until [DONE]. An answer without [DONE] was interrupted
// and gets no end frame.
func (e *Engine) relay(answer *watchedResponse, prompt *prompt, sink Sink) (*peerpb.End, error) {
	events := newEngineEvents(answer.Body, answer.watchdog)
	end := &peerpb.End{}
	for {
		event, err := events.next()
		if errors.Is(err, errDone) {
			return e.checkFinish(end, prompt)
		}
		if err != nil {
			return nil, e.refuse(answer.watchdog.cause(err), true)
		}
		e.setVersion(event.Version)
		e.versionSeenAt.Store(time.Now().UnixNano())
		event.fillEnd(end)
		chunk := event.toChunk()
		if chunk == nil {
			continue
		}
		prompt.addTokens(chunk)
		if err := sink(peerpb.Frame_builder{Chunk: chunk}.Build()); err != nil {
			return nil, err
		}
	}
}

// checkFinish checks that the engine gave a finish reason.
func (e *Engine) checkFinish(end *peerpb.End, prompt *prompt) (*peerpb.End, error) {
	if end.GetFinish() == "" {
		return nil, refusal.Unknown(http.StatusBadGateway, "unfinished", "%s ended its answer without saying why", e.Name)
	}
	if end.GetOutputTokens() < uint64(len(prompt.receivedTokens)) {
		end.SetOutputTokens(uint64(len(prompt.receivedTokens)))
	}
	return end, nil
}

// statusRefusal returns the refusal for a status other than 200. Only 503 states that the
// engine did not accept the request; the engine may send any other status after it has
// started to generate.
func (e *Engine) statusRefusal(answer *watchedResponse) *refusal.Error {
	var body struct {
		Error json.RawMessage `json:"error"`
	}
	err := answer.decode(&body)
	isRefusal := err == nil && hasError(body.Error)
	switch {
	case answer.StatusCode == http.StatusServiceUnavailable && isRefusal:
		return refusal.NotRun(http.StatusServiceUnavailable, "engine_full", "%s has no room", e.Name).WithRetryAfter(retryAfter)
	case answer.StatusCode >= 400 && answer.StatusCode < 500:
		return refusal.Unknown(answer.StatusCode, "engine_rejected", "%s rejected the request: %s", e.Name, errorText(body.Error))
	default:
		return refusal.Unknown(http.StatusBadGateway, "engine_failed", "%s answered %d", e.Name, answer.StatusCode)
	}
}

// setVersion stores the version that the engine reported and logs a change.
func (e *Engine) setVersion(version uint64) {
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

// errorText returns the message of an OpenAI-style error, or the raw error.
func errorText(raw json.RawMessage) string {
	var body struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(raw, &body) == nil && body.Message != "" {
		return body.Message
	}
	return string(raw)
}
