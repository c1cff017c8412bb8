package batch

import (
	"context"
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
	// keepAfter is how long a run goes on before its text is kept: half of all texts
	// are whole before that, and are made anew in no more.
	keepAfter = time.Second
)

// Keeper keeps texts that aren't whole on hosts with disks.
type Keeper interface {
	// Append keeps events. An error says that what is kept isn't known.
	Append(ctx context.Context, batch string, parts []*statepb.Part) error
	// Fetch returns what is kept of a batch, as far as keepers answer.
	Fetch(ctx context.Context, batch string) []*statepb.Partial
	// Drop forgets a batch.
	Drop(ctx context.Context, batch string)
}

// keep gives the texts that aren't whole to a keeper until the context ends.
//
// An owner that dies takes with it what its samplers have made. The next one
// would begin each text anew: the longest of a step take 6 s, and the trainer
// waits 7.5 s for all of them. Kept twice a second, half a second is lost.
//
// After a failure all is given anew, and the waits grow. Given twice a second to a
// keeper behind a full link, the texts of two steps filled the link of 60 Mbit/s for
// good: the owner's writes to the store got no answers any more, and steps that
// were whole were listed by nobody.
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

// keepOnce gives what came since the last time to a keeper, and reports whether
// it has it.
func (o *owner) keepOnce(ctx context.Context, isKept func(index int) bool) bool {
	o.mutex.Lock()
	parts := o.plan.Parts(isKept)
	o.mutex.Unlock()
	if len(parts) == 0 {
		return true
	}
	err := o.keeper.Append(ctx, o.batch.GetId(), parts)
	if err == nil {
		return true
	}
	klog.InfoS("batch: texts not kept", "batch", o.batch.GetId(), "err", err.Error())
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.plan.KeepAll()
	return false
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

// KeepAll makes Parts return all texts from their start: what a keeper had is
// not known any more.
func (p *Plan) KeepAll() {
	for _, one := range p.items {
		one.kept = 0
	}
}
