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
	// keepInterval is the time between two looks for events that a keeper lacks.
	keepInterval = 500 * time.Millisecond
	// keepMost bounds that time after failures.
	keepMost = 4 * time.Second
	// keepTries is how many keepers are tried when a batch is given up.
	keepTries = 3
	// keepAfter is how long a run goes on before its text is kept: half of all texts
	// are whole before that, and are made anew in no more.
	keepAfter = time.Second
)

// ErrKeeperChanged says that a batch's texts go to another keeper from now on, which has
// none of them yet.
var ErrKeeperChanged = errors.New("batch: another keeper is used from now on")

// Keeper keeps texts that aren't whole on hosts with disks.
type Keeper interface {
	// Append keeps events. An error says that what is kept isn't known, ErrOtherKeeper
	// that nothing is.
	Append(ctx context.Context, batch string, parts []*statepb.Part) error
	// Fetch returns what is kept of a batch, as far as keepers answer.
	Fetch(ctx context.Context, batch string) []*statepb.Partial
	// Drop forgets a batch.
	Drop(ctx context.Context, batch string)
}

// keep gives the texts that aren't whole to a keeper until the context ends.
//
// An owner that dies takes with it what its samplers have made, and the longest texts
// of a step take nearly all the time that the step has.
//
// After a failure all is given anew, and the waits grow: texts that are repeated to a
// keeper behind a full link keep it full, and the owner's writes to the store get no
// answers.
func (o *owner) keep(ctx context.Context) {
	wait := keepInterval
	for pause.For(ctx, wait) {
		if o.keepOnce(ctx, o.isLong) {
			wait = keepInterval
			continue
		}
		wait = min(2*wait, keepMost)
	}
}

// isLong reports whether the run of an item is worth keeping. The mutex is held.
func (o *owner) isLong(index int) bool {
	run := o.runs[index]
	return run == nil || clock.Now().Sub(run.began) >= keepAfter
}

// keepLast gives all texts to a keeper before the batch is given up: to the next one
// where a keeper doesn't answer. There is no later time at which to try again.
func (o *owner) keepLast(ctx context.Context) {
	for range keepTries {
		if ctx.Err() != nil || o.keepOnce(ctx, func(int) bool { return true }) {
			return
		}
	}
}

// keepOnce gives what came since the last time to a keeper, and reports whether
// it has it.
func (o *owner) keepOnce(ctx context.Context, isKept func(index int) bool) bool {
	err := o.append(ctx, isKept)
	if errors.Is(err, ErrKeeperChanged) {
		err = o.append(ctx, isKept)
	}
	return err == nil
}

func (o *owner) append(ctx context.Context, isKept func(index int) bool) error {
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
	klog.InfoS("batch: texts not kept", "batch", o.batch.GetId(), "err", err.Error())
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.plan.ResendAll()
	return err
}

// Partials returns the texts of items without an outcome, for the next owner.
func (p *Plan) Partials() []*statepb.Partial {
	var partials []*statepb.Partial
	for _, one := range p.items {
		if one.phase == settled || len(one.events) == 0 {
			continue
		}
		partials = append(partials, statepb.Partial_builder{Item: one.spec.GetId(), Events: one.events, Versions: one.versions}.Build())
	}
	return partials
}

// Parts returns the events that came since the last call, for a keeper, but for
// items that need not be kept.
func (p *Plan) Parts(isKept func(index int) bool) []*statepb.Part {
	var parts []*statepb.Part
	for _, one := range p.items {
		kept := one.kept
		if one.phase == settled || kept >= len(one.events) || !isKept(one.index) {
			continue
		}
		parts = append(parts, statepb.Part_builder{
			Item: one.spec.GetId(), After: uint32(kept), Events: one.events[kept:], Versions: one.versions[kept:],
		}.Build())
		one.kept = len(one.events)
	}
	return parts
}

// ResendAll makes Parts return all texts from their start: what a keeper had is
// not known any more.
func (p *Plan) ResendAll() {
	for _, one := range p.items {
		one.kept = 0
	}
}
