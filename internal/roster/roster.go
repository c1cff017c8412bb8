// Package roster knows the backend servers that register themselves, and gives
// each request one of them.
package roster

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Roster holds the backend servers. Exported fields are set before the first call.
// It is safe for concurrent use.
type Roster struct {
	Zone   string
	Region string
	Wire   backend.Wire
	// Idle is how long an unused connection to a server is kept.
	Idle time.Duration
	// ColdLimits says how many requests cold servers may be sent; nil bounds none.
	ColdLimits ColdLimits
	// ReregisterTimeout is how long registrations that lapsed while the store was away may
	// take to come back after its return.
	ReregisterTimeout time.Duration

	mutex   sync.Mutex
	servers map[string]*Server
	pools   map[string][]*route.Server
	// zones are those in which a pool has or had a server.
	zones  map[string]map[string]bool
	meters map[string]*meter
	// slots are the last known mean slots of a pool's servers.
	slots   map[string]float64
	chooser *route.Chooser
	// drained is since when this process knows that an operator has drained a zone.
	drained map[string]clock.Boot
	lost    bool
	// regained is when the store answered again.
	regained clock.Boot
	changed  chan struct{}
	listed   bool
}

// Changed returns a channel that is closed at the next change of a registration
// or end of a request.
func (r *Roster) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	return r.changed
}

// Entries returns the registrations of a pool that may get work.
func (r *Roster) Entries(pool string) []Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	now := clock.Now()
	var entries []Entry
	for _, one := range r.pools[pool] {
		server := r.servers[one.Name()]
		r.mark(server, now)
		if server.Eligibility() != route.Closed {
			entries = append(entries, server.entry)
		}
	}
	return entries
}

// Find returns a server that may get work by its identity, or nil.
func (r *Roster) Find(id string) *Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	server := r.servers[id]
	if server == nil {
		return nil
	}
	r.mark(server, clock.Now())
	if server.Eligibility() == route.Closed {
		return nil
	}
	return server
}

// Choose returns a server of a pool for a request, and counts it there until Finish.
func (r *Roster) Choose(pool string, tried map[string]bool) (*Server, route.Reason) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	now := clock.Now()
	for _, one := range r.pools[pool] {
		server := r.servers[one.Name()]
		r.mark(server, now)
		if r.isTooCold(server, SenderCaller, now) {
			server.SetEligibility(route.Closed)
		}
		server.SetIdleConn(server.mayKeep() && server.hasSpare(now, r.Idle))
	}
	choice := r.chooser.Choose(r.pools[pool], route.Request{Now: time.Now(), Tried: tried})
	if choice.Server == nil {
		return nil, choice.Reason
	}
	return r.begin(choice.Server), choice.Reason
}

// begin counts a request at a server until Finish. The mutex is held.
func (r *Roster) begin(chosen *route.Server) *Server {
	chosen.Begin()
	server := r.servers[chosen.Name()]
	server.sent.Add(clock.Now())
	if last := len(server.spares) - 1; last >= 0 {
		// The transport takes the connection that was used last.
		server.spares = server.spares[:last]
	}
	r.meter(server.entry.Pool).run(1, clock.Now())
	return server
}

// Finish notes the end of a request that Choose or Place gave to a server.
func (r *Roster) Finish(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server.Finish()
	server.spares = append(server.spares, clock.Now())
	// Whatever came of the one that asked, the next one may ask: an end that says
	// nothing of the server would otherwise keep all work from it for good.
	server.isAsked = false
	r.meter(server.entry.Pool).run(-1, clock.Now())
	r.wake()
}

// Running returns the requests that this process has at a server.
func (r *Roster) Running(server *Server) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return server.Inflight()
}

// mark sets whether a server gets new work now.
func (r *Roster) mark(server *Server, now clock.Boot) {
	switch {
	case server.gone, server.entry.Draining, r.isDrained(server.entry.Zone):
		server.SetEligibility(route.Closed)
	case server.missing != 0 && !r.lost && now.Sub(r.regained) >= r.ReregisterTimeout:
		klog.InfoS("roster: registration didn't come back", "server", server.Name())
		server.gone = true
		server.SetEligibility(route.Closed)
	case now < server.suspect, now < server.full:
		server.SetEligibility(route.Suspect)
	default:
		server.SetEligibility(route.Open)
	}
}

func (r *Roster) prepare() {
	if r.servers != nil {
		return
	}
	r.servers = map[string]*Server{}
	r.pools = map[string][]*route.Server{}
	r.zones = map[string]map[string]bool{}
	r.meters = map[string]*meter{}
	r.slots = map[string]float64{}
	r.chooser = &route.Chooser{Region: r.Region, Zone: r.Zone}
	r.drained = map[string]clock.Boot{}
	r.changed = make(chan struct{})
}

func (r *Roster) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}
