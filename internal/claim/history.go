package claim

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// MaxFleetLag bounds how long after a change a process may still use the previous fleet,
// clock skew included.
//
// A home that restarted with an empty journal runs no claims for this time: with
// a fleet that lacks the newest server it would not ask the witness that stored
// a claim.
const MaxFleetLag = 10 * time.Second

// candidate is a server that may have stored a claim, as its home or its witness.
type candidate struct {
	server    string
	isRemoved bool
	// witnesses are the servers one of which stored the claim in addition to
	// this home.
	witnesses []candidate
	// mayLackWitness reports whether the home may have run the claim without a
	// witness.
	mayLackWitness bool
}

// history finds the past homes of one claim.
type history struct {
	claim string
	fleet *statepb.Fleet
	// ranked are all servers that may have stored the claim.
	ranked []*statepb.Server
	homes  []candidate
}

// newHistory finds the past homes within the window before now. It visits each
// moment at which the fleet may have changed; every server that may have been
// the home at such a moment is a past home.
func newHistory(claim string, fleet *statepb.Fleet, now time.Time, window time.Duration) *history {
	begin := now.Add(-window).Unix()
	h := &history{claim: claim, fleet: fleet}
	h.ranked = rank(claim, fleet, func(server *statepb.Server) bool { return wasLiveSince(server, begin) })
	for _, moment := range changeTimes(h.ranked, begin, now.Unix()) {
		h.addHomesAt(moment)
	}
	return h
}

func (h *history) addHomesAt(moment int64) {
	homes, _ := h.possibleFirst(moment, func(*statepb.Server) bool { return true })
	for _, home := range homes {
		h.merge(h.homeAt(home, moment))
	}
}

// homeAt returns home with the possible witnesses that it had at a moment.
func (h *history) homeAt(home *statepb.Server, moment int64) candidate {
	isOtherZone := func(server *statepb.Server) bool { return server.GetZone() != home.GetZone() }
	isOther := func(server *statepb.Server) bool { return server.GetId() != home.GetId() }
	witnesses, isSure := h.possibleFirst(moment, isOtherZone)
	if !isSure {
		sameZone, _ := h.possibleFirst(moment, isOther)
		witnesses = append(witnesses, sameZone...)
	}
	found := candidate{server: home.GetId(), isRemoved: isRemoved(home), mayLackWitness: h.isOnlyServer(home, moment)}
	for _, witness := range witnesses {
		found.witnesses = append(found.witnesses, candidate{server: witness.GetId(), isRemoved: isRemoved(witness)})
	}
	return found
}

// possibleFirst returns the servers that match and may have ranked first among the
// matching ones at a moment, and whether one of them was certainly live.
func (h *history) possibleFirst(moment int64, matches func(*statepb.Server) bool) ([]*statepb.Server, bool) {
	var found []*statepb.Server
	for _, server := range h.ranked {
		if !matches(server) || !mayBeLive(server, moment) {
			continue
		}
		found = append(found, server)
		if isSurelyLive(server, moment) {
			return found, true
		}
	}
	return found, false
}

// isOnlyServer reports whether home was the pool's only server at a moment.
func (h *history) isOnlyServer(home *statepb.Server, moment int64) bool {
	return !slices.ContainsFunc(h.ranked, func(other *statepb.Server) bool {
		return other.GetId() != home.GetId() && wasLiveAt(other, moment)
	})
}

// merge adds a past home, or adds its witnesses to its existing entry.
func (h *history) merge(added candidate) {
	for i := range h.homes {
		if h.homes[i].server == added.server {
			h.homes[i].mayLackWitness = h.homes[i].mayLackWitness || added.mayLackWitness
			h.homes[i].mergeWitnesses(added.witnesses)
			return
		}
	}
	h.homes = append(h.homes, added)
}

func (c *candidate) mergeWitnesses(added []candidate) {
	for _, witness := range added {
		isKnown := func(known candidate) bool { return known.server == witness.server }
		if !slices.ContainsFunc(c.witnesses, isKnown) {
			c.witnesses = append(c.witnesses, witness)
		}
	}
}

// changeTimes returns the start of the window and each time in it at which some
// process may have started or stopped using a server.
func changeTimes(servers []*statepb.Server, begin, now int64) []int64 {
	found := []int64{begin}
	lag := int64(MaxFleetLag / time.Second)
	for _, server := range servers {
		for _, moment := range []int64{server.GetBorn(), server.GetSince(), server.GetBorn() + lag, server.GetSince() + lag} {
			if moment > begin && moment <= now {
				found = append(found, moment)
			}
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

func isRemoved(server *statepb.Server) bool { return server.GetState() == stateRemoved }

// isSurelyLive reports whether every process saw the server as live at a moment.
func isSurelyLive(server *statepb.Server, moment int64) bool {
	return server.GetState() == stateLive && server.GetSince()+int64(MaxFleetLag/time.Second) <= moment
}

// mayBeLive reports whether some process may have seen the server as live at a moment.
func mayBeLive(server *statepb.Server, moment int64) bool {
	if server.GetBorn() > moment {
		return false
	}
	return server.GetState() == stateLive || server.GetSince()+int64(MaxFleetLag/time.Second) > moment
}

// wasLiveAt reports whether the server was live at a moment by the times in the
// fleet, without MaxFleetLag.
func wasLiveAt(server *statepb.Server, moment int64) bool {
	if server.GetState() == stateLive {
		return server.GetSince() <= moment
	}
	return server.GetBorn() > 0 && server.GetBorn() <= moment && server.GetSince() > moment
}

// wasLiveSince reports whether some process may have seen the server as live at or
// after begin.
func wasLiveSince(server *statepb.Server, begin int64) bool {
	switch server.GetState() {
	case stateLive:
		return true
	case stateDraining, stateRemoved:
		return server.GetSince()+int64(MaxFleetLag/time.Second) > begin
	default:
		return server.GetBorn() > 0 && server.GetSince()+int64(MaxFleetLag/time.Second) > begin
	}
}
