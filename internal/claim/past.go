package claim

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// MaxFleetLag is how long after a change a process may still use the fleet before it,
// clocks that differ included.
//
// A home that was started again without its memory runs no claims for so long:
// with a fleet that lacks the newest server it would not ask the witness that
// kept a claim.
const MaxFleetLag = 10 * time.Second

// past is a server that may have been a claim's home lately.
type past struct {
	home string
	dead bool
	// witnesses are the servers of which one kept the claim beside the home.
	witnesses []past
	// alone is true if the home may have run the claim without a witness.
	alone bool
}

// history finds the past homes of one claim.
type history struct {
	claim string
	fleet *statepb.Fleet
	// ranked are all servers that may have kept the claim.
	ranked []*statepb.Server
	found  []past
}

// newHistory looks back from now by window. It goes through the moments at
// which the fleet may have changed; at each, every server that may have been
// the home is a past home.
func newHistory(claim string, fleet *statepb.Fleet, now time.Time, window time.Duration) *history {
	begin := now.Add(-window).Unix()
	h := &history{claim: claim, fleet: fleet}
	h.ranked = rank(claim, fleet, func(server *statepb.Server) bool { return wasLiveSince(server, begin) })
	for _, moment := range moments(h.ranked, begin, now.Unix()) {
		h.addMoment(moment)
	}
	return h
}

func (h *history) addMoment(moment int64) {
	homes, _ := h.possible(moment, func(*statepb.Server) bool { return true })
	for _, home := range homes {
		h.add(h.pastAt(home, moment))
	}
}

// pastAt returns what may have kept a claim at a moment if home was its home.
func (h *history) pastAt(home *statepb.Server, moment int64) past {
	isOtherZone := func(server *statepb.Server) bool { return server.GetZone() != home.GetZone() }
	isOther := func(server *statepb.Server) bool { return server.GetId() != home.GetId() }
	witnesses, isSure := h.possible(moment, isOtherZone)
	if !isSure {
		sameZone, _ := h.possible(moment, isOther)
		witnesses = append(witnesses, sameZone...)
	}
	found := past{home: home.GetId(), dead: isDead(home), alone: h.isAlone(home, moment)}
	for _, witness := range witnesses {
		found.witnesses = append(found.witnesses, past{home: witness.GetId(), dead: isDead(witness)})
	}
	return found
}

// possible returns the servers that match and may have ranked first among them
// at a moment, and whether one of them surely was there.
func (h *history) possible(moment int64, matches func(*statepb.Server) bool) ([]*statepb.Server, bool) {
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

// isAlone reports whether home was the pool's only server at a moment.
func (h *history) isAlone(home *statepb.Server, moment int64) bool {
	return !slices.ContainsFunc(h.ranked, func(other *statepb.Server) bool {
		return other.GetId() != home.GetId() && wasLiveAt(other, moment)
	})
}

// add merges a past home with what is known of it.
func (h *history) add(added past) {
	for i := range h.found {
		if h.found[i].home == added.home {
			h.found[i].alone = h.found[i].alone || added.alone
			h.found[i].addWitnesses(added.witnesses)
			return
		}
	}
	h.found = append(h.found, added)
}

func (p *past) addWitnesses(added []past) {
	for _, witness := range added {
		isKnown := func(known past) bool { return known.home == witness.home }
		if !slices.ContainsFunc(p.witnesses, isKnown) {
			p.witnesses = append(p.witnesses, witness)
		}
	}
}

// moments returns the times at which to look: the begin of the window and each
// time in it at which a server may have come into use or gone out of it.
func moments(servers []*statepb.Server, begin, now int64) []int64 {
	found := []int64{begin}
	lag := int64(MaxFleetLag / time.Second)
	for _, server := range servers {
		for _, at := range []int64{server.GetBorn(), server.GetSince(), server.GetBorn() + lag, server.GetSince() + lag} {
			if at > begin && at <= now {
				found = append(found, at)
			}
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

func isDead(server *statepb.Server) bool { return server.GetState() == stateRemoved }

// isSurelyLive reports whether every process used the server at a moment.
func isSurelyLive(server *statepb.Server, moment int64) bool {
	return server.GetState() == stateLive && server.GetSince()+int64(MaxFleetLag/time.Second) <= moment
}

// mayBeLive reports whether some process may have used the server at a moment.
func mayBeLive(server *statepb.Server, moment int64) bool {
	if server.GetBorn() > moment {
		return false
	}
	return server.GetState() == stateLive || server.GetSince()+int64(MaxFleetLag/time.Second) > moment
}

// wasLiveAt reports whether the server was live at a moment by the fleet's own times.
func wasLiveAt(server *statepb.Server, moment int64) bool {
	if server.GetState() == stateLive {
		return server.GetSince() <= moment
	}
	return server.GetBorn() > 0 && server.GetBorn() <= moment && server.GetSince() > moment
}

// wasLiveSince reports whether the server may have been live at or after begin.
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
