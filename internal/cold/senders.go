// Package cold limits how many requests a process may send to a cold backend server: a server that
// has just started and fails under more than a few requests a second. All processes together stay
// within a server's rate without calling each other. The package does no I/O and takes the time
// from its caller.
package cold

import (
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
)

const (
	// Window is the window in which a process's requests to a cold server are counted: one second
	// for the rate, and 250 ms for differences in the requests' transit times.
	Window = 1250 * time.Millisecond
	// maxViewAge is the maximum age of the view of other processes while a process sends to
	// cold servers.
	maxViewAge = 1500 * time.Millisecond
	// maxRelayAge is how much older than maxViewAge the view may be because another process relayed
	// it.
	maxRelayAge = 1900 * time.Millisecond
	// maxLag is the maximum difference between the times at which two processes see a change.
	maxLag = maxViewAge + maxRelayAge
	// settleTime is how long a process counts as a sender before it sends: after that time every
	// other process has seen the new sender and no longer sends requests under a quota without it.
	settleTime = maxLag + Window + 350*time.Millisecond
	// lingerTime is how long a process may still send after it stopped being a sender: the owner of
	// batches is not a sender between two batches.
	lingerTime = 5 * time.Second
	// retentionTime is how long other processes count a removed sender: they may see its removal at
	// once and its return as late as possible. A process that has just started doesn't know the
	// removed senders that may still send, so it waits for retentionTime before it sends.
	retentionTime = lingerTime + maxLag + settleTime
)

// Senders holds one process's view of the senders of a pool, which are the processes that send to
// its servers. Exported fields are set before the first call; it is not safe for concurrent use.
//
// When a zone recovers, all its servers are cold, and every process sees them as idle. Two
// processes that don't count each other send twice the rate. So a sender is counted from when it is
// first seen until retentionTime after its removal, and sends only once all other processes must
// count it.
type Senders struct {
	// Self is the name of this process.
	Self string

	senders map[string]sender
	// firstCurrent and lastCurrent are the first and the last time at which the view was complete.
	firstCurrent, lastCurrent clock.Boot
}

// sender is the state of a sender, which may be this process, in this view.
type sender struct {
	since clock.Boot
	// removedAt is when the process stopped being a sender, 0 while it is a sender.
	removedAt clock.Boot
}

// Add records that a process is a sender.
func (s *Senders) Add(name string, now clock.Boot) {
	if s.senders == nil {
		s.senders = map[string]sender{}
	}
	entry, isKnown := s.senders[name]
	if !isKnown || entry.removedAt != 0 && now.Sub(entry.removedAt) >= lingerTime {
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
// If there are more senders than requests, rendezvous hashing assigns some of the senders to each
// server; all processes compute the same assignment without communication.
func (s *Senders) Quota(server string, rate float64, now clock.Boot) int {
	if !s.maySend(now) {
		return 0
	}
	counted := s.countedSenders(now)
	total := max(1, int(math.Floor(rate)))
	if len(counted) <= total {
		return total / len(counted)
	}
	if duty.Rank(server, s.Self, counted) >= total {
		return 0
	}
	return 1
}

// maySend reports whether this process may send: all other senders count it, it counts all other
// senders, and its view is current.
func (s *Senders) maySend(now clock.Boot) bool {
	if s.lastCurrent == 0 || now.Sub(s.lastCurrent) > maxViewAge || now.Sub(s.firstCurrent) < retentionTime {
		return false
	}
	self, isKnown := s.senders[s.Self]
	if !isKnown || now.Sub(self.since) < settleTime {
		return false
	}
	return self.removedAt == 0 || now.Sub(self.removedAt) < lingerTime
}

// countedSenders returns the senders that may still send, and deletes all others.
func (s *Senders) countedSenders(now clock.Boot) []string {
	names := make([]string, 0, len(s.senders))
	for name, entry := range s.senders {
		if entry.removedAt != 0 && now.Sub(entry.removedAt) >= retentionTime {
			delete(s.senders, name)
			continue
		}
		names = append(names, name)
	}
	return names
}
