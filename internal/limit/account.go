package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// timedDemand is a demand with the time at which it was received or published.
type timedDemand struct {
	demand *peerpb.Demand
	time   time.Time
}

// shares are this entry's shares of an account's limits.
type shares struct {
	rate        float64
	concurrency int64
	tokens      float64
	// hasHeadroom is true while the other entries demand less than the limits.
	hasHeadroom bool
}

// initialLevel returns the level at which a bucket starts. If buckets started full while the limit
// is used up, every entry would admit a burst beyond the limit.
func (s shares) initialLevel(burst float64) float64 {
	if s.hasHeadroom {
		return burst
	}
	return 0
}

// account is the state of one client account at one entry.
type account struct {
	running  int64
	requests bucket
	tokens   bucket

	demandRate    meter
	demandTokens  meter
	demandRunning peak

	// published is the newest demand that this entry has published, history the published demands
	// within the settle time.
	published   *peerpb.Demand
	publishedAt time.Time
	history     []timedDemand
	others      map[string]timedDemand

	// roundingDraw is the random number that decides whether a fractional share is rounded up.
	roundingDraw    float64
	roundingDrawnAt time.Time

	share    shares
	limits   Limits
	sharedAt time.Time
}

// check returns the verdict on a request, given this entry's shares.
func (a *account) check(limits Limits, shares shares, now time.Time) Verdict {
	if limits.Concurrency > 0 && a.running >= shares.concurrency {
		return Verdict{Limit: Concurrency, Wait: minWait}
	}
	if limits.Rate > 0 {
		burst := max(1, shares.rate*rateBurst.Seconds())
		a.requests.fill(now, shares.rate, burst, shares.initialLevel(burst))
		if a.requests.level < 1 {
			return Verdict{Limit: Rate, Wait: clampWait(a.requests.until(1, shares.rate))}
		}
	}
	if limits.Tokens > 0 {
		rate := shares.tokens / secondsPerMinute
		burst := max(1, rate*tokenBurst.Seconds())
		a.tokens.fill(now, rate, burst, shares.initialLevel(burst))
		// A request is admitted at any positive level, which may then become negative, so that a
		// request larger than the burst can run at all.
		if a.tokens.level <= 0 {
			return Verdict{Limit: Tokens, Wait: clampWait(a.tokens.until(1, rate))}
		}
	}
	return Verdict{}
}

// isIdle reports whether the account's state can be discarded.
func (a *account) isIdle(now time.Time) bool {
	if a.running > 0 || len(a.others) > 0 || a.published == nil {
		return false
	}
	return now.Sub(a.demandRunning.last) > demandTTL
}

func (a *account) receive(demand *peerpb.Demand, now time.Time) {
	known, ok := a.others[demand.GetEntry()]
	if ok && known.demand.GetSeq() >= demand.GetSeq() {
		return
	}
	a.others[demand.GetEntry()] = timedDemand{demand: demand, time: now}
}

// shares returns the shares, recomputed at most once every shareInterval.
func (a *account) shares(limits Limits, entries int, settle time.Duration, now time.Time) shares {
	if now.Sub(a.sharedAt) < shareInterval && a.limits == limits {
		return a.share
	}
	a.sharedAt, a.limits = now, limits
	if now.Sub(a.roundingDrawnAt) >= roundingInterval {
		a.roundingDraw, a.roundingDrawnAt = rand.Float64(), now
	}
	for entry, received := range a.others {
		if now.Sub(received.time) > demandTTL {
			delete(a.others, entry)
		}
	}
	settled := a.settledDemand(settle, now)
	rates, running, tokens := a.otherDemands()
	concurrency := Share(float64(limits.Concurrency), settled.GetRunning(), a.published.GetRunning(), running, entries)
	a.share = shares{
		rate:   Share(limits.Rate, settled.GetRate(), a.published.GetRate(), rates, entries),
		tokens: Share(float64(limits.Tokens), settled.GetTokens(), a.published.GetTokens(), tokens, entries),
		hasHeadroom: hasHeadroom(limits.Rate, rates) && hasHeadroom(float64(limits.Tokens), tokens) &&
			hasHeadroom(float64(limits.Concurrency), running),
	}
	a.share.concurrency = roundShare(concurrency, a.roundingDraw, a.share.hasHeadroom)
	return a.share
}

// otherDemands returns the demands received from other entries.
func (a *account) otherDemands() (rates, running, tokens []float64) {
	for _, received := range a.others {
		rates = append(rates, received.demand.GetRate())
		running = append(running, received.demand.GetRunning())
		tokens = append(tokens, received.demand.GetTokens())
	}
	return rates, running, tokens
}

// roundShare rounds a share to whole requests; the probability of rounding up equals the fractional
// part. Since the draw is renewed periodically, the shares of all entries add up to the limit on
// average, even if there are more entries than requests allowed.
func roundShare(share, draw float64, hasHeadroom bool) int64 {
	whole, fraction := math.Modf(share)
	if draw < fraction {
		whole++
	}
	if whole == 0 && hasHeadroom {
		return 1
	}
	return int64(whole)
}

func hasHeadroom(limit float64, others []float64) bool {
	total := 0.0
	for _, demand := range others {
		total += demand
	}
	return limit == 0 || total+1 <= limit
}

// settledDemand returns the part of this entry's demand that counts for its shares: derived from
// the demand's average over the settle time, and at most its present value. An increase counts
// gradually, as the other entries receive it; a decrease counts at once.
//
// If an increase counted at once, many entries could each claim the same part of the limit until
// they have received each other's demands. If an increase counted only after all entries have
// received it, the limit would be unused until then.
func (a *account) settledDemand(settle time.Duration, now time.Time) *peerpb.Demand {
	if a.published == nil {
		return nil
	}
	for len(a.history) > 1 && now.Sub(a.history[1].time) >= settle {
		a.history = a.history[1:]
	}
	var rate, running, tokens float64
	for i, past := range a.history {
		until := now
		if i+1 < len(a.history) {
			until = a.history[i+1].time
		}
		part := float64(until.Sub(later(past.time, now.Add(-settle)))) / float64(settle)
		rate += part * past.demand.GetRate()
		running += part * past.demand.GetRunning()
		tokens += part * past.demand.GetTokens()
	}
	return peerpb.Demand_builder{
		Rate:    ramp(rate, a.published.GetRate()),
		Running: ramp(running, a.published.GetRunning()),
		Tokens:  ramp(tokens, a.published.GetTokens()),
	}.Build()
}

// ramp returns the part of a demand that counts, given the demand's average over the settle time.
// The part grows slowly while few entries have received the demand, then faster.
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

// publish updates the published demand if the demand has changed or is due to be repeated.
func (a *account) publish(self, name string, now time.Time) {
	next := peerpb.Demand_builder{
		Entry:   self,
		Account: name,
		Seq:     uint64(now.UnixMilli()),
		Rate:    a.demandRate.read(now),
		Running: a.demandRunning.read(now),
		Tokens:  a.demandTokens.read(now),
	}.Build()
	if !a.mustPublish(next, now) {
		return
	}
	a.published, a.publishedAt = next, now
	a.history = append(a.history, timedDemand{demand: next, time: now})
}

func (a *account) mustPublish(next *peerpb.Demand, now time.Time) bool {
	if a.demandRunning.last.IsZero() {
		return false
	}
	if a.published == nil || now.Sub(a.publishedAt) >= republishInterval {
		return true
	}
	return isSignificantChange(a.published.GetRate(), next.GetRate()) || isSignificantChange(a.published.GetRunning(), next.GetRunning()) ||
		isSignificantChange(a.published.GetTokens()/secondsPerMinute, next.GetTokens()/secondsPerMinute)
}
