package rollout

import "time"

const (
	budgetStart   = 4
	budgetShare   = 0.05
	budgetEarned  = 0.1
	leastPause    = 100 * time.Millisecond
	greatestPause = 5 * time.Second
	// refusedPause and greatestRefusedPause bound the wait after an attempt that was not run.
	refusedPause         = 200 * time.Millisecond
	greatestRefusedPause = time.Second
)

// budget bounds second runs by what was finished, so that they never multiply:
// when engines slow down or fail, fewer samples finish, less is earned, and
// second runs stop instead of adding load. Failed attempts use it up too.
type budget struct {
	left float64
	most float64
}

func newBudget(slots int) budget {
	most := budgetStart + budgetShare*float64(slots)
	return budget{left: most, most: most}
}

func (b *budget) earn() {
	b.left = min(b.most, b.left+budgetEarned)
}

func (b *budget) has() bool { return b.left >= 1 }

func (b *budget) take() {
	b.left = max(0, b.left-1)
}

// pause returns how long a slot waits after its nth failure in a row: at least
// what the refusal asked for, and longer with each failure.
func (b *budget) pause(failures int, asked time.Duration) time.Duration {
	b.take()
	pause := leastPause << min(failures-1, 6)
	return max(asked, min(pause, greatestPause))
}
