package usage

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// lastPush bounds the push of a process that ends.
const lastPush = 3 * time.Second

// Source holds counters that grow.
type Source interface {
	Changed(mark uint64) ([]*peerpb.Count, uint64)
	Forget(before int64) int
}

// Directory is what a Pusher needs to know of other processes.
type Directory interface {
	Fact(name string) *peerpb.Fact
	Processes(role peerpb.Role) []*peerpb.Process
	Self() *peerpb.Process
}

// Peers speaks to the Usage service of other processes.
type Peers interface {
	Collect(ctx context.Context, process *peerpb.Process, request *peerpb.CollectRequest) (*peerpb.CollectReply, error)
	Keep(ctx context.Context, process *peerpb.Process, counts []*peerpb.Count) error
}

// Pusher gives a process's counters to the entries that hold copies, and drops
// windows that are no longer needed. Exported fields are set before Run.
type Pusher struct {
	Source    Source
	Directory Directory
	Peers     Peers
	// Interval is the time between two pushes; 0 pushes only at the end.
	Interval time.Duration
	// Retain is how long counters are kept once their window was reported.
	Retain time.Duration
	// Keep is how long they are kept in any case.
	Keep time.Duration

	marks map[holder]uint64
}

// holder is an incarnation of an entry; a new one has lost what the former held.
type holder struct {
	name        string
	incarnation uint64
}

// Run pushes until the context ends, then once more: by then all requests have
// ended, and the counters of the last ones are nowhere else but in the entries
// that received their answers.
func (p *Pusher) Run(ctx context.Context) error {
	p.marks = map[holder]uint64{}
	interval := p.Interval
	if interval == 0 {
		interval = time.Minute
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.last()
			return nil
		case <-ticker.C:
			if p.Interval > 0 {
				p.push(ctx)
			}
			p.Source.Forget(p.needed(time.Now()))
		}
	}
}

func (p *Pusher) last() {
	ctx, cancel := context.WithTimeout(context.Background(), lastPush)
	defer cancel()
	p.push(ctx)
}

func (p *Pusher) push(ctx context.Context) {
	marks := map[holder]uint64{}
	for _, entry := range ReplicaEntries(p.Directory.Self(), p.Directory.Processes(peerpb.Role_ROLE_ENTRY)) {
		key := holder{name: entry.GetName(), incarnation: entry.GetIncarnation()}
		marks[key] = p.pushTo(ctx, entry, p.marks[key])
	}
	p.marks = marks
}

// pushTo returns the mark up to which the entry holds the counters.
func (p *Pusher) pushTo(ctx context.Context, entry *peerpb.Process, mark uint64) uint64 {
	counts, next := p.Source.Changed(mark)
	if len(counts) == 0 {
		return next
	}
	if err := p.Peers.Keep(ctx, entry, counts); err != nil {
		klog.Warningf("usage: %s can't hold %d counters: %v", entry.GetName(), len(counts), err)
		return mark
	}
	return next
}

// needed returns the start of the oldest window whose counters are needed.
func (p *Pusher) needed(now time.Time) int64 {
	needed := now.Add(-p.Keep).Unix()
	if reported, ok := ParseReported(p.Directory.Fact(FactReported)); ok {
		needed = max(needed, reported-int64(p.Retain/time.Second))
	}
	return needed
}
