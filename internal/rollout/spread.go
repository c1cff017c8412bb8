package rollout

import "slices"

const spreadSize = 256

// spread holds the newest values of a figure, at most spreadSize.
type spread struct {
	values []float64
	next   int
}

func (s *spread) add(value float64) {
	if len(s.values) < spreadSize {
		s.values = append(s.values, value)
		return
	}
	s.values[s.next] = value
	s.next = (s.next + 1) % spreadSize
}

// quantile returns the value below which a share of the values lies; 0 if there are none.
func (s *spread) quantile(share float64) float64 {
	if len(s.values) == 0 {
		return 0
	}
	sorted := slices.Clone(s.values)
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)-1))]
}

// residual returns by how much the values above a threshold exceed it on
// average, and false if none does.
func (s *spread) residual(threshold float64) (float64, bool) {
	sum, count := 0.0, 0
	for _, value := range s.values {
		if value > threshold {
			sum += value - threshold
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}
