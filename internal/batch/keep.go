package batch

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// keepInterval is the time between two looks for events that a keeper lacks.
	keepInterval = 500 * time.Millisecond
	// keepAfter is how long a run goes on before its text is kept: half of all texts
	// are whole before that, and are made anew in no more.
	keepAfter = time.Second
)

// copies is how many keepers have the texts of a batch that aren't whole. One disk
// may be lost in the same moment as the batch's owner; its step then began anew
// and was whole 11 s after it was asked, where it has 7.5 s.
const copies = 2

// Keeper keeps texts that aren't whole on hosts with disks.
type Keeper interface {
	// Append keeps events, each copy of a batch in another place. An error says that
	// what is kept there isn't known.
	Append(ctx context.Context, batch string, number int, parts []*statepb.Part) error
	// Fetch returns what is kept of a batch, as far as keepers answer.
	Fetch(ctx context.Context, batch string) []*statepb.Partial
	// Drop forgets a batch.
	Drop(ctx context.Context, batch string)
}

// keep gives the texts that aren't whole to the keeper of a copy until the context ends.
//
// An owner that dies takes with it what its samplers have made. The next one
// would begin each text anew: the longest of a step take 6 s, and the trainer
// waits 7.5 s for all of them. Kept twice a second, half a second is lost.
func (o *owner) keep(ctx context.Context, number int) {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.keepOnce(ctx, number, o.isLong)
		}
	}
}

// isLong reports whether the run of an item is worth keeping. The mutex is held.
func (o *owner) isLong(index int) bool {
	run := o.runs[index]
	return run == nil || clock.Now().Sub(run.began) >= keepAfter
}

// keepOnce gives what came since the last time to the keeper of a copy.
func (o *owner) keepOnce(ctx context.Context, number int, isKept func(index int) bool) {
	o.mutex.Lock()
	parts := o.plan.Parts(number, isKept)
	o.mutex.Unlock()
	if len(parts) == 0 {
		return
	}
	if err := o.keeper.Append(ctx, o.batch.GetId(), number, parts); err != nil {
		klog.InfoS("batch: texts not kept", "batch", o.batch.GetId(), "copy", number, "err", err.Error())
		o.mutex.Lock()
		o.plan.KeepAll(number)
		o.mutex.Unlock()
	}
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

// Parts returns the events that came since the last call, for the keeper of a
// copy, but for items that need not be kept.
func (p *Plan) Parts(number int, isKept func(index int) bool) []*statepb.Part {
	var parts []*statepb.Part
	for _, one := range p.items {
		kept := one.kept[number]
		if one.phase == settled || kept >= len(one.events) || !isKept(one.index) {
			continue
		}
		parts = append(parts, statepb.Part_builder{
			Item: one.spec.GetId(), After: uint32(kept), Events: one.events[kept:], Versions: one.versions[kept:],
		}.Build())
		one.kept[number] = len(one.events)
	}
	return parts
}

// KeepAll makes Parts return all texts of a copy from their start: what its keeper
// had is not known any more.
func (p *Plan) KeepAll(number int) {
	for _, one := range p.items {
		one.kept[number] = 0
	}
}
