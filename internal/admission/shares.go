package admission

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

const (
	// sharesInterval is the time for which the sorted counts of more than maxFreshAccounts accounts are
	// kept, since sorting visits all accounts.
	sharesInterval   = 10 * time.Millisecond
	maxFreshAccounts = 100
	// minArrivals is the count of arrivals below which an account is forgotten.
	minArrivals = 0.01
	// surplusFactor is the multiple of the median account from which requests are surplus. It is above
	// the variation of accounts that send equally often.
	surplusFactor = 1.5
)

// Shares divides what a gateway admits among accounts by max-min fairness (approximate fair
// dropping).
type Shares struct {
	arrivals map[string]*counter
	// counts holds the accounts' counts in ascending order.
	counts    []float64
	total     float64
	countedAt clock.Boot
}

// RecordArrival counts a request of an account.
func (s *Shares) RecordArrival(account string, now clock.Boot) {
	arrivals := s.arrivals[account]
	if arrivals == nil {
		if s.arrivals == nil {
			s.arrivals = map[string]*counter{}
		}
		arrivals = &counter{}
		s.arrivals[account] = arrivals
	}
	arrivals.add(now)
	s.count(now)
}

// Probability returns the drop probability of an account, at most bound, if the given part of the
// gateway's requests is dropped.
func (s *Shares) Probability(account string, dropped, bound float64, now clock.Boot) float64 {
	return s.above(s.fairLevel(1-dropped), account, bound, now)
}

// Surplus is Probability for the part of an account's requests that is above the multiple of the
// median account.
func (s *Shares) Surplus(account string, dropped, bound float64, now clock.Boot) float64 {
	if len(s.counts) == 0 {
		return 0
	}
	level := max(s.fairLevel(1-dropped), surplusFactor*s.counts[len(s.counts)/2])
	return s.above(level, account, bound, now)
}

// above returns the part of an account's requests that is above a level, at most bound.
func (s *Shares) above(level float64, account string, bound float64, now clock.Boot) float64 {
	arrivals := s.arrivals[account]
	if arrivals == nil {
		return 0
	}
	return min(bound, max(0, 1-level/arrivals.value(now)))
}

// count sorts the accounts by their arrivals.
func (s *Shares) count(now clock.Boot) {
	if len(s.counts) > maxFreshAccounts && now.Sub(s.countedAt) < sharesInterval {
		return
	}
	s.counts, s.total, s.countedAt = s.counts[:0], 0, now
	for account, arrivals := range s.arrivals {
		count := arrivals.value(now)
		if count < minArrivals {
			delete(s.arrivals, account)
			continue
		}
		s.counts = append(s.counts, count)
		s.total += count
	}
	slices.Sort(s.counts)
}

// fairLevel returns the level up to which each count is admitted, so that the admitted parts add up
// to the given part of all.
func (s *Shares) fairLevel(admitted float64) float64 {
	left := admitted * s.total
	for i, count := range s.counts {
		level := left / float64(len(s.counts)-i)
		if count >= level {
			return level
		}
		left -= count
	}
	if len(s.counts) == 0 {
		return 0
	}
	return s.counts[len(s.counts)-1]
}
