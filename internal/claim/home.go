// Package claim decides where the claim of an idempotency key is stored, and
// whether a request under it may still be passed to a backend server.
//
// Two sidecars store a claim, its home and its witness in another zone, both
// chosen by rendezvous hashing. When one server joins or leaves a pool, a sidecar
// that stores the claim is still the home or the witness: if the home leaves, the
// next in rank is the witness or has the same witness. The package does no I/O
// and reads no clock.
package claim

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// States of a server in a statepb.Fleet.
const (
	stateLive     = "live"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// Home returns the server that requests under the claim go to; "" if no server
// of the pool is live.
func Home(claim string, fleet *statepb.Fleet) string {
	live := liveRank(claim, fleet)
	if len(live) == 0 {
		return ""
	}
	return live[0].GetId()
}

// Witness returns the server that stores the claim besides the home: the first in
// rank in another zone, or the second in rank if all are in one zone; "" if the
// home is the only live server.
func Witness(claim string, fleet *statepb.Fleet) string {
	live := liveRank(claim, fleet)
	if len(live) < 2 {
		return ""
	}
	for _, server := range live[1:] {
		if server.GetZone() != live[0].GetZone() {
			return server.GetId()
		}
	}
	return live[1].GetId()
}

func liveRank(claim string, fleet *statepb.Fleet) []*statepb.Server {
	return rank(claim, fleet, func(server *statepb.Server) bool { return server.GetState() == stateLive })
}

// rank returns the servers that match, by descending rendezvous score.
func rank(claim string, fleet *statepb.Fleet, matches func(*statepb.Server) bool) []*statepb.Server {
	var found []*statepb.Server
	scores := map[string]uint64{}
	for _, server := range fleet.GetServers() {
		if matches(server) {
			found = append(found, server)
			scores[server.GetId()] = xxhash.Sum64String(claim + "\x00" + server.GetId())
		}
	}
	slices.SortFunc(found, func(a, b *statepb.Server) int {
		return cmp.Or(cmp.Compare(scores[b.GetId()], scores[a.GetId()]), strings.Compare(a.GetId(), b.GetId()))
	})
	return found
}
