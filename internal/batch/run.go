package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

// generate runs an item at a server and takes its events.
func (o *owner) generate(ctx context.Context, job Job, server *roster.Server) {
	began := clock.Now()
	err := o.stream(ctx, job, server)
	o.roster.Finish(server)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	defer o.nudge()
	delete(o.runs, job.index)
	now := clock.Now()
	if err == nil {
		klog.InfoS("batch: generated", "id", job.spec.GetId(), "batch", o.batch.GetId(), "server", server.Name(), "events", o.plan.Events(job)-job.events, "took", now.Sub(began))
		o.metrics.runs.WithLabelValues(endWhole).Inc()
		o.plan.Generated(job)
		return
	}
	end := o.settleRun(ctx, job, server, err, now)
	o.metrics.runs.WithLabelValues(end).Inc()
	if end != endStopped && end != endRefused {
		klog.InfoS("batch: run ended", "id", job.spec.GetId(), "batch", o.batch.GetId(), "server", server.Name(), "end", end, "err", err.Error(), "events", o.plan.Events(job), "took", now.Sub(began))
	}
}

// settleRun tells the plan and the roster what a run's end means, and names it.
func (o *owner) settleRun(ctx context.Context, job Job, server *roster.Server, err error, now clock.Boot) string {
	refused := refusal.Of(err)
	switch {
	case errors.Is(context.Cause(ctx), errSlow):
		o.plan.Interrupted(job, 0, now)
		return endSlow
	case ctx.Err() != nil:
		o.plan.Interrupted(job, 0, now)
		return endStopped
	case refused.Code == backend.CodeFailed && isVerdict(refused.Status):
		o.plan.Failed(job, refused.Status == http.StatusUnprocessableEntity, now)
		return endFailed
	case refusal.IsNotRun(err), errors.Is(err, errUnfit):
		forward.NoteFailure(ctx, o.roster, server, err)
		o.plan.Interrupted(job, 0, now)
		return endRefused
	default:
		forward.NoteFailure(ctx, o.roster, server, err)
		o.plan.Faulted(job, now)
		return endFault
	}
}

// isVerdict reports whether a status says something of the item, and not only of
// its server: that its run failed, or that it can never be done.
func isVerdict(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusUnprocessableEntity
}

// errUnfit ends a run whose text may not be used.
var errUnfit = refusal.Unknown(http.StatusConflict, "unfit", "the sampler's weight version doesn't fit the batch")

// stream sends an item and takes the events of the answer.
func (o *owner) stream(ctx context.Context, job Job, server *roster.Server) error {
	ctx, cancel := context.WithTimeout(ctx, runTime)
	defer cancel()
	answer, err := server.Direct().Do(ctx, backend.Request{
		ID:        job.spec.GetId(),
		Server:    server.Name(),
		Host:      o.batch.GetHost(),
		Method:    http.MethodPost,
		Target:    job.spec.GetPath(),
		Header:    o.wire.EncodeItemHeader(job.spec.GetHeaders()),
		Body:      job.spec.GetBody(),
		Account:   o.batch.GetAccount(),
		LastEvent: uint64(job.events),
		ReadTimeout:   silence,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refusal.Unknown(answer.StatusCode, backend.CodeFailed, "%s answered %d", server.Name(), answer.StatusCode)
	}
	o.roster.RecordAnswer(server)
	return o.take(job, server, answer)
}

// take takes the events of an answer up to its end.
func (o *owner) take(job Job, server *roster.Server, answer *backend.Answer) error {
	events := answer.Events()
	next := uint64(job.events)
	var last clock.Boot
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if next == 0 {
				// A whole text has at least one event.
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
		now := clock.Now()
		if last != 0 {
			answer.SetReadTimeout(stallTime(o.roster.RecordEvent(server, now.Sub(last))))
		}
		last = now
		if !o.event(job, server, event) {
			return errUnfit
		}
	}
}

// stallTime returns how long a server of this pace may send nothing within a text.
//
// A run waits at a full server for its first event only. After that its events come
// evenly, also while weights are loaded, and the longest texts have no second to lose.
func stallTime(pace time.Duration) time.Duration {
	if pace == 0 {
		return silence
	}
	return min(max(leastStall, stallEvents*pace), silence)
}

func (o *owner) event(job Job, server *roster.Server, event backend.Event) bool {
	o.roster.RecordVersion(server, o.batch.GetModel(), event.Version)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.plan.Event(job, event.Data, event.Version)
}
