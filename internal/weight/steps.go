package weight

import "sync"

// Step is an open step of a trainer.
type Step struct {
	Model string
	// MinVersion is the oldest version that may generate any of the step's tokens.
	MinVersion uint64
	// Runs is the number of the step's generations.
	Runs int
}

// Steps tracks the announced versions and the open steps of trainers, and derives the demand for
// samplers from them. The zero value is empty. It is safe for concurrent use.
type Steps struct {
	mutex     sync.Mutex
	announced map[string]uint64
	open      map[string]Step
	lastSteps map[string]lastStep
}

// lastStep is the newest step of a model.
type lastStep struct {
	step Step
	// lag is the number of versions by which the oldest version that the step accepts was behind
	// the newest announced version when the step was opened.
	lag uint64
}

// RecordVersion records an announced version and reports whether it is newer than all previous
// ones.
func (s *Steps) RecordVersion(model string, version uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initMaps()
	if version <= s.announced[model] {
		return false
	}
	s.announced[model] = version
	return true
}

// Open records an open step under the identity of its batch.
func (s *Steps) Open(batch string, step Step) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initMaps()
	if _, isKnown := s.open[batch]; isKnown {
		return
	}
	s.open[batch] = step
	last, isKnown := s.lastSteps[step.Model]
	if isKnown && step.MinVersion < last.step.MinVersion {
		return
	}
	next := lastStep{step: step}
	if announced := s.announced[step.Model]; announced > step.MinVersion {
		next.lag = announced - step.MinVersion
	}
	s.lastSteps[step.Model] = next
}

// Close records that the batch of a step has ended.
func (s *Steps) Close(batch string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, batch)
}

// Demand returns what the steps of a model need from samplers.
//
// A trainer requests its next step as soon as it has announced a version. The next step accepts
// versions as far behind the announced version as the previous step did. So the oldest version that
// the next step accepts is known once the version is announced; the oldest version that the step
// after the next accepts is one version newer.
func (s *Steps) Demand(model string) Demand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	announced := s.announced[model]
	last := s.lastSteps[model]
	demand := Demand{Model: model, NewestVersion: announced, MinVersion: announced - min(announced, last.lag), Runs: last.step.Runs}
	demand.NextMinVersion = min(announced, demand.MinVersion+1)
	return demand
}

func (s *Steps) initMaps() {
	if s.announced != nil {
		return
	}
	s.announced = map[string]uint64{}
	s.open = map[string]Step{}
	s.lastSteps = map[string]lastStep{}
}
