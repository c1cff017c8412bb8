package route

const (
	// popularityWindow is the number of requests after which counts are halved.
	popularityWindow = 1024
	// popularityPrior damps the shares while few requests have been counted.
	popularityPrior = 8
)

// Popularity estimates the share of an entry's requests that have a given prefix.
// It holds at most popularityWindow prefixes. The zero value is ready to use.
// It is not safe for concurrent use.
type Popularity struct {
	counts map[uint64]uint32
	total  uint32
}

// Add counts a request and returns the share of its prefix.
func (p *Popularity) Add(prefix uint64) float64 {
	if p.counts == nil {
		p.counts = map[uint64]uint32{}
	}
	if p.total >= popularityWindow {
		p.halve()
	}
	p.counts[prefix]++
	p.total++
	return float64(p.counts[prefix]) / float64(p.total+popularityPrior)
}

func (p *Popularity) halve() {
	p.total = 0
	for prefix, count := range p.counts {
		if count /= 2; count == 0 {
			delete(p.counts, prefix)
			continue
		}
		p.counts[prefix] = count
		p.total += count
	}
}
