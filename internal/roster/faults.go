package roster

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

const (
	// minSuspectTime is how long a server is suspect after its first failure, and gets work only if
	// no other server is available. The time doubles with each consecutive failure, up to
	// maxSuspectTime. The minimum is about the interval between registrations.
	minSuspectTime = time.Second
	maxSuspectTime = 8 * time.Second
	// minBackoff is how long a server that was full or failed is skipped at first: about the time
	// until one of its requests ends. The time doubles with each consecutive refusal or failure up
	// to maxBackoff, a fraction of the time of a weight load.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// RecordFailure records that a server was unreachable or sent no data in time.
//
// A fault ends all requests at a server at the same time and counts once: failures during the
// backoff carry no new information.
func (r *Roster) RecordFailure(server *Server, reason string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	server.idleConnections = nil
	if server.failures > 0 && now < server.backoffUntil {
		return
	}
	server.backOff(now)
	length := min(minSuspectTime<<min(server.failures, 4), maxSuspectTime)
	server.failures++
	server.suspectUntil = now.Add(length)
	klog.InfoS("roster: server is suspected", "server", server.Name(), "reason", reason, "failures", server.failures, "for", length)
}

// RecordFull records that a server rejected a request because it was full.
func (r *Roster) RecordFull(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server.backOff(clock.Now())
}

// backOff withholds generations from a server for the backoff time. Afterwards the server gets one
// generation at a time, as a probe, until it answers.
func (s *Server) backOff(now clock.Boot) {
	s.backoffUntil = now.Add(min(minBackoff<<min(s.refusals, 4), maxBackoff))
	s.refusals++
	s.isProbed = false
}

// isUnproven reports whether a plain server has not answered since its last fault.
func (s *Server) isUnproven() bool { return s.failures > 0 && len(s.entry.Versions) == 0 }

// isHeldBack reports whether a plain server is suspected, or runs its probe. When its suspicion ends it has the least
// load, so without the probe all requests until the next failure would go there.
func (s *Server) isHeldBack(now clock.Boot) bool {
	return now < s.suspectUntil || s.isUnproven() && s.isProbed
}

// RecordReplaced records that a server is gone because another server answers at its address.
func (r *Roster) RecordReplaced(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.servers[server.Name()] != server {
		return
	}
	klog.InfoS("roster: server replaced by another one at its address", "server", server.Name(), "address", server.entry.Address)
	server.SetEligibility(route.Closed)
	server.isGone = true
}

// RecordAnswer records that a server has answered.
func (r *Roster) RecordAnswer(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server.failures, server.suspectUntil = 0, 0
	server.refusals, server.isProbed = 0, false
}
