package batch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// maxReadBytes is the most of texts in one answer: 1 MB less what JSON adds.
const maxReadBytes = 900 << 10

// Page is a part of a batch's outcomes.
type Page struct {
	Total    uint64
	Outcomes []*statepb.Outcome
	// MayBeIncomplete says of a page without outcomes that the store may hold some.
	MayBeIncomplete bool
}

// ReadOwned returns the outcomes of a batch that this process owns from a place
// on; it waits for one if there is none. It reports false if the batch isn't held here.
//
// A reader may have been shown a place that this process doesn't know of: a chunk
// whose answer is late, or one that another process has listed since this one has
// lost the batch. Told "nothing is there", the trainer would see a place go away; so
// this is said only under a lease that stands and with no write open, and the store
// is to be asked else.
func (b *Board) ReadOwned(ctx context.Context, id, account string, after uint64, wait time.Duration) (Page, bool, error) {
	b.lock()
	held := b.held[id]
	b.mutex.Unlock()
	if held == nil {
		return Page{}, false, nil
	}
	if held.batch.GetAccount() != account {
		return Page{}, true, refusal.NotRun(http.StatusNotFound, "no_batch", "no such batch")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isOver := wait <= 0; ; {
		found := held.ledger.read(after)
		page := Page{Total: held.total, Outcomes: head(found.outcomes)}
		if len(found.outcomes) > 0 || after >= held.total {
			return page, true, nil
		}
		if isOver || found.isStopped {
			page.MayBeIncomplete = found.isStopped || found.isOpen || found.lease == 0 || found.lease != b.Lease()
			return page, true, nil
		}
		select {
		case <-ctx.Done():
			isOver = true
		case <-timer.C:
			isOver = true
		case <-found.changed:
		}
	}
}

// ReadStored returns the outcomes of a batch that the store holds.
func (b *Board) ReadStored(ctx context.Context, id, account string, after uint64) (Page, error) {
	batch, err := b.Find(ctx, id, account)
	if err != nil {
		return Page{}, err
	}
	listed, err := b.loadListed(ctx, id)
	if err != nil {
		return Page{}, unsure(id, err)
	}
	page := Page{Total: uint64(len(batch.GetItems()))}
	if after < uint64(len(listed)) {
		page.Outcomes = head(listed[after:])
	}
	return page, nil
}

// Find returns a batch of an account. A *refusal.Error of status 404 says that
// there is none, one of 503 that this isn't known.
func (b *Board) Find(ctx context.Context, id, account string) (*statepb.Batch, error) {
	b.lock()
	held := b.held[id]
	b.mutex.Unlock()
	var batch *statepb.Batch
	if held != nil {
		batch = held.batch
	} else {
		found, err := b.loadBatch(ctx, id)
		if err != nil {
			return nil, unsure(id, err)
		}
		batch = found
	}
	if batch.GetAccount() != account {
		return nil, refusal.NotRun(http.StatusNotFound, "no_batch", "no such batch")
	}
	return batch, nil
}

// check returns nil if a batch is an account's. The account of a batch that the
// store holds is known here; only for one that was not heard of yet the store is
// asked, which answers with the whole of it.
func (b *Board) check(ctx context.Context, id, account string) error {
	b.lock()
	owner, isKnown := b.accounts[id]
	b.mutex.Unlock()
	if !isKnown {
		_, err := b.Find(ctx, id, account)
		return err
	}
	if owner != account {
		return refusal.NotRun(http.StatusNotFound, "no_batch", "no such batch")
	}
	return nil
}

// unsure tells a batch that doesn't exist from one that can't be read now.
func unsure(id string, err error) error {
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return refusal.NotRun(http.StatusNotFound, "no_batch", "no such batch")
	}
	klog.InfoS("batch: can't be read", "batch", id, "err", err.Error())
	return refusal.NotRun(http.StatusServiceUnavailable, "store_away", "the store does not answer").WithRetryAfter(storeAgain)
}

// End ends a batch. Its runs here stop at once, before the store knows of it.
func (b *Board) End(ctx context.Context, id, account string) error {
	if err := b.check(ctx, id, account); err != nil {
		return err
	}
	b.StopOwned(id, account)
	if b.isEnded(id) {
		return nil
	}
	for {
		_, err := b.Store.Commit(ctx, platform.Commit{Remove: []string{openKey(id)}})
		var missing *platform.NotFoundError
		if err == nil || errors.As(err, &missing) {
			klog.InfoS("batch: its trainer has ended it", "batch", id)
			return nil
		}
		if ctx.Err() != nil || isNothingDone(err) {
			return unsure(id, err)
		}
	}
}

// isEnded reports whether the store is known to have ended a batch. Trainers that had
// no answer, and others of their account, end a batch again.
func (b *Board) isEnded(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.ended[id]
}

// StopOwned stops the runs of a batch that this process owns, and reports whether it does.
func (b *Board) StopOwned(id, account string) bool {
	b.lock()
	held := b.held[id]
	b.mutex.Unlock()
	if held == nil || held.batch.GetAccount() != account {
		return false
	}
	held.end()
	return true
}

// head returns as many outcomes as fit into one answer, and at least one.
func head(outcomes []*statepb.Outcome) []*statepb.Outcome {
	size := 0
	for i, outcome := range outcomes {
		size += len(outcome.GetText()) + 200
		if i > 0 && size > maxReadBytes {
			return outcomes[:i]
		}
	}
	return outcomes
}
