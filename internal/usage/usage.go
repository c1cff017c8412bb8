// Package usage counts the usage of client accounts, replicates the counters
// until their window is reported, and reports each window once.
//
// A sidecar counts each completely delivered response. Its counters only grow,
// so merging copies by maximum is commutative and idempotent.
package usage

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// counterKey identifies a counter.
type counterKey struct {
	process     string
	incarnation uint64
	account     string
	pool        string
	window      int64
}

func keyOf(count *peerpb.Count) counterKey {
	return counterKey{
		process:     count.GetProcess(),
		incarnation: count.GetIncarnation(),
		account:     count.GetAccount(),
		pool:        count.GetPool(),
		window:      count.GetWindow(),
	}
}

// WindowStart returns the start of the window that contains now, in Unix seconds.
// A length below one second counts as one second.
func WindowStart(now time.Time, length time.Duration) int64 {
	seconds := max(int64(length/time.Second), 1)
	return now.Unix() - now.Unix()%seconds
}
