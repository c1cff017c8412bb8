package rollout

import "slices"

const historySize = 256

// history holds the newest values of a series, at most historySize.
type history struct {
	values []float64
	next   int
}

func (h *history) add(value float64) {
	if len(h.values) < historySize {
		h.values = append(h.values, value)
		return
	}
	h.values[h.next] = value
	h.next = (h.next + 1) % historySize
}

// quantile returns the given quantile of the values; 0 if there are none.
func (h *history) quantile(quantile float64) float64 {
	if len(h.values) == 0 {
		return 0
	}
	sorted := slices.Clone(h.values)
	slices.Sort(sorted)
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// residual returns the mean excess of the values above a threshold, and false if there
// are none.
func (h *history) residual(threshold float64) (float64, bool) {
	sum, count := 0.0, 0
	for _, value := range h.values {
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
