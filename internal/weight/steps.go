package weight

import "sync"

// Step is a trainer's step that is open.
type Step struct {
	Model string
	// Oldest version that may make any of its tokens.
	Oldest uint64
	// Runs is the number of its generations.
	Runs int
}

// Steps knows the versions that trainers have named and the steps that are open,
// and says what they ask of samplers. Its zero value knows nothing. It is safe
// for concurrent use.
type Steps struct {
	mutex  sync.Mutex
	named  map[string]uint64
	open   map[string]Step
	trails map[string]trail
}

// trail is what a model's last step has told.
type trail struct {
	step Step
	// lag is how far the oldest version that the step takes is behind the newest
	// one named when it was opened.
	lag uint64
}

// RecordVersion takes a version that was named. It reports whether it is newer than all before.
func (s *Steps) RecordVersion(model string, version uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.prepare()
	if version <= s.named[model] {
		return false
	}
	s.named[model] = version
	return true
}

// Open takes a step that is open, under the identity of its batch.
func (s *Steps) Open(batch string, step Step) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.prepare()
	if _, isKnown := s.open[batch]; isKnown {
		return
	}
	s.open[batch] = step
	last, isKnown := s.trails[step.Model]
	if isKnown && step.Oldest < last.step.Oldest {
		return
	}
	next := trail{step: step}
	if named := s.named[step.Model]; named > step.Oldest {
		next.lag = named - step.Oldest
	}
	s.trails[step.Model] = next
}

// Close notes that the batch of a step is ended.
func (s *Steps) Close(batch string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, batch)
}

// Demand returns what the steps of a model ask of samplers.
//
// A trainer asks its next step as soon as it has named a version, and the step
// takes versions as far behind that one as the step before did. So the next step is
// known from the moment its version is named, and the one after it takes versions
// from one further on.
func (s *Steps) Demand(model string) Demand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	named := s.named[model]
	last := s.trails[model]
	work := Demand{Model: model, NewestVersion: named, MinVersion: named - min(named, last.lag), Runs: last.step.Runs}
	work.NextMinVersion = min(named, work.MinVersion+1)
	return work
}

func (s *Steps) prepare() {
	if s.named != nil {
		return
	}
	s.named = map[string]uint64{}
	s.open = map[string]Step{}
	s.trails = map[string]trail{}
}
