package rollout

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// slot is one sample required by a step.
//
// Its states are empty, running, finished (the sample is in memory), replicated
// (another process holds its bytes too), committed (the store binds the slot's place to
// this sample) and acknowledged. A sample that is lost or stale returns the slot to
// empty; a place, once assigned, stays.
type slot struct {
	index uint32
	group uint32
	// running are the running attempts by number.
	running map[uint32]*runningAttempt
	// attempts is the number of attempts started in this term.
	attempts  uint32
	failures  int
	notBefore time.Time
	// wasStale is true once an attempt or sample was dropped as stale.
	wasStale bool

	sample *peerpb.Sample
	// term and attempt identify the attempt that produced the sample.
	term          uint64
	attempt       uint32
	digest        []byte
	oldestVersion uint64
	holders       []string
	replicated    bool
	committed     bool
	delivered     bool

	// place is the place in the trainer's stream plus one; 0 while none is assigned.
	place        uint64
	acknowledged bool
}

// reset empties the slot so that it runs again; its place stays.
func (s *slot) reset() {
	s.sample = nil
	s.term, s.attempt = 0, 0
	s.digest = nil
	s.oldestVersion = 0
	s.holders = nil
	s.replicated = false
	s.committed = false
	s.delivered = false
}

// isEmpty reports whether the slot needs a sample.
func (s *slot) isEmpty() bool {
	return !s.acknowledged && s.sample == nil && !s.isMissing()
}

// isMissing reports whether the store assigns the slot a sample that this process has
// not fetched yet.
func (s *slot) isMissing() bool {
	return s.sample == nil && len(s.digest) > 0
}

// shouldStart reports whether an attempt should start now.
func (s *slot) shouldStart(now time.Time) bool {
	return s.isEmpty() && len(s.running) == 0 && !now.Before(s.notBefore)
}

// acknowledge ends the slot and frees its sample.
func (s *slot) acknowledge() {
	s.reset()
	s.acknowledged = true
}

// isStale reports whether a sample is older than maxStaleness allows.
func isStale(newest, oldest, maxStaleness uint64) bool {
	return newest > oldest && newest-oldest > maxStaleness
}
