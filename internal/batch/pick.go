package batch

import (
	"slices"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// NextFor returns the item to run now on a fast or a slow slot, if there is one. The item keeps waiting until Start.
//
// A slow slot is used only while more items wait than fast slots are free. It takes the shortest item, which loses the least
// there: the longest one would decide when the step is complete.
func (p *Plan) NextFor(isSlow bool, now clock.Boot) (Job, bool) {
	longest, ok := p.Next(now)
	if !ok || !isSlow {
		return longest, ok
	}
	for _, item := range slices.Backward(p.order) {
		if item.notBefore <= now {
			return p.job(item), true
		}
	}
	return longest, true
}
