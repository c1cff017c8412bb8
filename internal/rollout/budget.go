package rollout

import "time"

const (
	baseBudget      = 4
	budgetPerSlot   = 0.05
	budgetPerFinish = 0.1
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
	// minRefusedBackoff and maxRefusedBackoff bound the wait after an attempt that was not run.
	minRefusedBackoff = 200 * time.Millisecond
	maxRefusedBackoff = time.Second
)

// budget limits second runs by the number of finished attempts, so that they never
// multiply: when engines slow down or fail, fewer samples finish, less budget is
// earned, and second runs stop instead of adding load. Failed attempts spend budget
// too.
type budget struct {
	remaining float64
	limit     float64
}

func newBudget(slots int) budget {
	limit := baseBudget + budgetPerSlot*float64(slots)
	return budget{remaining: limit, limit: limit}
}

func (b *budget) earn() {
	b.remaining = min(b.limit, b.remaining+budgetPerFinish)
}

func (b *budget) isAvailable() bool { return b.remaining >= 1 }

func (b *budget) spend() {
	b.remaining = max(0, b.remaining-1)
}

// backoff returns how long a slot waits after its nth consecutive failure: at least as
// long as the refusal requested, and longer with each failure.
func (b *budget) backoff(failures int, minWait time.Duration) time.Duration {
	b.spend()
	backoff := minBackoff << min(failures-1, 6)
	return max(minWait, min(backoff, maxBackoff))
}
