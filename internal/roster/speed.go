package roster

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

const (
	// usualWindow is the length of a window whose mean gap changes the usual gap: longer than the short slow phases of a
	// server. Windows of fewer than minWindowEvents events are too noisy and don't count.
	usualWindow     = time.Second
	minWindowEvents = 8
	// lowerWeight and higherWeight are the weights of a window's mean that is lower or higher than the usual gap. Faults only
	// make a server slower, so a lower mean is close to the truth, and a higher one must last for a minute to be believed: a
	// fault of 5 s and factor 3.5 raises the usual gap by a quarter.
	lowerWeight  = 0.5
	higherWeight = 0.02
	// maxAdoptedAge is how long the figure of another process keeps its precedence over those from fewer events: a few
	// intervals of the reports that repeat it. Without it, the figure of a process that has ended would apply as long as this
	// process sends the server no work.
	maxAdoptedAge = 2 * time.Second
)

// Speed measures the present pace of a server and, apart from it, the usual gap between its events. It does no I/O and takes
// the time from its caller. The zero value is a server of unknown speed.
type Speed struct {
	pace pace

	usual time.Duration
	// events counts the events of all windows that count.
	events int

	windowStart  clock.Boot
	windowSum    time.Duration
	windowEvents int

	// adopted is the usual gap that another process has measured, from adoptedEvents events.
	adopted       time.Duration
	adoptedEvents int
	adoptedAt     clock.Boot
}

// Add records the interval between two events.
func (s *Speed) Add(gap time.Duration, now clock.Boot) {
	s.pace.add(gap, now)
	if s.windowEvents > 0 && now.Sub(s.windowStart) >= usualWindow {
		s.endWindow()
	}
	if s.windowEvents == 0 {
		s.windowStart = now
	}
	s.windowSum += gap
	s.windowEvents++
}

func (s *Speed) endWindow() {
	mean, events := s.windowSum/time.Duration(s.windowEvents), s.windowEvents
	s.windowSum, s.windowEvents = 0, 0
	if events < minWindowEvents {
		return
	}
	s.events += events
	if s.usual == 0 {
		s.usual = mean
		return
	}
	weight := lowerWeight
	if mean > s.usual {
		weight = higherWeight
	}
	s.usual += time.Duration(weight * float64(mean-s.usual))
}

// Adopt records the usual gap that another process has measured. It applies until this process has a figure of its own; of
// several within maxAdoptedAge, the one from the most events applies.
func (s *Speed) Adopt(gap time.Duration, events int, now clock.Boot) {
	if gap > 0 && (events >= s.adoptedEvents || now.Sub(s.adoptedAt) >= maxAdoptedAge) {
		s.adopted, s.adoptedEvents, s.adoptedAt = gap, events, now
	}
}

// Gaps returns the usual gap and the present pace.
func (s *Speed) Gaps(now clock.Boot) route.Gaps {
	gaps := route.Gaps{Usual: s.usual, Present: s.pace.value(now)}
	if gaps.Usual == 0 {
		gaps.Usual = s.adopted
	}
	return gaps
}
