package clock

import "time"

// Wall tells the time of day without its jumps: as it was when it was set, plus
// what the boot clock has counted since.
type Wall struct {
	at   time.Time
	boot Boot
}

// NewWall returns a Wall that agrees with the time of day now.
func NewWall() *Wall {
	return &Wall{at: time.Now().Round(0), boot: Now()}
}

// Now returns the time of day.
func (w *Wall) Now() time.Time { return w.at.Add(Now().Sub(w.boot)) }
