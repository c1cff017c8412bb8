// Package cold decides how many requests a process may send to a backend server
// that is cold: one that has just started, and fails under more than a few requests
// a second. All processes together keep a server's rate without a call between them.
// It does no input or output and takes the time from its caller.
package cold

import (
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
)

const (
	// Window is the time in which a process's requests to a cold server are counted: the
	// second of the rate, and what requests sent in it may differ on their way.
	Window = 1250 * time.Millisecond
	// viewAge is how old the view of other processes may be while a process sends
	// to cold servers.
	viewAge = 1500 * time.Millisecond
	// followAge is how much older that view may be because it came by another process.
	followAge = 1900 * time.Millisecond
	// lag is how much later than another process one may see a change.
	lag = viewAge + followAge
	// settle is how long a process counts as a user before it sends as one: until
	// then every other process has seen it, and has sent its last request as one
	// of fewer users.
	settle = lag + Window + 350*time.Millisecond
	// linger is how long a process that is a user no more may send: owners of batches
	// have none between two of them. forget is how long the others count it, which may
	// have seen its end first, and see last that it is a user again. A process that has
	// started knows of none that lingers, and waits as long.
	linger = 5 * time.Second
	forget = linger + lag + settle
)

// Senders are the processes that send to the servers of a pool, as one of them
// sees them. Exported fields are set before the first call; it is not safe for
// concurrent use.
//
// Where a zone is back, all its servers are cold, and every process finds them empty.
// Two processes that don't count each other send twice the rate. So a user is counted
// from when it is seen until long after it was seen last, and sends only once all others
// must count it.
type Senders struct {
	// Self is the name of this process.
	Self string

	known map[string]user
	// began is when a view was complete first, heard when it was last.
	began, heard clock.Boot
}

// user is a process as it is seen here.
type user struct {
	since clock.Boot
	// gone is when it was seen as a user last; 0 while it is one.
	gone clock.Boot
}

// Add notes that a process is a user.
func (u *Senders) Add(name string, now clock.Boot) {
	if u.known == nil {
		u.known = map[string]user{}
	}
	one, isKnown := u.known[name]
	if !isKnown || one.gone != 0 && now.Sub(one.gone) >= linger {
		one.since = now
	}
	one.gone = 0
	u.known[name] = one
}

// Remove notes that a process is a user no more.
func (u *Senders) Remove(name string, now clock.Boot) {
	one, isKnown := u.known[name]
	if !isKnown || one.gone != 0 {
		return
	}
	one.gone = now
	u.known[name] = one
}

// MarkCurrent notes that all changes of users up to now are known.
func (u *Senders) MarkCurrent(now clock.Boot) {
	if u.began == 0 {
		u.began = now
	}
	u.heard = now
}

// Quota returns how many requests this process may send to a server within Span,
// where all processes together may send rate requests in a second.
//
// Where there are more users than requests, each server has its own users, by
// rendezvous hashing: all processes agree on them without a word.
func (u *Senders) Quota(server string, rate float64, now clock.Boot) int {
	if !u.mayUse(now) {
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

// mayUse reports whether all other users count this process, and it counts them.
func (u *Senders) mayUse(now clock.Boot) bool {
	if u.heard == 0 || now.Sub(u.heard) > viewAge || now.Sub(u.began) < forget {
		return false
	}
	self, isKnown := u.known[u.Self]
	if !isKnown || now.Sub(self.since) < settle {
		return false
	}
	return self.gone == 0 || now.Sub(self.gone) < linger
}

// counted returns the users that may send, and forgets those that can't any more.
func (u *Senders) counted(now clock.Boot) []string {
	names := make([]string, 0, len(u.known))
	for name, one := range u.known {
		if one.gone != 0 && now.Sub(one.gone) >= forget {
			delete(u.known, name)
			continue
		}
		names = append(names, name)
	}
	return names
}
