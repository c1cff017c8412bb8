package batch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// maxReadBytes bounds the texts of one answer: 1 MB less the overhead of JSON.
const maxReadBytes = 900 << 10

// Page is a part of a batch's outcomes.
type Page struct {
	Total    uint64
	Outcomes []*statepb.Outcome
	// MayBeIncomplete reports, for a page without outcomes, whether the store may hold some.
	MayBeIncomplete bool
}

// ReadOwned returns the outcomes of a batch that this process owns, from a position on, and waits
// for the first of them. It returns false if this process does not own the batch.
//
// A reader may have seen a position that is missing in this process: the answer to the write of
// its chunk is late, or another process has listed the chunk since this one lost the batch. After
// an empty page, the trainer would lose that position. So an empty page is definite only under a
// valid lease and with no write in doubt; otherwise it may be incomplete and the store must be
// asked.
func (b *Board) ReadOwned(ctx context.Context, id, account string, after uint64, wait time.Duration) (Page, bool, error) {
	b.lock()
	owned := b.owned[id]
	b.mutex.Unlock()
	if owned == nil {
		return Page{}, false, nil
	}
	if owned.batch.GetAccount() != account {
		return Page{}, true, refusal.NotRun(http.StatusNotFound, "no_batch", "no such batch")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isExpired := wait <= 0; ; {
		view := owned.ledger.read(after)
		page := Page{Total: owned.total, Outcomes: firstPage(view.outcomes)}
		if len(view.outcomes) > 0 || after >= owned.total {
			return page, true, nil
		}
		if isExpired || view.isStopped {
			page.MayBeIncomplete = view.isStopped || view.isInDoubt || view.lease == 0 || view.lease != b.Lease()
			return page, true, nil
		}
		select {
		case <-ctx.Done():
			isExpired = true
		case <-timer.C:
			isExpired = true
		case <-view.changed:
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
		return Page{}, storeRefusal(id, err)
	}
	page := Page{Total: uint64(len(batch.GetItems()))}
	if after < uint64(len(listed)) {
		page.Outcomes = firstPage(listed[after:])
	}
	return page, nil
}

// Owns reports whether this process runs a batch, and so needs no store to read it.
func (b *Board) Owns(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.owned[id] != nil
}

// Find returns a batch of an account. The *refusal.Error has status 404 if the batch does not
// exist, and 503 if that is unknown.
func (b *Board) Find(ctx context.Context, id, account string) (*statepb.Batch, error) {
	b.lock()
	owned := b.owned[id]
	b.mutex.Unlock()
	var batch *statepb.Batch
	if owned != nil {
		batch = owned.batch
	} else {
		loaded, err := b.loadBatch(ctx, id)
		if err != nil {
			return nil, storeRefusal(id, err)
		}
		batch = loaded
	}
	if batch.GetAccount() != account {
		return nil, refusal.NotRun(http.StatusNotFound, "no_batch", "no such batch")
	}
	return batch, nil
}

// checkAccount returns nil if a batch belongs to an account. The accounts of stored batches are
// in memory; only for a batch that the watch has not shown yet, checkAccount reads the whole
// batch from the store.
func (b *Board) checkAccount(ctx context.Context, id, account string) error {
	b.lock()
	batchAccount, isKnown := b.accounts[id]
	b.mutex.Unlock()
	if !isKnown {
		_, err := b.Find(ctx, id, account)
		return err
	}
	if batchAccount != account {
		return refusal.NotRun(http.StatusNotFound, "no_batch", "no such batch")
	}
	return nil
}

// storeRefusal returns the refusal for a failed read or write of a batch: the batch does not
// exist, or the store cannot serve it now.
func storeRefusal(id string, err error) error {
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return refusal.NotRun(http.StatusNotFound, "no_batch", "no such batch")
	}
	klog.InfoS("batch: store call failed", "batch", id, "err", err.Error())
	return refusal.NotRun(http.StatusServiceUnavailable, "store_away", "the store does not answer").WithRetryAfter(storeRetryAfter)
}

// End ends a batch. It stops the runs of the batch here before it updates the store.
func (b *Board) End(ctx context.Context, id, account string) error {
	early := b.earlyBatch(id)
	if err := b.checkAccount(ctx, id, account); err != nil {
		return err
	}
	b.StopOwned(id, account)
	if b.isEnded(id) {
		return nil
	}
	for {
		err := b.commitEnd(ctx, id, early)
		var missing *platform.NotFoundError
		if err == nil || errors.As(err, &missing) {
			klog.InfoS("batch: its trainer has ended it", "batch", id, "early", early != nil)
			return nil
		}
		if ctx.Err() != nil || isNotCommitted(err) {
			return storeRefusal(id, err)
		}
	}
}

// commitEnd makes the store hold a batch as ended; early is the batch if it runs early here, else nil.
//
// A write that accepts an early batch may be executed after the batch has ended. It is rejected if
// the store holds the batch already, so the batch is stored as ended, as if it had been accepted.
func (b *Board) commitEnd(ctx context.Context, id string, early *statepb.Batch) error {
	if early != nil {
		data, err := proto.Marshal(early)
		if err != nil {
			return err
		}
		_, err = b.Store.Commit(ctx, platform.Commit{
			Expect: []platform.Expect{{Key: storedKey(id)}},
			Writes: []platform.Write{{Key: bulkKey(id), Data: data}, {Key: storedKey(id), Data: []byte(early.GetAccount())}},
		})
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	_, err := b.Store.Commit(ctx, platform.Commit{Remove: []string{openKey(id)}})
	return err
}

// isEnded reports whether the watch has shown the end of a batch. A trainer that got no answer
// ends its batch again, and so do other trainers of its account.
func (b *Board) isEnded(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.ended[id] != 0
}

// StopOwned stops the runs of a batch if this process owns it, and reports whether it does.
func (b *Board) StopOwned(id, account string) bool {
	b.lock()
	owned := b.owned[id]
	b.mutex.Unlock()
	if owned == nil || owned.batch.GetAccount() != account {
		return false
	}
	owned.end()
	return true
}

// firstPage returns as many outcomes as fit into one answer, and at least one.
func firstPage(outcomes []*statepb.Outcome) []*statepb.Outcome {
	size := 0
	for i, outcome := range outcomes {
		size += len(outcome.GetText()) + 200
		if i > 0 && size > maxReadBytes {
			return outcomes[:i]
		}
	}
	return outcomes
}
