package duty

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Rank returns the place of a process among the candidates for a duty, from 0.
// Each duty has an order of its own (rendezvous hashing), so duties spread and
// a candidate that comes or goes moves few of them. A process that is not a
// candidate gets the number of candidates.
func Rank(name, process string, candidates []string) int {
	own := weight(name, process)
	rank := 0
	known := false
	for _, candidate := range candidates {
		known = known || candidate == process
		if weight(name, candidate) > own {
			rank++
		}
	}
	if !known {
		return len(candidates)
	}
	return rank
}

// Order returns the candidates for a duty by their rank.
func Order(name string, candidates []string) []string {
	weights := make(map[string]uint64, len(candidates))
	for _, candidate := range candidates {
		weights[candidate] = weight(name, candidate)
	}
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
	return order
}

func weight(name, process string) uint64 {
	sum := sha256.Sum256([]byte(name + "\x00" + process))
	return binary.BigEndian.Uint64(sum[:8])
}
