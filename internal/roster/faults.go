package roster

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

const (
	// suspicion is how long a server that failed gets work only where no other
	// is left; it doubles with each failure in a row, up to greatestSuspicion.
	// The first is about the time of one registration.
	suspicion         = time.Second
	greatestSuspicion = 8 * time.Second
	// fullPause is how long a server that refused for want of room, or failed, is
	// passed over, about the time in which one of its requests ends; it doubles each
	// time in a row up to greatestFullPause, a part of the time of a weight load.
	fullPause         = 50 * time.Millisecond
	greatestFullPause = 200 * time.Millisecond
)

// RecordFailure notes that a server could not be reached, or was silent.
//
// A fault ends all requests at a server together. It counts once: what fails
// before the server is asked again says nothing new.
func (r *Roster) RecordFailure(server *Server, reason string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	server.spares = nil
	if server.failures > 0 && now < server.full {
		return
	}
	server.passOver(now)
	length := min(suspicion<<min(server.failures, 4), greatestSuspicion)
	server.failures++
	server.suspect = now.Add(length)
	klog.InfoS("roster: server is suspected", "server", server.Name(), "reason", reason, "failures", server.failures, "for", length)
}

// RecordFull notes that a server refused a request for want of room.
func (r *Roster) RecordFull(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server.passOver(clock.Now())
}

// passOver keeps generations from a server for a moment, and then lets one at a
// time ask it until it answers.
func (s *Server) passOver(now clock.Boot) {
	s.full = now.Add(min(fullPause<<min(s.refusals, 4), greatestFullPause))
	s.refusals++
	s.isAsked = false
}

// RecordReplaced notes that another server answers at a server's address: this one is gone.
func (r *Roster) RecordReplaced(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.servers[server.Name()] != server {
		return
	}
	klog.InfoS("roster: another server answers at the address", "server", server.Name(), "address", server.entry.Address)
	server.SetEligibility(route.Closed)
	server.gone = true
}

// RecordAnswer notes that a server has answered.
func (r *Roster) RecordAnswer(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server.failures, server.suspect = 0, 0
	server.refusals, server.isAsked = 0, false
}
