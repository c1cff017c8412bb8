package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// heard is a demand of another entry and when it came.
type heard struct {
	demand *peerpb.Demand
	time   time.Time
}

// shares are this entry's shares of the limits.
type shares struct {
	rate        float64
	concurrency int64
	tokens      float64
	// isSpare is true while the others demand less than the limits.
	isSpare bool
}

// start returns the level at which a bucket starts. One that started full at
// each of many entries would let a used-up limit through once at every entry.
func (s shares) start(burst float64) float64 {
	if s.isSpare {
		return burst
	}
	return 0
}

// account is one account at one entry.
type account struct {
	running  int64
	requests bucket
	tokens   bucket

	demandRate    meter
	demandTokens  meter
	demandRunning peak

	// told is the newest own demand, and earlier those of the settle time before.
	told    *peerpb.Demand
	toldAt  time.Time
	earlier []heard
	others  map[string]heard

	// draw is the lot for the fraction of a unit, drawn at drawnAt.
	draw    float64
	drawnAt time.Time

	share    shares
	limits   Limits
	sharedAt time.Time
}

// check decides on one request with the shares of this entry.
func (a *account) check(limits Limits, shares shares, now time.Time) Verdict {
	if limits.Concurrency > 0 && a.running >= shares.concurrency {
		return Verdict{Limit: Concurrency, Wait: leastWait}
	}
	if limits.Rate > 0 {
		burst := max(1, shares.rate*burst.Seconds())
		a.requests.fill(now, shares.rate, burst, shares.start(burst))
		if a.requests.level < 1 {
			return Verdict{Limit: Rate, Wait: clampWait(a.requests.until(1, shares.rate))}
		}
	}
	if limits.Tokens > 0 {
		rate := shares.tokens / minute
		burst := max(1, rate*tokenBurst.Seconds())
		a.tokens.fill(now, rate, burst, shares.start(burst))
		// A request is admitted on any credit and may leave a debt, so that
		// one that needs more than the burst holds can run at all.
		if a.tokens.level <= 0 {
			return Verdict{Limit: Tokens, Wait: clampWait(a.tokens.until(1, rate))}
		}
	}
	return Verdict{}
}

// isIdle reports whether the account has nothing that is worth keeping.
func (a *account) isIdle(now time.Time) bool {
	if a.running > 0 || len(a.others) > 0 || a.told == nil {
		return false
	}
	return now.Sub(a.demandRunning.last) > forget
}

func (a *account) learn(demand *peerpb.Demand, now time.Time) {
	known, ok := a.others[demand.GetEntry()]
	if ok && known.demand.GetSeq() >= demand.GetSeq() {
		return
	}
	a.others[demand.GetEntry()] = heard{demand: demand, time: now}
}

// shares returns the shares, worked out at most every shareAge.
func (a *account) shares(limits Limits, entries int, settle time.Duration, now time.Time) shares {
	if now.Sub(a.sharedAt) < shareAge && a.limits == limits {
		return a.share
	}
	a.sharedAt, a.limits = now, limits
	if now.Sub(a.drawnAt) >= drawAge {
		a.draw, a.drawnAt = rand.Float64(), now
	}
	for entry, one := range a.others {
		if now.Sub(one.time) > forget {
			delete(a.others, entry)
		}
	}
	settled := a.settled(settle, now)
	rates, running, tokens := a.demands()
	concurrency := Share(float64(limits.Concurrency), settled.GetRunning(), a.told.GetRunning(), running, entries)
	a.share = shares{
		rate:   Share(limits.Rate, settled.GetRate(), a.told.GetRate(), rates, entries),
		tokens: Share(float64(limits.Tokens), settled.GetTokens(), a.told.GetTokens(), tokens, entries),
		isSpare: hasSpare(limits.Rate, rates) && hasSpare(float64(limits.Tokens), tokens) &&
			hasSpare(float64(limits.Concurrency), running),
	}
	a.share.concurrency = units(concurrency, a.draw, a.share.isSpare)
	return a.share
}

// demands returns what the other entries have told.
func (a *account) demands() (rates, running, tokens []float64) {
	for _, one := range a.others {
		rates = append(rates, one.demand.GetRate())
		running = append(running, one.demand.GetRunning())
		tokens = append(tokens, one.demand.GetTokens())
	}
	return rates, running, tokens
}

// units turns a share into whole requests. The fraction is a lot drawn anew
// from time to time, so that the units of all entries add up to the limit on
// average also where there are more entries than units.
func units(share, draw float64, isSpare bool) int64 {
	whole, fraction := math.Modf(share)
	if draw < fraction {
		whole++
	}
	if whole == 0 && isSpare {
		return 1
	}
	return int64(whole)
}

func hasSpare(limit float64, others []float64) bool {
	total := 0.0
	for _, demand := range others {
		total += demand
	}
	return limit == 0 || total+1 <= limit
}

// settled returns the part of the own demand that counts: its average over the
// settle time, and no more than it is now. A rise counts bit by bit, as the
// other entries hear of it; a fall counts at once.
//
// A rise that counted at once would let each of many entries take what one of
// them may, until each has heard the others; one that waited until all have
// heard it would leave the limit unused for that long.
func (a *account) settled(settle time.Duration, now time.Time) *peerpb.Demand {
	if a.told == nil {
		return nil
	}
	for len(a.earlier) > 1 && now.Sub(a.earlier[1].time) >= settle {
		a.earlier = a.earlier[1:]
	}
	var rate, running, tokens float64
	for i, one := range a.earlier {
		until := now
		if i+1 < len(a.earlier) {
			until = a.earlier[i+1].time
		}
		part := float64(until.Sub(later(one.time, now.Add(-settle)))) / float64(settle)
		rate += part * one.demand.GetRate()
		running += part * one.demand.GetRunning()
		tokens += part * one.demand.GetTokens()
	}
	return peerpb.Demand_builder{
		Rate:    ramp(rate, a.told.GetRate()),
		Running: ramp(running, a.told.GetRunning()),
		Tokens:  ramp(tokens, a.told.GetTokens()),
	}.Build()
}

// ramp returns the part of a demand that counts by its average over the settle
// time: slowly at first, while the others have heard nothing, then faster.
func ramp(average, now float64) float64 {
	if average >= now {
		return now
	}
	return average * average / now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tell renews the own demand if it has changed or was told long ago.
func (a *account) tell(self, name string, now time.Time) {
	next := peerpb.Demand_builder{
		Entry:   self,
		Account: name,
		Seq:     uint64(now.UnixMilli()),
		Rate:    a.demandRate.read(now),
		Running: a.demandRunning.read(now),
		Tokens:  a.demandTokens.read(now),
	}.Build()
	if !a.mustTell(next, now) {
		return
	}
	a.told, a.toldAt = next, now
	a.earlier = append(a.earlier, heard{demand: next, time: now})
}

func (a *account) mustTell(next *peerpb.Demand, now time.Time) bool {
	if a.demandRunning.last.IsZero() {
		return false
	}
	if a.told == nil || now.Sub(a.toldAt) >= repeatAfter {
		return true
	}
	return isChange(a.told.GetRate(), next.GetRate()) || isChange(a.told.GetRunning(), next.GetRunning()) ||
		isChange(a.told.GetTokens()/minute, next.GetTokens()/minute)
}
