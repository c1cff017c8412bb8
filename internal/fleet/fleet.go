// Package fleet manages the backend servers of each availability zone: it tracks their states and
// orders the platform to start and stop servers.
//
// One process per zone holds the duty "order-ZONE". It stores a pool's servers in
// the key "fleet/POOL", whose value reaches the other processes as a fact.
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// DutyPrefix is the prefix of the name of a zone's duty; the name of the zone follows.
const DutyPrefix = "order-"

// States of a backend server in the store.
const (
	StateStarting = "starting"
	StateLive     = "live"
	StateDraining = "draining"
	StateRemoved  = "removed"
)

// stateStopping is the platform's state of a server that was ordered to stop.
const stateStopping = "stopping"

const (
	// minRemovedRetention is how long a removed server is kept: longer than the claims of idempotency keys, whose
	// sidecars look back on the servers that may have run a request.
	minRemovedRetention = 20 * time.Minute
	// minRemoved is the number of removed servers of a pool that are kept longer, maxRemoved the largest number
	// that is kept at all: 100 bytes each, in a value of at most a megabyte.
	minRemoved = 64
	maxRemoved = 4096
)

// ZoneView is the state of a zone's backend servers as observed in one round of the zone's duty.
type ZoneView struct {
	// Listed are the servers in the platform's list.
	Listed []platform.Server
	// Addresses are the addresses of the known sidecars, by server.
	Addresses map[string]string
	// Leaving are the servers to drain, because their host is about to leave or because they are
	// surplus.
	Leaving map[string]bool
}

// Update applies the platform's list of one zone's servers to a pool and reports whether anything
// changed; a change increments the epoch. A leaving server stays draining until it is removed.
func Update(known *statepb.Fleet, pool, zone string, view ZoneView, now time.Time) (*statepb.Fleet, bool) {
	next, ok := proto.Clone(known).(*statepb.Fleet)
	if !ok {
		next = &statepb.Fleet{}
	}
	servers := map[string]*statepb.Server{}
	for _, server := range next.GetServers() {
		servers[server.GetId()] = server
	}
	listed := map[string]bool{}
	for _, server := range view.Listed {
		if server.IsUnreadable {
			listed[server.ID] = true
			continue
		}
		if server.Pool != pool || server.Zone != zone {
			continue
		}
		listed[server.ID] = true
		mergeServer(servers, server, view, now)
	}
	for id, server := range servers {
		if server.GetZone() == zone && !listed[id] {
			setState(server, StateRemoved, now)
		}
	}
	next.SetServers(sortServers(servers, now))
	if proto.Equal(known, next) {
		return next, false
	}
	next.SetEpoch(known.GetEpoch() + 1)
	return next, true
}

func mergeServer(servers map[string]*statepb.Server, listed platform.Server, view ZoneView, now time.Time) {
	server := servers[listed.ID]
	if server == nil {
		server = statepb.Server_builder{Id: listed.ID, Pool: listed.Pool, Zone: listed.Zone}.Build()
		servers[listed.ID] = server
	}
	if address := view.Addresses[listed.ID]; address != "" {
		server.SetAddress(address)
	}
	if server.GetState() == StateRemoved {
		server.SetBorn(0)
	}
	setState(server, nextState(server.GetState(), listed.State), now)
	if view.Leaving[listed.ID] {
		setState(server, StateDraining, now)
	}
	if server.GetState() == StateLive && server.GetBorn() == 0 {
		server.SetBorn(now.Unix())
	}
}

// nextState keeps a server draining until it is removed, whatever state the platform
// lists.
func nextState(known, listed string) string {
	switch {
	case known == StateDraining, listed == stateStopping:
		return StateDraining
	case listed == StateLive:
		return StateLive
	default:
		return StateStarting
	}
}

func setState(server *statepb.Server, state string, now time.Time) {
	if server.GetState() != state {
		server.SetState(state)
		server.SetSince(now.Unix())
	}
	if state == StateLive && server.GetBorn() == 0 {
		server.SetBorn(now.Unix())
	}
}

// sortServers returns the servers sorted by ID, without those that were removed long ago.
func sortServers(servers map[string]*statepb.Server, now time.Time) []*statepb.Server {
	var present, removed []*statepb.Server
	for _, server := range servers {
		if server.GetState() == StateRemoved {
			removed = append(removed, server)
		} else {
			present = append(present, server)
		}
	}
	slices.SortFunc(removed, func(a, b *statepb.Server) int {
		return cmp.Or(cmp.Compare(b.GetSince(), a.GetSince()), strings.Compare(a.GetId(), b.GetId()))
	})
	kept := 0
	for kept < min(len(removed), maxRemoved) && (kept < minRemoved || now.Sub(time.Unix(removed[kept].GetSince(), 0)) <= minRemovedRetention) {
		kept++
	}
	present = append(present, removed[:kept]...)
	slices.SortFunc(present, func(a, b *statepb.Server) int { return strings.Compare(a.GetId(), b.GetId()) })
	return present
}

// summary counts a zone's servers by state, for the log.
func summary(fleet *statepb.Fleet, zone string) string {
	counts := map[string]int{}
	for _, server := range fleet.GetServers() {
		if server.GetZone() == zone {
			counts[server.GetState()]++
		}
	}
	return fmt.Sprintf("%d starting, %d live, %d draining, %d removed",
		counts[StateStarting], counts[StateLive], counts[StateDraining], counts[StateRemoved])
}
