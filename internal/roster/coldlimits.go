package roster

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// Sender is the kind of a request's sender.
type Sender int

// Kinds of senders.
const (
	// SenderCaller is a caller's request.
	SenderCaller Sender = iota
	// SenderBatch is a generation of a batch that this process owns.
	SenderBatch
)

// ColdLimits limits the requests sent to cold servers.
type ColdLimits interface {
	// Quota returns how many requests this process may send to a cold server of a pool within
	// cold.Window; isUnbounded is true if the pool's servers need no limit.
	Quota(pool, server string, sender Sender) (limit int, isUnbounded bool)
	// Duration returns how long a server of a pool stays cold.
	Duration(pool string) time.Duration
}

// markCold marks a server as cold for the remaining time. It never shortens the time that is
// already set, since registrations may arrive out of order.
func (s *Server) markCold(remaining time.Duration, now clock.Boot) {
	if remaining <= 0 || now.Add(remaining) <= s.coldUntil {
		return
	}
	if now >= s.coldUntil {
		klog.InfoS("roster: server is cold", "server", s.Name(), "for", remaining)
	}
	s.coldUntil = now.Add(remaining)
}

// isOverColdLimit reports whether a server is cold and this process has used up its quota of
// requests to that server.
func (r *Roster) isOverColdLimit(server *Server, sender Sender, now clock.Boot) bool {
	if r.ColdLimits == nil || now >= server.coldUntil {
		return false
	}
	limit, isUnbounded := r.ColdLimits.Quota(server.entry.Pool, server.Name(), sender)
	return !isUnbounded && !server.recentSends.Allows(limit, now)
}
