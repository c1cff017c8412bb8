package duty

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Rank returns the position of a process among the candidates for a duty, from 0. Each duty has its
// own order (rendezvous hashing), so duties are spread over the candidates, and few duties move
// when a candidate joins or leaves. A process that is not a candidate gets the number of
// candidates.
func Rank(name, process string, candidates []string) int {
	own := rankScore(name, process)
	rank := 0
	isCandidate := false
	for _, candidate := range candidates {
		isCandidate = isCandidate || candidate == process
		if rankScore(name, candidate) > own {
			rank++
		}
	}
	if !isCandidate {
		return len(candidates)
	}
	return rank
}

// Position returns the position of a process in an order of candidates, from 0. A process
// that is not a candidate gets the number of candidates.
func Position(process string, order []string) int {
	position := slices.Index(order, process)
	if position < 0 {
		return len(order)
	}
	return position
}

// Candidate is a process that may perform a duty.
type Candidate struct {
	Name string
	// Cores is the number of CPU cores that the process may use, 0 if unknown.
	Cores float64
}

// OrderBySize returns the candidates for a duty in order; candidates with at least half of the CPU
// time of the largest come first.
//
// A duty uses the CPU time of a single process. On a small process its work waits while larger
// processes are idle.
func OrderBySize(name string, candidates []Candidate) []string {
	var largest float64
	for _, candidate := range candidates {
		largest = max(largest, candidate.cores())
	}
	var large, small []string
	for _, candidate := range candidates {
		if candidate.cores() >= largest/2 {
			large = append(large, candidate.Name)
		} else {
			small = append(small, candidate.Name)
		}
	}
	return append(Order(name, large), Order(name, small)...)
}

// cores returns the candidate's cores; an unknown number counts as one core.
func (c Candidate) cores() float64 {
	if c.Cores <= 0 {
		return 1
	}
	return c.Cores
}

// Order returns the candidates for a duty sorted by rank.
func Order(name string, candidates []string) []string {
	scores := make(map[string]uint64, len(candidates))
	for _, candidate := range candidates {
		scores[candidate] = rankScore(name, candidate)
	}
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

func rankScore(name, process string) uint64 {
	sum := sha256.Sum256([]byte(name + "\x00" + process))
	return binary.BigEndian.Uint64(sum[:8])
}
