package weight

import "sync"

// Step is an open step of a trainer.
type Step struct {
	Model string
	// MinVersion is the oldest version that may generate any of its tokens.
	MinVersion uint64
	// Runs is the number of its generations.
	Runs int
}

// Steps tracks the versions that trainers have announced and the open steps, and derives what they
// need from samplers. Its zero value is empty. It is safe for concurrent use.
type Steps struct {
	mutex     sync.Mutex
	announced map[string]uint64
	open      map[string]Step
	lastSteps map[string]lastStep
}

// lastStep is the newest step of a model.
type lastStep struct {
	step Step
	// lag is how far the oldest version that the step accepts is behind the newest one announced
	// when it was opened.
	lag uint64
}

// RecordVersion records an announced version and reports whether it is newer than all before.
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
// A trainer requests its next step as soon as it has announced a version, and that step accepts
// versions as far behind it as the previous step did. So the next step is known once its
// version is announced, and the step after it accepts versions from the following
// one on.
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
