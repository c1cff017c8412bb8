// Package roster tracks the backend servers that register themselves, and selects a server for each
// request.
package roster

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Roster holds the backend servers. Exported fields are set before the first call. It
// is safe for concurrent use.
type Roster struct {
	Zone   string
	Region string
	Wire   backend.Wire
	// ServerMetrics counts answers to other requests; nil counts none.
	ServerMetrics *backend.Metrics
	// IdleTimeout is how long an unused connection to a server is kept.
	IdleTimeout time.Duration
	// ColdLimits limits the requests to cold servers; nil sets no limit.
	ColdLimits ColdLimits
	// ReregisterTimeout is how long after a store outage a server whose registration expired may
	// take to register again.
	ReregisterTimeout time.Duration
	// PreferFull prefers full plain servers to suspected ones. A full server refuses at once, while a silent one takes
	// the time of the request and leaves its outcome unknown.
	PreferFull bool
	// Speeds places generations by the expected gap of servers in pools whose servers differ lastingly.
	Speeds bool

	mutex sync.Mutex
	// candidates, active, gaps and paces are the buffers of one choice. A step chooses some hundred servers, and
	// new slices for each choice would take most of its CPU time.
	candidates, active []route.Candidate
	gaps               []route.Gaps
	paces              []time.Duration
	servers            map[string]*Server
	pools              map[string][]*route.Server
	// zones are the zones in which a pool has or had a server.
	zones  map[string]map[string]bool
	meters map[string]*meter
	// meanSlots maps a pool to the last known mean number of slots of its servers.
	meanSlots map[string]float64
	chooser   *route.Chooser
	// drainedAt maps a drained zone to the time at which its drain took effect in this process.
	drainedAt   map[string]clock.Boot
	isStoreLost bool
	// regainedAt is when the last store outage ended; zero if none has ended.
	regainedAt clock.Boot
	changed    chan struct{}
	isListed   bool
}

// Changed returns a channel that is closed when a registration next changes or a request next ends.
func (r *Roster) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	return r.changed
}

// Entries returns the registrations of a pool that may get work.
func (r *Roster) Entries(pool string) []Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	now := clock.Now()
	var entries []Entry
	for _, routed := range r.pools[pool] {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		if server.Eligibility() != route.Closed {
			entries = append(entries, server.entry)
		}
	}
	return entries
}

// Find returns the server with an ID if it may get work, or nil.
func (r *Roster) Find(id string) *Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	server := r.servers[id]
	if server == nil {
		return nil
	}
	r.updateEligibility(server, clock.Now())
	if server.Eligibility() == route.Closed {
		return nil
	}
	return server
}

// Choose returns a server of a pool for a request, which counts as running there until Finish.
func (r *Roster) Choose(pool string, tried map[string]bool) (*Server, route.Reason) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	now := clock.Now()
	for _, routed := range r.pools[pool] {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		if r.isOverColdLimit(server, SenderCaller, now) {
			server.SetEligibility(route.Closed)
		}
		server.SetIdleConn(server.mayPreferConnection() && server.hasIdleConnection(now, r.IdleTimeout))
	}
	if r.PreferFull {
		r.closeSuspected(pool, tried, now)
	}
	choice := r.chooser.Choose(r.pools[pool], route.Request{Now: time.Now(), Tried: tried})
	if choice.Server == nil {
		return nil, choice.Reason
	}
	server := r.startRequest(choice.Server)
	if r.PreferFull && server.isUnproven() {
		server.isProbed = true
	}
	return server, choice.Reason
}

// HasOpen reports whether a pool has an open server that was not tried.
func (r *Roster) HasOpen(pool string, tried map[string]bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	now := clock.Now()
	for _, routed := range r.pools[pool] {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		if server.Eligibility() == route.Open && !tried[routed.Name()] && !server.isHeldBack(now) {
			return true
		}
	}
	return false
}

// closeSuspected closes the suspected servers of a plain pool, and those that are being probed, for a choice if another
// server has not been tried. The caller holds the mutex.
func (r *Roster) closeSuspected(pool string, tried map[string]bool, now clock.Boot) {
	hasOther := false
	var suspected []*Server
	for _, routed := range r.pools[pool] {
		server := r.servers[routed.Name()]
		if len(server.entry.Versions) > 0 {
			return
		}
		switch {
		case tried[routed.Name()] || server.Eligibility() == route.Closed:
		case server.isHeldBack(now):
			suspected = append(suspected, server)
		default:
			hasOther = true
		}
	}
	if !hasOther {
		return
	}
	for _, server := range suspected {
		server.SetEligibility(route.Closed)
	}
}

// startRequest counts a request as running at a server until Finish. The caller holds the mutex.
func (r *Roster) startRequest(chosen *route.Server) *Server {
	chosen.Begin()
	server := r.servers[chosen.Name()]
	server.recentSends.Add(clock.Now())
	if last := len(server.idleConnections) - 1; last >= 0 {
		// The transport reuses the most recently used connection.
		server.idleConnections = server.idleConnections[:last]
	}
	r.meter(server.entry.Pool).adjust(1, clock.Now())
	return server
}

// Finish records the end of a request that Choose or Place assigned to a server.
func (r *Roster) Finish(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server.Finish()
	server.idleConnections = append(server.idleConnections, clock.Now())
	// Any end of the probe allows the next one: otherwise a probe that ends without a result would
	// withhold all generations from the server forever.
	server.isProbed = false
	r.meter(server.entry.Pool).adjust(-1, clock.Now())
	r.notifyChanged()
}

// Running returns the number of this process's requests that run at a server.
func (r *Roster) Running(server *Server) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return server.Inflight()
}

// updateEligibility sets whether a server may get new work.
func (r *Roster) updateEligibility(server *Server, now clock.Boot) {
	switch {
	case server.isGone, server.entry.Draining, r.isDrained(server.entry.Zone):
		server.SetEligibility(route.Closed)
	case server.missingSince != 0 && !r.isStoreLost && now.Sub(r.regainedAt) >= r.ReregisterTimeout:
		klog.InfoS("roster: registration was not renewed after a store outage", "server", server.Name())
		server.isGone = true
		server.SetEligibility(route.Closed)
	case now < server.suspectUntil, now < server.backoffUntil:
		server.SetEligibility(route.Suspect)
	default:
		server.SetEligibility(route.Open)
	}
}

func (r *Roster) initMaps() {
	if r.servers != nil {
		return
	}
	r.servers = map[string]*Server{}
	r.pools = map[string][]*route.Server{}
	r.zones = map[string]map[string]bool{}
	r.meters = map[string]*meter{}
	r.meanSlots = map[string]float64{}
	r.chooser = &route.Chooser{Region: r.Region, Zone: r.Zone}
	r.drainedAt = map[string]clock.Boot{}
	r.changed = make(chan struct{})
}

func (r *Roster) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}
