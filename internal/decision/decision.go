// Package decision keeps the newest decisions of a process, so that operators can
// look up the reason of an action.
//
// Every routing or placement decision is logged on one line and kept in a ring
// buffer under the identity that it concerns: a request, a sample, an order or a
// usage window.
package decision

import (
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// DefaultSize is the number of decisions that a log keeps if nothing else is set.
const DefaultSize = 4096

// Entry is one decision.
type Entry struct {
	id   string
	part string
	text string
	time time.Time
}

// ID returns the identity that the decision concerns.
func (e Entry) ID() string { return e.id }

// Part returns the part of the system that decided.
func (e Entry) Part() string { return e.part }

// Text returns the decision and its reason.
func (e Entry) Text() string { return e.text }

// Time returns the time of the decision.
func (e Entry) Time() time.Time { return e.time }

// Log keeps the newest decisions. Its zero value keeps DefaultSize of them.
// It is safe for concurrent use.
type Log struct {
	// Size is the number of decisions kept; set it before the first Record.
	Size int

	mutex sync.Mutex
	ring  []Entry
	next  int
}

// Find returns the kept decisions of an identity, oldest first.
func (l *Log) Find(id string) []Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Entry
	for i := range l.ring {
		entry := l.ring[(l.next+i)%len(l.ring)]
		if entry.id == id {
			found = append(found, entry)
		}
	}
	return found
}

// Record logs a decision and keeps it. A nil Log only logs. The text must not
// contain a caller's key.
func (l *Log) Record(id, part, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	klog.InfoDepth(1, part+": "+id+": "+text)
	if l == nil {
		return
	}
	l.keep(Entry{id: id, part: part, text: text, time: time.Now()})
}

func (l *Log) keep(entry Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size := l.Size
	if size <= 0 {
		size = DefaultSize
	}
	if len(l.ring) < size {
		l.ring = append(l.ring, entry)
		return
	}
	l.ring[l.next] = entry
	l.next = (l.next + 1) % size
}
