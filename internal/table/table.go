// Package table holds what operators have put in force: which request goes to
// which pool of backend servers, under which limits, and whose a key is.
// It holds pure look-ups; nothing is sent from here.
package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated of a route's requests, and how they are answered.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once is the kind of requests that may run at most once.
	Once
	// Stream requests are answered by a series of events.
	Stream
	// Batch routes take many generations at once, which run later.
	Batch
)

// Share is a pool's part of a route's requests.
type Share struct {
	Pool   string
	Weight float64
}

// Route says where requests go and how long they may take.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares has at least one pool.
	Shares []Share
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is of full worth.
	LatencyTarget time.Duration
	// Attempts is the most backend servers that one request is sent to.
	Attempts int
	// Priority 0 comes first.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// DueAfter is when the results of a batch are due after its acceptance.
	DueAfter time.Duration
	// GiveUpAfter is when an item of a batch may be given up after the acceptance.
	GiveUpAfter time.Duration
	// SingleVersion asks for texts that one weight version made.
	SingleVersion bool
}

// Scale bounds the number of a pool's backend servers in each zone.
type Scale struct {
	Min int
	Max  int
	// Boot is the time from an order to the first request served.
	Boot time.Duration
}

// Pool is a group of backend servers that serve the same.
type Pool struct {
	Name string
	// Health is the path of the health check.
	Health string
	// Connections is the most connections that a server takes from all callers.
	Connections int
	// Scale is nil where the number of servers isn't ordered.
	Scale *Scale
	// Models that its engines serve; none for a plain service.
	Models []string
	// TokenCapacity is the number of tokens that an engine holds; 0 for a plain service.
	TokenCapacity uint64
	// ColdRate is how many requests a second a server takes while it is cold, all
	// senders together; 0 bounds nothing. ColdTime is how long it is cold after its start.
	ColdRate float64
	ColdTime time.Duration

	// hasCallers and hasBatches say what kinds of routes lead to the pool.
	hasCallers, hasBatches bool
}

// Senders reports whether callers and whether batches send requests to the pool.
func (p *Pool) Senders() (callers, batches bool) { return p.hasCallers, p.hasBatches }

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's; HasPriority says whether there is one.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// Idle is how long a connection may be idle.
	Idle time.Duration
}

// Table is one version of what is in force. It is never changed once it is in use.
type Table struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	Limits  Limits
	// Keys holds the accounts by the hash of their keys. Where it is nil, no
	// request needs a key.
	Keys map[string]Account

	byHost map[string][]*Route
	pools  map[string]*Pool
}

// Index prepares the look-ups; it is called once, before the table is used.
func (t *Table) Index() {
	t.byHost = map[string][]*Route{}
	t.pools = map[string]*Pool{}
	for i := range t.Routes {
		route := &t.Routes[i]
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Pools {
		t.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Routes {
		t.noteSenders(&t.Routes[i])
	}
}

// noteSenders notes at a route's pools who sends to them.
func (t *Table) noteSenders(route *Route) {
	for _, share := range route.Shares {
		pool := t.pools[share.Pool]
		if pool == nil {
			continue
		}
		pool.hasBatches = pool.hasBatches || route.Kind == Batch
		pool.hasCallers = pool.hasCallers || route.Kind != Batch
	}
}

// Account returns the account that holds the key with a hash.
func (t *Table) Account(hash string) (Account, bool) {
	account, ok := t.Keys[hash]
	return account, ok
}

// NeedsKeys reports whether requests must carry a key.
func (t *Table) NeedsKeys() bool { return t.Keys != nil }

// Pool returns a pool by its name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Route returns the route of a host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Pool returns the pool of a route for a draw between 0 and 1.
func (r *Route) Pool(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	draw *= total
	for _, share := range r.Shares {
		if draw < share.Weight {
			return share.Pool
		}
		draw -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// HashFraction returns a number between 0 and 1 that is always the same for an identity.
func HashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}
