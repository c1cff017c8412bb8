// Package fleet keeps the backend servers of each availability zone: it knows
// which there are, and orders the platform to start and stop them.
//
// One process a zone holds the duty "order-ZONE". What it knows of a pool is in
// the store's key "fleet/POOL" and reaches the other processes as a fact.
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

// DutyPrefix is followed by the zone in the name of a zone's duty.
const DutyPrefix = "order-"

// States of a backend server in the store.
const (
	StateStarting = "starting"
	StateLive     = "live"
	StateDraining = "draining"
	StateRemoved  = "removed"
)

// stateStopping is the platform's word for a server that has an order to stop.
const stateStopping = "stopping"

// maxRemoved bounds the removed servers that a pool remembers.
const maxRemoved = 64

// ZoneView is what a zone's duty sees of its backend servers.
type ZoneView struct {
	// Listed are the servers in the platform's list.
	Listed []platform.Server
	// Addresses are those of the sidecars that are known, by server.
	Addresses map[string]string
	// Leaving are the servers that are to drain: their hosts leave, or they are too many.
	Leaving map[string]bool
}

// Update returns a pool's servers after the platform has listed those of one
// zone, and whether anything changed; a change raises the epoch by one.
// A server that leaves drains from then on.
func Update(known *statepb.Fleet, pool, zone string, seen ZoneView, now time.Time) (*statepb.Fleet, bool) {
	next, ok := proto.Clone(known).(*statepb.Fleet)
	if !ok {
		next = &statepb.Fleet{}
	}
	servers := map[string]*statepb.Server{}
	for _, server := range next.GetServers() {
		servers[server.GetId()] = server
	}
	listed := map[string]bool{}
	for _, server := range seen.Listed {
		if server.Pool != pool || server.Zone != zone {
			continue
		}
		listed[server.ID] = true
		take(servers, server, seen, now)
	}
	for id, server := range servers {
		if server.GetZone() == zone && !listed[id] {
			setState(server, StateRemoved, now)
		}
	}
	next.SetServers(sorted(servers))
	if proto.Equal(known, next) {
		return next, false
	}
	next.SetEpoch(known.GetEpoch() + 1)
	return next, true
}

func take(servers map[string]*statepb.Server, listed platform.Server, seen ZoneView, now time.Time) {
	server := servers[listed.ID]
	if server == nil {
		server = statepb.Server_builder{Id: listed.ID, Pool: listed.Pool, Zone: listed.Zone}.Build()
		servers[listed.ID] = server
	}
	if address := seen.Addresses[listed.ID]; address != "" {
		server.SetAddress(address)
	}
	if server.GetState() == StateRemoved {
		server.SetBorn(0)
	}
	setState(server, nextState(server.GetState(), listed.State), now)
	if seen.Leaving[listed.ID] {
		setState(server, StateDraining, now)
	}
	if server.GetState() == StateLive && server.GetBorn() == 0 {
		server.SetBorn(now.Unix())
	}
}

// nextState keeps a drain until the server is gone, whatever the platform says.
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

// sorted returns the servers by identity, without the removed ones that are too many.
func sorted(servers map[string]*statepb.Server) []*statepb.Server {
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
	present = append(present, removed[:min(len(removed), maxRemoved)]...)
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
