package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

// generate runs an item on a server and records the result.
func (o *owner) generate(ctx context.Context, job Job, server *roster.Server) {
	began := clock.Now()
	err := o.stream(ctx, job, server)
	o.roster.Finish(server)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	defer o.notify()
	if run := o.runs[job.index]; run != nil {
		o.release(run.pool)
	}
	delete(o.runs, job.index)
	now := clock.Now()
	if err == nil {
		klog.InfoS("batch: generated", "id", job.spec.GetId(), "batch", o.batch.GetId(), "server", server.Name(), "events", o.plan.Events(job)-job.events, "took", now.Sub(began))
		o.metrics.runs.WithLabelValues(endWhole).Inc()
		o.plan.Generated(job)
		return
	}
	end := o.recordEnd(ctx, job, server, err, now)
	o.metrics.runs.WithLabelValues(end).Inc()
	if end != endStopped && end != endRefused {
		klog.InfoS("batch: run ended", "id", job.spec.GetId(), "batch", o.batch.GetId(), "server", server.Name(), "end", end, "err", err.Error(), "events", o.plan.Events(job), "took", now.Sub(began))
	}
}

// recordEnd updates the plan and the roster after a failed run, and returns the metric label of
// its end.
func (o *owner) recordEnd(ctx context.Context, job Job, server *roster.Server, err error, now clock.Boot) string {
	refused := refusal.Of(err)
	switch {
	case errors.Is(context.Cause(ctx), errSlow):
		o.plan.Interrupted(job, 0, now)
		return endSlow
	case ctx.Err() != nil:
		o.plan.Interrupted(job, 0, now)
		return endStopped
	case refused.Code == backend.CodeFailed && isItemFailure(refused.Status):
		o.plan.Failed(job, refused.Status == http.StatusUnprocessableEntity, now)
		return endFailed
	case refusal.IsNotRun(err), errors.Is(err, errVersionMismatch):
		forward.RecordFailure(ctx, o.roster, server, err)
		o.plan.Interrupted(job, 0, now)
		return endRefused
	default:
		forward.RecordFailure(ctx, o.roster, server, err)
		o.plan.Faulted(job, now)
		return endFault
	}
}

// isItemFailure reports whether a status concerns the item and not only its server: the run
// failed, or the item can never be run.
func isItemFailure(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusUnprocessableEntity
}

// errVersionMismatch ends a run whose weight version the batch does not allow.
var errVersionMismatch = refusal.Unknown(http.StatusConflict, "unfit", "the sampler's weight version doesn't fit the batch")

// stream sends an item and reads the events of the answer.
func (o *owner) stream(ctx context.Context, job Job, server *roster.Server) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	answer, err := server.Direct().Do(ctx, backend.Request{
		ID:          job.spec.GetId(),
		Server:      server.Name(),
		Host:        o.batch.GetHost(),
		Method:      http.MethodPost,
		Target:      job.spec.GetPath(),
		Header:      o.headerEncoder.EncodeItemHeader(job.spec.GetHeaders()),
		Body:        job.spec.GetBody(),
		Account:     o.batch.GetAccount(),
		LastEvent:   uint64(job.events),
		ReadTimeout: silenceTimeout,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refusal.Unknown(answer.StatusCode, backend.CodeFailed, "%s answered %d", server.Name(), answer.StatusCode)
	}
	o.roster.RecordAnswer(server)
	return runError(ctx, server.Name(), o.readEvents(job, server, answer))
}

// runError returns the error of a run. A run that this process ends at its timeout looks like one whose server has closed
// the connection.
func runError(ctx context.Context, server string, err error) error {
	if err == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	return refusal.Unknown(http.StatusGatewayTimeout, "timeout", "%s had not finished the text after %s", server, runTimeout)
}

// readEvents records the events of an answer up to its end.
func (o *owner) readEvents(job Job, server *roster.Server, answer *backend.Answer) error {
	events := answer.Events()
	next := uint64(job.events)
	size := o.textBytes(job)
	var last clock.Boot
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if next == 0 {
				// A complete text has at least one event.
				return answer.Interrupted()
			}
			return nil
		}
		if err != nil {
			return err
		}
		next++
		if event.Number != next {
			return refusal.Unknown(http.StatusBadGateway, "bad_event", "%s sent event %d in place of %d", server.Name(), event.Number, next)
		}
		if !utf8.ValidString(event.Data) {
			// Messages hold valid text only: the outcome could not be stored, nor any outcome after it.
			return refusal.Unknown(http.StatusBadGateway, "bad_event", "event %d of %s isn't valid UTF-8", event.Number, server.Name())
		}
		now := clock.Now()
		if last != 0 {
			answer.SetReadTimeout(stallTimeout(o.roster.RecordEvent(server, now.Sub(last))))
		}
		last = now
		if size += eventSize(event.Data); o.maxTextBytes > 0 && size > o.maxTextBytes {
			o.dropText(job)
			return refusal.Unknown(http.StatusBadGateway, "bad_event", "the text has more than %d bytes with event %d of %s", o.maxTextBytes, event.Number, server.Name())
		}
		if !o.recordEvent(job, server, event) {
			return errVersionMismatch
		}
	}
}

// textBytes returns the size of an item's text so far.
func (o *owner) textBytes(job Job) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.plan.TextBytes(job)
}

// dropText drops the text of a running item, which starts anew.
func (o *owner) dropText(job Job) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.plan.DropText(job)
}

// stallTimeout returns the maximum time between two events of a text, given the usual event
// interval of the server; an interval of 0 means that it is unknown.
//
// A full server delays only the first event of a run. Later events arrive at even intervals, also
// during weight loads, and each second lost on the longest text delays its step.
func stallTimeout(eventInterval time.Duration) time.Duration {
	if eventInterval == 0 {
		return silenceTimeout
	}
	return min(max(minStallTimeout, stallEvents*eventInterval), silenceTimeout)
}

func (o *owner) recordEvent(job Job, server *roster.Server, event backend.Event) bool {
	o.roster.RecordVersion(server, o.batch.GetModel(), event.Version)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.plan.Event(job, event.Data, event.Version)
}
