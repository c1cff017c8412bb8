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
	// Slots is the number of requests that it runs at the same time.
	Slots    int
	Draining bool
	// ColdFor is how much longer the server is cold, as of the registration.
	ColdFor time.Duration
	// StartedAtMillis is the start of the server, milliseconds since 1970 UTC.
	StartedAtMillis int64
	// Versions of the weights by model.
	Versions map[string]uint64
}

// Server is a backend server as this process sees it.
type Server struct {
	*route.Server

	entry  Entry
	direct *backend.Direct
	// seen holds versions that answers have shown since the registration.
	seen map[string]uint64
	// failures counts faults in a row.
	failures int
	suspect  clock.Boot
	full     clock.Boot
	// refusals counts refusals for want of room and failures in a row; while there
	// are any, only one generation at a time is given to the server, to ask it.
	refusals int
	isAsked  bool
	// missing is when the registration went while the store was away; zero if it is there.
	missing clock.Boot
	gone    bool
	pace    pace
	// spares are the connections that are open and unused, by when they were used last.
	spares []clock.Boot
	// isLate says that the last answer took longer than its caller wished.
	isLate bool
	// cold is until when the server is cold.
	cold clock.Boot
	sent cold.RequestWindow
}

// Direct returns the way to the server.
func (s *Server) Direct() *backend.Direct { return s.direct }

// Entry returns the newest registration.
func (s *Server) Entry() Entry { return s.entry }
