// Package usage counts what client accounts used, keeps the counts safe until
// their window is reported, and reports each window once.
//
// A sidecar counts each answer that was given whole. Its counters only grow,
// so copies of them are merged by maximum in any order and any number of times.
package usage

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// key identifies one growing counter.
type key struct {
	process     string
	incarnation uint64
	account     string
	pool        string
	window      int64
}

func keyOf(count *peerpb.Count) key {
	return key{
		process:     count.GetProcess(),
		incarnation: count.GetIncarnation(),
		account:     count.GetAccount(),
		pool:        count.GetPool(),
		window:      count.GetWindow(),
	}
}

// WindowStart returns the start of the window that holds a time, seconds since 1970 UTC.
// A length below one second counts as one second.
func WindowStart(now time.Time, length time.Duration) int64 {
	seconds := max(int64(length/time.Second), 1)
	return now.Unix() - now.Unix()%seconds
}
