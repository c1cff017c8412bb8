package rollout

import "slices"

const historySize = 256

// history holds the newest values of a series, at most historySize.
type history struct {
	values []float64
	next   int
}

func (s *history) add(value float64) {
	if len(s.values) < historySize {
		s.values = append(s.values, value)
		return
	}
	s.values[s.next] = value
	s.next = (s.next + 1) % historySize
}

// quantile returns the given quantile of the values; 0 if there are none.
func (s *history) quantile(quantile float64) float64 {
	if len(s.values) == 0 {
		return 0
	}
	sorted := slices.Clone(s.values)
	slices.Sort(sorted)
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// residual returns the mean excess of the values above a threshold, and false if there
// are none.
func (s *history) residual(threshold float64) (float64, bool) {
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
