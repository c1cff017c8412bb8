// Package cold limits how many requests a process may send to a cold backend server: one that
// has just started and fails under more than a few requests a second. All processes together
// keep to a server's rate without calls between them. The package does no I/O and takes the
// time from its caller.
package cold

import (
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
)

const (
	// Window is the window in which a process's requests to a cold server are counted: one
	// second for the rate, and the rest for differences in the requests' transit times.
	Window = 1250 * time.Millisecond
	// maxViewAge is the maximum age of the view of other processes while a process sends to
	// cold servers.
	maxViewAge = 1500 * time.Millisecond
	// maxRelayAge is how much older that view may be because another process relayed it.
	maxRelayAge = 1900 * time.Millisecond
	// maxLag is how much later than another process one may see a change.
	maxLag = maxViewAge + maxRelayAge
	// settle is how long a process counts as a user before it sends as one: by then every
	// other process has seen it, and has sent its last request as one of fewer users.
	settle = maxLag + Window + 350*time.Millisecond
	// linger is how long a process that is no longer a user may still send: owners of batches
	// have none between two of them. forget is how long the others count it, as they may see
	// its end first and its return last. A process that has started knows no lingering ones,
	// so it waits as long.
	linger = 5 * time.Second
	forget = linger + maxLag + settle
)

// Senders holds the processes that send to the servers of a pool, as one of them sees them.
// Exported fields are set before the first call; it is not safe for concurrent use.
//
// When a zone comes back, all its servers are cold, and every process finds them empty. Two
// processes that don't count each other send twice the rate. So a user is counted from when it
// is first seen until long after it was last seen, and sends only once all others must count
// it.
type Senders struct {
	// Self is the name of this process.
	Self string

	senders map[string]sender
	// firstHeard and lastHeard are when a view was complete first and last.
	firstHeard, lastHeard clock.Boot
}

// sender is another process or this one, as seen here.
type sender struct {
	since clock.Boot
	// removedAt is when it stopped being a user, 0 while it is one.
	removedAt clock.Boot
}

// Add records that a process is a user.
func (u *Senders) Add(name string, now clock.Boot) {
	if u.senders == nil {
		u.senders = map[string]sender{}
	}
	entry, isKnown := u.senders[name]
	if !isKnown || entry.removedAt != 0 && now.Sub(entry.removedAt) >= linger {
		entry.since = now
	}
	entry.removedAt = 0
	u.senders[name] = entry
}

// Remove records that a process is no longer a user.
func (u *Senders) Remove(name string, now clock.Boot) {
	entry, isKnown := u.senders[name]
	if !isKnown || entry.removedAt != 0 {
		return
	}
	entry.removedAt = now
	u.senders[name] = entry
}

// MarkCurrent records that all changes of users up to now are known.
func (u *Senders) MarkCurrent(now clock.Boot) {
	if u.firstHeard == 0 {
		u.firstHeard = now
	}
	u.lastHeard = now
}

// Quota returns how many requests this process may send to a server within Span, where all
// processes together may send rate requests a second.
//
// With more users than requests, each server has its own users by rendezvous hashing, on which
// all processes agree without communication.
func (u *Senders) Quota(server string, rate float64, now clock.Boot) int {
	if !u.maySend(now) {
		return 0
	}
	counted := u.counted(now)
	total := max(1, int(math.Floor(rate)))
	if len(counted) <= total {
		return total / len(counted)
	}
	if duty.Rank(server, u.Self, counted) >= total {
		return 0
	}
	return 1
}

// maySend reports whether all other users count this process, and it counts them.
func (u *Senders) maySend(now clock.Boot) bool {
	if u.lastHeard == 0 || now.Sub(u.lastHeard) > maxViewAge || now.Sub(u.firstHeard) < forget {
		return false
	}
	self, isKnown := u.senders[u.Self]
	if !isKnown || now.Sub(self.since) < settle {
		return false
	}
	return self.removedAt == 0 || now.Sub(self.removedAt) < linger
}

// counted returns the users that may send, and deletes those that no longer can.
func (u *Senders) counted(now clock.Boot) []string {
	names := make([]string, 0, len(u.senders))
	for name, entry := range u.senders {
		if entry.removedAt != 0 && now.Sub(entry.removedAt) >= forget {
			delete(u.senders, name)
			continue
		}
		names = append(names, name)
	}
	return names
}
