package roster

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// Sender is the kind of a request's sender.
type Sender int

// Senders.
const (
	// SenderCaller is a request that a caller waits for.
	SenderCaller Sender = iota
	// SenderBatch is a generation of a batch that this process owns.
	SenderBatch
)

// ColdLimits says how many requests cold servers may be sent.
type ColdLimits interface {
	// Share returns how many requests this process may send to a cold server of a
	// pool within a span; unbounded where the pool's servers take all they get.
	Share(pool, server string, sender Sender) (most int, unbounded bool)
	// Duration is how long a server of a pool is cold.
	Duration(pool string) time.Duration
}

// chill notes that a server is cold for a time from now on. What was known before
// stays: a registration may be older than the one before it.
func (s *Server) chill(left time.Duration, now clock.Boot) {
	if left <= 0 || now.Add(left) <= s.cold {
		return
	}
	if now >= s.cold {
		klog.InfoS("roster: server is cold", "server", s.Name(), "for", left)
	}
	s.cold = now.Add(left)
}

// isTooCold reports whether a server is cold and has had from this process what it may.
func (r *Roster) isTooCold(server *Server, sender Sender, now clock.Boot) bool {
	if r.ColdLimits == nil || now >= server.cold {
		return false
	}
	most, isUnbounded := r.ColdLimits.Share(server.entry.Pool, server.Name(), sender)
	return !isUnbounded && !server.sent.Allows(most, now)
}
