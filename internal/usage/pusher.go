package usage

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// finalPushTimeout limits the last push of a process that shuts down.
const finalPushTimeout = 3 * time.Second

// Source provides the counters to push.
type Source interface {
	Changed(sequence uint64) ([]*peerpb.Count, uint64)
	Forget(before int64) int
}

// Directory lists the processes and facts that are known to this process.
type Directory interface {
	Fact(name string) *peerpb.Fact
	Processes(role peerpb.Role) []*peerpb.Process
	Self() *peerpb.Process
}

// Peers calls the Usage service of other processes.
type Peers interface {
	Collect(ctx context.Context, process *peerpb.Process, request *peerpb.CollectRequest) (*peerpb.CollectReply, error)
	Keep(ctx context.Context, process *peerpb.Process, counts []*peerpb.Count) error
}

// Pusher sends a process's counters to the entries that hold copies, and removes
// windows that are no longer needed. Exported fields are set before Run.
type Pusher struct {
	Source    Source
	Directory Directory
	Peers     Peers
	// Interval is the time between two pushes; 0 pushes only on shutdown.
	Interval time.Duration
	// ReportedRetention is how long counters are kept after their window was reported.
	ReportedRetention time.Duration
	// MaxRetention is the longest time that counters are kept, whether reported or not.
	MaxRetention time.Duration

	acknowledged map[entryIncarnation]uint64
}

// entryIncarnation identifies an incarnation of an entry; a restarted entry has lost its copies.
type entryIncarnation struct {
	name        string
	incarnation uint64
}

// Run pushes counters until the context ends, and then once more: by then all requests
// have ended, and only the entries that received the last responses hold copies of
// their counters.
func (p *Pusher) Run(ctx context.Context) error {
	p.acknowledged = map[entryIncarnation]uint64{}
	interval := p.Interval
	if interval == 0 {
		interval = time.Minute
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.finalPush()
			return nil
		case <-ticker.C:
			if p.Interval > 0 {
				p.push(ctx)
			}
			p.Source.Forget(p.oldestNeeded(time.Now()))
		}
	}
}

func (p *Pusher) finalPush() {
	ctx, cancel := context.WithTimeout(context.Background(), finalPushTimeout)
	defer cancel()
	p.push(ctx)
}

func (p *Pusher) push(ctx context.Context) {
	acknowledged := map[entryIncarnation]uint64{}
	for _, entry := range ReplicaEntries(p.Directory.Self(), p.Directory.Processes(peerpb.Role_ROLE_ENTRY)) {
		key := entryIncarnation{name: entry.GetName(), incarnation: entry.GetIncarnation()}
		acknowledged[key] = p.pushTo(ctx, entry, p.acknowledged[key])
	}
	p.acknowledged = acknowledged
}

// pushTo sends changed counters to an entry. It returns the sequence number up to which
// the entry holds the counters.
func (p *Pusher) pushTo(ctx context.Context, entry *peerpb.Process, acknowledged uint64) uint64 {
	counts, next := p.Source.Changed(acknowledged)
	if len(counts) == 0 {
		return next
	}
	if err := p.Peers.Keep(ctx, entry, counts); err != nil {
		klog.Warningf("usage: pushing to entry %s failed for %d counters: %v", entry.GetName(), len(counts), err)
		return acknowledged
	}
	return next
}

// oldestNeeded returns the start of the oldest window whose counters must be kept.
func (p *Pusher) oldestNeeded(now time.Time) int64 {
	oldest := now.Add(-p.MaxRetention).Unix()
	if reported, ok := ParseReported(p.Directory.Fact(FactReported)); ok {
		oldest = max(oldest, reported-int64(p.ReportedRetention/time.Second))
	}
	return oldest
}
