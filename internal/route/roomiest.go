package route

// Candidate is a server that may run a generation.
type Candidate struct {
	Server *Server
	// Slowness is the time that it takes for one event, in that of the fastest.
	Slowness float64
}

// tooSlow is the slowness from which a server gets new work only where no other
// has a free slot. Samplers of one pool differ by less than half; one that a
// fault has slowed takes three times as long and more.
const tooSlow = 1.8

// IsSlow reports whether a server's slowness speaks against new work for it.
func IsSlow(slowness float64) bool { return slowness > tooSlow }

// LeastUtilized returns the open server with the most free slots for its own part,
// slow and suspected ones last and those of the zone first among equals; nil if
// none has a free slot.
//
// A generation that waits at a server can't go elsewhere any more, while one
// that waits here takes the first slot that any server frees; so no server is
// given more than it runs at once.
func LeastUtilized(candidates []Candidate, zone string) *Server {
	var best Candidate
	for _, candidate := range candidates {
		server := candidate.Server
		if server.standing == Closed || server.own >= server.Slots() {
			continue
		}
		if best.Server == nil || isRoomier(candidate, best, zone) {
			best = candidate
		}
	}
	return best.Server
}

func isRoomier(one, other Candidate, zone string) bool {
	if one.Server.standing != other.Server.standing {
		return one.Server.standing < other.Server.standing
	}
	if isSlow, otherIsSlow := IsSlow(one.Slowness), IsSlow(other.Slowness); isSlow != otherIsSlow {
		return otherIsSlow
	}
	// The part of the slots in use, compared without division.
	used, otherUsed := one.Server.own*other.Server.Slots(), other.Server.own*one.Server.Slots()
	if used != otherUsed {
		return used < otherUsed
	}
	return one.Server.zone == zone && other.Server.zone != zone
}
