package batch

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// keepInterval is the time between two checks for events that the keeper lacks.
	keepInterval = 500 * time.Millisecond
	// maxKeepInterval bounds the interval, which doubles after each failure.
	maxKeepInterval = 4 * time.Second
	// maxKeepAttempts is how many keepers are tried when a batch is handed over through the
	// store.
	maxKeepAttempts = 3
	// minKeepAge is how long a run must last before its text is kept: half of all texts are
	// complete earlier, and generating them again takes no longer.
	minKeepAge = time.Second
)

// ErrKeeperChanged means that the texts of a batch now go to another keeper, which has none of
// them yet.
var ErrKeeperChanged = errors.New("batch: switched to another keeper")

// Keeper stores incomplete texts on hosts with disks.
type Keeper interface {
	// Append stores events. After an error it is unknown which events the keeper has; after
	// ErrKeeperChanged it has none.
	Append(ctx context.Context, batch string, parts []*statepb.Part) error
	// Fetch returns the stored texts of a batch from the keepers that answer.
	Fetch(ctx context.Context, batch string) []*statepb.Partial
	// Drop deletes the texts of a batch.
	Drop(ctx context.Context, batch string)
}

// keep sends incomplete texts to a keeper until the context ends.
//
// Without a keeper, an owner that dies loses the texts that its samplers have generated, and the
// longest texts of a step take nearly all of the step's time.
//
// After a failure all texts are sent again, with a growing delay. Resent at the full rate over a
// saturated link, they would keep the link saturated, and the owner's writes to the store would
// get no answers.
func (o *owner) keep(ctx context.Context) {
	wait := keepInterval
	for pause.For(ctx, wait) {
		if o.keepOnce(ctx, o.isWorthKeeping) {
			wait = keepInterval
			continue
		}
		wait = min(2*wait, maxKeepInterval)
	}
}

// isWorthKeeping reports whether an item has no run or one older than minKeepAge. The mutex
// must be held.
func (o *owner) isWorthKeeping(index int) bool {
	run := o.runs[index]
	return run == nil || clock.Now().Sub(run.startedAt) >= minKeepAge
}

// keepLast sends all texts to a keeper before this process gives up the batch. It retries at
// once, with the next keeper if the previous one does not answer, because no later attempt is
// possible.
func (o *owner) keepLast(ctx context.Context) {
	for range maxKeepAttempts {
		if ctx.Err() != nil || o.keepOnce(ctx, func(int) bool { return true }) {
			return
		}
	}
}

// keepOnce sends the events added since the last call to a keeper, and reports whether that
// succeeded.
func (o *owner) keepOnce(ctx context.Context, isKept func(index int) bool) bool {
	err := o.sendToKeeper(ctx, isKept)
	if errors.Is(err, ErrKeeperChanged) {
		err = o.sendToKeeper(ctx, isKept)
	}
	return err == nil
}

func (o *owner) sendToKeeper(ctx context.Context, isKept func(index int) bool) error {
	o.mutex.Lock()
	parts := o.plan.Parts(isKept)
	o.mutex.Unlock()
	if len(parts) == 0 {
		return nil
	}
	err := o.keeper.Append(ctx, o.batch.GetId(), parts)
	if err == nil {
		return nil
	}
	klog.InfoS("batch: sending texts to a keeper failed", "batch", o.batch.GetId(), "err", err.Error())
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.plan.ResendAll()
	return err
}

// Partials returns the texts of items without an outcome, for the next owner.
func (p *Plan) Partials() []*statepb.Partial {
	var partials []*statepb.Partial
	for _, item := range p.items {
		if item.phase == settled || len(item.events) == 0 {
			continue
		}
		partials = append(partials, statepb.Partial_builder{Item: item.spec.GetId(), Events: item.events, Versions: item.versions}.Build())
	}
	return partials
}

// Parts returns the events added since the last call, for a keeper. It skips items for which
// isKept returns false.
func (p *Plan) Parts(isKept func(index int) bool) []*statepb.Part {
	var parts []*statepb.Part
	for _, item := range p.items {
		kept := item.kept
		if item.phase == settled || kept >= len(item.events) || !isKept(item.index) {
			continue
		}
		parts = append(parts, statepb.Part_builder{
			Item: item.spec.GetId(), After: uint32(kept), Events: item.events[kept:], Versions: item.versions[kept:],
		}.Build())
		item.kept = len(item.events)
	}
	return parts
}

// ResendAll makes Parts return all texts from their start, because it is unknown which events the
// keeper has.
func (p *Plan) ResendAll() {
	for _, item := range p.items {
		item.kept = 0
	}
}
