package roster

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// RecordLatency records whether an answer exceeded the latency target of its route. A server whose
// last answer was late is not preferred for its idle connections.
func (r *Roster) RecordLatency(server *Server, isLate bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server.isLate = isLate
}

// mayPreferConnection reports whether a server may be preferred for its idle connections. On a
// server with models each additional request slows down all running generations, which delays a
// caller more than a new connection.
func (s *Server) mayPreferConnection() bool { return len(s.entry.Versions) == 0 && !s.isLate }

// hasIdleConnection removes connections that have reached the idle timeout, and reports whether any
// connection is left.
func (s *Server) hasIdleConnection(now clock.Boot, idleTimeout time.Duration) bool {
	expired := 0
	for expired < len(s.idleConnections) && now.Sub(s.idleConnections[expired]) >= idleTimeout {
		expired++
	}
	s.idleConnections = s.idleConnections[expired:]
	return len(s.idleConnections) > 0
}
