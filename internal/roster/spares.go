package roster

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// RecordLatency notes whether an answer came within the time that its caller wished. A server
// that is late is not preferred for its connections.
func (r *Roster) RecordLatency(server *Server, isLate bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server.isLate = isLate
}

// mayKeep reports whether requests may stay with a server for its connections. One
// with models slows all that it generates down with each request more, which costs a
// caller more than a new connection.
func (s *Server) mayKeep() bool { return len(s.entry.Versions) == 0 && !s.isLate }

// hasSpare forgets connections that were closed unused, and reports whether one is left.
func (s *Server) hasSpare(now clock.Boot, idle time.Duration) bool {
	closed := 0
	for closed < len(s.spares) && now.Sub(s.spares[closed]) >= idle {
		closed++
	}
	s.spares = s.spares[closed:]
	return len(s.spares) > 0
}
