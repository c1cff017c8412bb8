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
	// settle is how long a process counts as a sender before it sends: by then every other
	// process has seen it, and has sent its last request as one of fewer senders.
	settle = maxLag + Window + 350*time.Millisecond
	// linger is how long a process that is no longer a sender may still send: the owner of
	// batches is no sender between two batches.
	linger = 5 * time.Second
	// forget is how long the others count it: they may see its removal at once and its
	// return as late as possible. A process that has started knows no lingering senders, so
	// it waits as long.
	forget = linger + maxLag + settle
)

// Senders holds the senders of a pool, the processes that send to its servers, as one of them
// sees them.
// Exported fields are set before the first call; it is not safe for concurrent use.
//
// When a zone comes back, all its servers are cold, and every process finds them empty. Two
// processes that don't count each other send twice the rate. So a sender is counted from when
// it is first seen until long after it was last seen, and sends only once all others must
// count it.
type Senders struct {
	// Self is the name of this process.
	Self string

	senders map[string]sender
	// firstCurrent and lastCurrent are when the view was complete first and last.
	firstCurrent, lastCurrent clock.Boot
}

// sender is this process or another one, as seen here.
type sender struct {
	since clock.Boot
	// removedAt is when it stopped being a sender, 0 while it is one.
	removedAt clock.Boot
}

// Add records that a process is a sender.
func (s *Senders) Add(name string, now clock.Boot) {
	if s.senders == nil {
		s.senders = map[string]sender{}
	}
	entry, isKnown := s.senders[name]
	if !isKnown || entry.removedAt != 0 && now.Sub(entry.removedAt) >= linger {
		entry.since = now
	}
	entry.removedAt = 0
	s.senders[name] = entry
}

// Remove records that a process is no longer a sender.
func (s *Senders) Remove(name string, now clock.Boot) {
	entry, isKnown := s.senders[name]
	if !isKnown || entry.removedAt != 0 {
		return
	}
	entry.removedAt = now
	s.senders[name] = entry
}

// MarkCurrent records that all changes of the senders up to now are known.
func (s *Senders) MarkCurrent(now clock.Boot) {
	if s.firstCurrent == 0 {
		s.firstCurrent = now
	}
	s.lastCurrent = now
}

// Quota returns how many requests this process may send to a server within Window, where all
// processes together may send rate requests a second.
//
// With more senders than requests, each server has its own senders by rendezvous hashing, on
// which all processes agree without communication.
func (s *Senders) Quota(server string, rate float64, now clock.Boot) int {
	if !s.maySend(now) {
		return 0
	}
	counted := s.counted(now)
	total := max(1, int(math.Floor(rate)))
	if len(counted) <= total {
		return total / len(counted)
	}
	if duty.Rank(server, s.Self, counted) >= total {
		return 0
	}
	return 1
}

// maySend reports whether all other senders count this process and it counts them.
func (s *Senders) maySend(now clock.Boot) bool {
	if s.lastCurrent == 0 || now.Sub(s.lastCurrent) > maxViewAge || now.Sub(s.firstCurrent) < forget {
		return false
	}
	self, isKnown := s.senders[s.Self]
	if !isKnown || now.Sub(self.since) < settle {
		return false
	}
	return self.removedAt == 0 || now.Sub(self.removedAt) < linger
}

// counted returns the senders that may still send, and deletes the others.
func (s *Senders) counted(now clock.Boot) []string {
	names := make([]string, 0, len(s.senders))
	for name, entry := range s.senders {
		if entry.removedAt != 0 && now.Sub(entry.removedAt) >= forget {
			delete(s.senders, name)
			continue
		}
		names = append(names, name)
	}
	return names
}
