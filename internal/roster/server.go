package roster

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/cold"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Entry is a backend server's registration.
type Entry struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	// Slots is the number of requests that the server runs concurrently.
	Slots    int
	Draining bool
	// ColdFor is how much longer the server is cold at the time of the registration.
	ColdFor time.Duration
	// StartedAtMillis is the start time of the server in milliseconds since 1970 UTC.
	StartedAtMillis int64
	// Versions maps a model to its weight version.
	Versions map[string]uint64
}

// Server is a backend server as this process sees it.
type Server struct {
	*route.Server

	entry Entry
	// instance identifies this start of the server.
	instance string
	direct   *backend.Direct
	// reportedVersions maps a model to the weight version that answers have reported since the
	// registration.
	reportedVersions map[string]uint64
	// failures counts consecutive faults.
	failures     int
	suspectUntil clock.Boot
	backoffUntil clock.Boot
	// refusals counts consecutive refusals of a full server and failures. While refusals is not 0,
	// the server gets only one generation at a time, as a probe. isProbed is set while the probe
	// runs; with Roster.PreferFull it is also set while a caller's request probes a plain server.
	refusals int
	isProbed bool
	// missingSince is when the registration expired in a store outage; zero if the server is
	// registered.
	missingSince clock.Boot
	isGone       bool
	speed        Speed
	// ignoresGapsUntil is when figures of other processes may be adopted again after a start under a known name.
	ignoresGapsUntil clock.Boot
	// idleConnections holds the time of the last use of each open idle connection, oldest first.
	idleConnections []clock.Boot
	// isLate reports whether the last answer exceeded the latency target of its route.
	isLate bool
	// coldUntil is when the server stops being cold.
	coldUntil   clock.Boot
	recentSends cold.RequestWindow
}

// Direct returns the client of the server.
func (s *Server) Direct() *backend.Direct { return s.direct }

// Instance identifies this start of the server, which may start again under its ID.
func (s *Server) Instance() string { return s.instance }

// Entry returns the newest registration.
func (s *Server) Entry() Entry { return s.entry }
