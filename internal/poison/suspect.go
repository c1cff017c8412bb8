package poison

import (
	"slices"
	"strconv"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// maxCrashes is the number of crashed servers after which a request is quarantined. A short request that only
	// happened to run on a crashed server is answered by another one long before its third crash.
	maxCrashes = 3
	// minSharedCrashes is the number of crashes after which other gateways are told while the request still runs. Most
	// requests are answered by another server after their first crash, and cost no write.
	minSharedCrashes = 2
	// retention is how long a suspect is remembered after its last stored crash; trials don't extend it.
	retention = 10 * time.Minute
	// reportDelay is how much later than its own crashes a process may learn of those that another one has seen.
	reportDelay = time.Second
	// watchTimeout is how long the watch may take to show a write: many times its usual delay.
	watchTimeout = time.Second
	// trialRetryDelay is the delay before a trial that could not be claimed is due again. It is the Retry-After of
	// copies that are refused while another copy claims the trial.
	trialRetryDelay = time.Second
)

// trialDelay is the delay before a trial, counted from the last change of the suspect.
type trialDelay struct {
	min time.Duration
	// spread is the range from which each request has its own part. Requests that are quarantined by the same crashes
	// would be on trial at the same time otherwise, and the one that crashes its server would take down the others again.
	spread time.Duration
}

// trialDelays are the delays before the trials of a quarantined request. In a trial one copy is sent to one server; an
// answer ends the quarantine. Without trials, a request that crashed nothing but was running on three servers that did
// would stay refused.
var trialDelays = [...]trialDelay{
	{min: 2 * time.Second, spread: 2 * time.Second},
	{min: 12 * time.Second, spread: 6 * time.Second},
}

// of returns the delay of the request with a fingerprint, which is the same at all gateways.
func (d trialDelay) of(fingerprint string) time.Duration {
	const digits, base = 4, 16
	part, err := strconv.ParseUint(fingerprint[:min(digits, len(fingerprint))], base, digits*4)
	if err != nil {
		return d.min
	}
	return d.min + d.spread*time.Duration(part)/(1<<(digits*4))
}

// suspect is a request under which servers have crashed. It does no I/O.
type suspect struct {
	fingerprint string
	// servers are the crashed servers that count.
	servers []string
	// answered are the crashed servers that no longer count, because a server has answered a copy since.
	answered []string
	// explained is the number of servers whose crash another suspect explains.
	explained int
	// learnedAt maps each server to the time when this process learned of its crash.
	learnedAt map[string]clock.Boot
	trials    uint32
	// changedAt is when this process learned of the last crash or trial.
	changedAt clock.Boot
	// claimFailedAt is when this process last failed to claim a trial; isClaiming is true while it claims one.
	claimFailedAt clock.Boot
	isClaiming    bool
	// isUnanswered is true once a copy under which a server crashed has ended here without an answer.
	isUnanswered bool

	// stored are the servers that the store holds. revision and lease are those of the suspect's key; 0 if it has none.
	stored   []string
	revision uint64
	lease    uint64
	// isWriting is true from the first attempt to write the key until its revision is known. writtenAt is when the store
	// confirmed the write, and 0 before.
	isWriting bool
	writtenAt clock.Boot
}

// recordCrash adds a crashed server, unless its crash is known already. A copy that was sent to the server after that
// crash has met a later start of it, which this process can't tell from the earlier one yet.
func (s *suspect) recordCrash(server string, sentAt, now clock.Boot) bool {
	name := server
	for starts := 2; slices.Contains(s.servers, name); starts++ {
		if sentAt <= s.learnedAt[name] {
			return false
		}
		name = server + "#" + strconv.Itoa(starts)
	}
	s.answered = slices.DeleteFunc(s.answered, func(answered string) bool { return answered == name })
	s.servers = append(s.servers, name)
	s.learn(now)
	return true
}

// learn sets the times of servers that are new.
func (s *suspect) learn(now clock.Boot) {
	if s.learnedAt == nil {
		s.learnedAt = map[string]clock.Boot{}
	}
	for _, server := range s.servers {
		if _, isKnown := s.learnedAt[server]; !isKnown {
			s.learnedAt[server] = now
			s.changedAt = now
		}
	}
}

// recordAnswer records that a server has answered a copy: the crashes so far don't count any more.
func (s *suspect) recordAnswer() {
	s.answered = append(s.answered, s.servers...)
	s.servers, s.trials = nil, 0
}

// merge sets what the store holds, and adds it to the crashes that count.
func (s *suspect) merge(state *statepb.Suspect, revision, lease uint64, now clock.Boot) {
	servers := difference(state.GetServers(), s.answered)
	s.answered = intersection(s.answered, state.GetServers())
	for _, server := range difference(s.servers, s.stored) {
		if !slices.Contains(servers, server) {
			servers = append(servers, server)
		}
	}
	if len(s.answered) == 0 && state.GetTrials() != s.trials {
		s.trials, s.changedAt = state.GetTrials(), now
	}
	s.servers, s.stored = servers, state.GetServers()
	s.revision, s.lease = revision, lease
	s.isWriting, s.writtenAt = false, 0
	s.learn(now)
}

// removeStored drops what the store held, after the key was removed.
func (s *suspect) removeStored() {
	s.servers = difference(s.servers, s.stored)
	s.stored, s.answered, s.trials = nil, nil, 0
	s.revision, s.lease = 0, 0
	s.isWriting, s.writtenAt = false, 0
}

// difference returns the names that are not among others.
func difference(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}

// intersection returns the names that are among others.
func intersection(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !slices.Contains(others, name) })
}

// isQuarantined reports whether copies are refused.
func (s *suspect) isQuarantined() bool { return len(s.servers)-s.explained >= maxCrashes }

// explain sets how many of the crashes other suspects explain: those of servers that also crashed under a likelier cause.
//
// A request that crashes its servers takes down all others that run there. Those with long runs, such as items of a
// batch, would be quarantined with it.
func explain(suspects map[string]*suspect) {
	causes := map[string][]*suspect{}
	for _, each := range suspects {
		if len(each.servers) < maxCrashes {
			continue
		}
		for _, server := range each.servers {
			causes[server] = append(causes[server], each)
		}
	}
	for _, each := range suspects {
		each.explained = 0
		for _, server := range each.servers {
			if slices.ContainsFunc(causes[server], each.isLessLikelyThan) {
				each.explained++
			}
		}
	}
}

// isLessLikelyThan reports whether another suspect is a likelier cause of the crashes that both have: it has more crashes,
// and had maxCrashes of them no later. A quarantined request isn't freed by one that collects crashes afterwards.
func (s *suspect) isLessLikelyThan(other *suspect) bool {
	if len(other.servers) <= len(s.servers) {
		return false
	}
	return len(s.servers) < maxCrashes || other.limitReachedAt() <= s.limitReachedAt().Add(reportDelay)
}

// limitReachedAt returns when this process learned of the last of the first maxCrashes crashes.
func (s *suspect) limitReachedAt() clock.Boot {
	times := make([]clock.Boot, 0, len(s.servers))
	for _, server := range s.servers {
		times = append(times, s.learnedAt[server])
	}
	slices.Sort(times)
	return times[maxCrashes-1]
}

// isOver reports whether nothing is left to remember.
func (s *suspect) isOver(now clock.Boot) bool {
	if len(s.servers) == 0 && s.revision == 0 && !s.isWriting {
		return true
	}
	return now.Sub(s.changedAt) > retention+time.Minute
}

// untilTrial returns the time until the next trial of a quarantined request; 0 means that it is due.
func (s *suspect) untilTrial(now clock.Boot) time.Duration {
	if s.isClaiming {
		return trialRetryDelay
	}
	delay := retention
	if int(s.trials) < len(trialDelays) {
		delay = trialDelays[s.trials].of(s.fingerprint)
	}
	due := s.changedAt.Add(delay)
	if s.claimFailedAt != 0 {
		due = max(due, s.claimFailedAt.Add(trialRetryDelay))
	}
	return max(0, due.Sub(now))
}

// isOlder reports whether this suspect is to be forgotten before another one.
func (s *suspect) isOlder(other *suspect) bool {
	if s.isQuarantined() != other.isQuarantined() {
		return other.isQuarantined()
	}
	return s.changedAt < other.changedAt
}

// isAwaited reports whether the watch is about to show the result of a write.
func (s *suspect) isAwaited(now clock.Boot) bool {
	return s.writtenAt != 0 && now.Sub(s.writtenAt) < watchTimeout
}

// needsWrite reports whether the store must learn of a crash or of an answer.
func (s *suspect) needsWrite() bool {
	if s.revision != 0 {
		return !slices.Equal(s.servers, s.stored)
	}
	return len(s.servers) >= minSharedCrashes || len(s.servers) > 0 && s.isUnanswered
}

// state returns the stored form, with a number of trials.
func (s *suspect) state(trials uint32) *statepb.Suspect {
	return statepb.Suspect_builder{Servers: s.servers, Trials: trials}.Build()
}
