package poison

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// maxCrashes is the number of crashed servers after which a request is quarantined. A request that only happened
	// to run on a server that crashed rarely meets a second crash before a server answers it.
	maxCrashes = 3
	// minSharedCrashes is the number of crashes after which other gateways are told while the request still runs. Most
	// requests are answered by another server after their first crash, and cost no write.
	minSharedCrashes = 2
	// retention is how long a suspect is remembered after its last crash.
	retention = 10 * time.Minute
)

// trialDelays are the delays before the trials of a quarantined request, each counted from the last change of the
// suspect. In a trial one copy is sent to one server; an answer ends the quarantine. Without trials, a request that
// crashed nothing but was running on three servers that did would stay refused.
var trialDelays = [...]time.Duration{4 * time.Second, 2 * time.Minute}

// suspect is a request under which servers have crashed. It does no I/O.
type suspect struct {
	// servers are the servers that crashed, of which the store knows the first stored ones.
	servers []string
	stored  int
	trials  uint32
	// changedAt is when this process learned of the last crash or trial.
	changedAt clock.Boot
	// revision and lease are those of the suspect's key in the store; 0 if it has none.
	revision uint64
	lease    uint64
	// isUnanswered is true if a copy has ended here without an answer.
	isUnanswered bool
	// isCleared is true once a server has answered a copy.
	isCleared bool
}

// recordCrash adds a crashed server, and reports whether it is new.
func (s *suspect) recordCrash(server string, now clock.Boot) bool {
	if s.isCleared {
		// What was known before the answer no longer counts, though the store still holds it.
		s.servers, s.stored, s.trials, s.isCleared = nil, 0, 0, false
	}
	if slices.Contains(s.servers, server) {
		return false
	}
	s.servers = append(s.servers, server)
	s.changedAt = now
	return true
}

// merge adds what the store holds. The stored servers come first.
func (s *suspect) merge(state *statepb.Suspect, revision, lease uint64, now clock.Boot) {
	servers := slices.Clone(state.GetServers())
	for _, server := range s.servers {
		if !slices.Contains(servers, server) {
			servers = append(servers, server)
		}
	}
	if len(servers) != len(s.servers) || state.GetTrials() != s.trials {
		s.changedAt = now
	}
	s.servers, s.stored = servers, len(state.GetServers())
	s.trials = state.GetTrials()
	s.revision, s.lease = revision, lease
}

// forgetStored drops what the store held, after its key was removed. It reports whether nothing is left.
func (s *suspect) forgetStored() bool {
	s.servers = s.servers[s.stored:]
	s.stored, s.trials, s.revision, s.lease = 0, 0, 0, 0
	s.isCleared = false
	return len(s.servers) == 0
}

// isQuarantined reports whether copies are refused.
func (s *suspect) isQuarantined() bool { return !s.isCleared && len(s.servers) >= maxCrashes }

// untilTrial returns the time until the next trial of a quarantined request; 0 means that it is due.
func (s *suspect) untilTrial(now clock.Boot) time.Duration {
	delay := retention
	if int(s.trials) < len(trialDelays) {
		delay = trialDelays[s.trials]
	}
	return max(0, s.changedAt.Add(delay).Sub(now))
}

// isOlder reports whether this suspect is to be forgotten before another one.
func (s *suspect) isOlder(other *suspect) bool {
	if s.isQuarantined() != other.isQuarantined() {
		return other.isQuarantined()
	}
	return s.changedAt < other.changedAt
}

// needsWrite reports whether the store must learn of a crash or of the end of the suspicion.
func (s *suspect) needsWrite() bool {
	if s.isCleared {
		return s.revision != 0
	}
	unstored := len(s.servers) - s.stored
	return unstored > 0 && (s.revision != 0 || s.isUnanswered || unstored >= minSharedCrashes)
}

// state returns the stored form, with a number of trials.
func (s *suspect) state(trials uint32) *statepb.Suspect {
	return statepb.Suspect_builder{Servers: s.servers, Trials: trials}.Build()
}
