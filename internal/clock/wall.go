package clock

import "time"

// Wall is a wall clock without jumps: the wall time at its creation plus the boot time counted
// since.
type Wall struct {
	at   time.Time
	boot Boot
}

// NewWall returns a Wall set to the current wall time.
func NewWall() *Wall {
	return &Wall{at: time.Now().Round(0), boot: Now()}
}

// Now returns the wall time.
func (w *Wall) Now() time.Time { return w.at.Add(Now().Sub(w.boot)) }
