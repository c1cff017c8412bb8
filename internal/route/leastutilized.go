package route

import "time"

// Candidate is a server that may run a generation.
type Candidate struct {
	Server *Server
	// Slowness is the server's time per event relative to the fastest server's.
	Slowness float64
	// Elsewhere is the number of generations that other processes run at the server, as far as
	// they have reported it; 0 if the pool isn't shared.
	Elsewhere int64
	// IsWithinPart reports whether this process runs less there than the model's part of the server;
	// false for all if the pool isn't shared.
	IsWithinPart bool
	// Rank orders servers that are equal in all else, highest first; 0 for all if the pool isn't
	// shared.
	Rank uint64
	// Gap is the expected interval between events, by RoundGap, in a pool whose servers differ lastingly; otherwise 0.
	Gap time.Duration
}

// HashFraction returns a number between 0 and 1 that identifies the server.
func (s *Server) HashFraction() float64 { return float64(mix(s.hash, 1)>>11) / (1 << 53) }

// RankFor returns the rank of the server for a key (rendezvous hashing). Processes that place
// generations of different models by reports of the same age begin on different servers.
func (s *Server) RankFor(key uint64) uint64 { return mix(s.hash, key) }

// running returns the number of generations that are known to run at the server.
func (c Candidate) running() int64 { return c.Server.inflight + c.Elsewhere }

// maxSlowness is the slowness above which a server gets new work only if no other server has a free
// slot. Healthy samplers of a pool differ by less than half; a sampler slowed by a fault takes at
// least three times as long.
const maxSlowness = 1.8

// IsSlow reports whether other servers are preferred over a server of this slowness for new work.
func IsSlow(slowness float64) bool { return slowness > maxSlowness }

// LeastUtilized returns the server with the smallest share of its slots in use, or nil
// if none has a free slot. Slow and suspect servers come last, and servers where the model uses its
// part of a shared pool's slots come after others; then a smaller gap comes before the share in use.
// Among equals, those of the zone come first, then those of higher rank.
//
// A generation queued at a server can't move to another server, while a generation queued in this
// process gets the first slot that becomes free at any server. So no server gets more generations
// than it has slots.
func LeastUtilized(candidates []Candidate, zone string) *Server {
	var best Candidate
	for _, candidate := range candidates {
		server := candidate.Server
		if server.eligibility == Closed || candidate.running() >= server.Slots() {
			continue
		}
		if best.Server == nil || isPreferred(candidate, best, zone) {
			best = candidate
		}
	}
	return best.Server
}

func isPreferred(a, b Candidate, zone string) bool {
	if a.Server.eligibility != b.Server.eligibility {
		return a.Server.eligibility < b.Server.eligibility
	}
	if aIsSlow, bIsSlow := IsSlow(a.Slowness), IsSlow(b.Slowness); aIsSlow != bIsSlow {
		return bIsSlow
	}
	if a.IsWithinPart != b.IsWithinPart {
		return a.IsWithinPart
	}
	if order := compareGaps(a, b); order != 0 {
		return order < 0
	}
	// Shares of the slots in use, cross-multiplied to avoid division.
	aUsed, bUsed := a.running()*b.Server.Slots(), b.running()*a.Server.Slots()
	if aUsed != bUsed {
		return aUsed < bUsed
	}
	if aIsLocal, bIsLocal := a.Server.zone == zone, b.Server.zone == zone; aIsLocal != bIsLocal {
		return aIsLocal
	}
	return a.Rank > b.Rank
}
