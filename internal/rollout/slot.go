package rollout

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// slot is one sample wanted by a step.
//
// It goes from empty to running, finished (a sample in memory), kept (its bytes
// are held by another process too), fixed (the store binds its place to this
// sample) and acknowledged. A sample that is lost or stale takes the slot back
// to empty; its place, once given, stays.
type slot struct {
	index uint32
	group uint32
	// runs are the running attempts by number.
	runs map[uint32]*run
	// attempts is the number of attempts started in this term.
	attempts  uint32
	failures  int
	notBefore time.Time
	// stale is true once an attempt or sample was dropped as stale.
	stale bool

	sample *peerpb.Sample
	// term and attempt that gave the sample.
	term    uint64
	attempt uint32
	digest  []byte
	oldest  uint64
	holders []string
	kept    bool
	fixed   bool
	handed  bool

	// place in the trainer's stream plus one; 0 while it has none.
	place        uint64
	acknowledged bool
}

// drop empties the slot so that it runs again; its place stays.
func (s *slot) drop() {
	s.sample = nil
	s.term, s.attempt = 0, 0
	s.digest = nil
	s.oldest = 0
	s.holders = nil
	s.kept = false
	s.fixed = false
	s.handed = false
}

// isEmpty reports whether the slot wants a sample.
func (s *slot) isEmpty() bool {
	return !s.acknowledged && s.sample == nil && !s.isMissing()
}

// isMissing reports whether the store binds a sample to the slot whose bytes
// this process hasn't fetched yet.
func (s *slot) isMissing() bool {
	return s.sample == nil && len(s.digest) > 0
}

// wants reports whether an attempt should start now.
func (s *slot) wants(now time.Time) bool {
	return s.isEmpty() && len(s.runs) == 0 && !now.Before(s.notBefore)
}

// acknowledge ends the slot and frees its bytes.
func (s *slot) acknowledge() {
	s.drop()
	s.acknowledged = true
}

// lags reports whether a sample is older than the bound allows.
func lags(newest, oldest, bound uint64) bool {
	return newest > oldest && newest-oldest > bound
}
