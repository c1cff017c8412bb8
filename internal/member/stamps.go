package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// maxSentStamps and maxStamps bound the stamps in a message and in memory.
	maxSentStamps = 2
	maxStamps     = 64
	// minStampInterval is the minimum time between two stamps of one process.
	minStampInterval = 500 * time.Millisecond
)

// stamp is the latest answer of the store to one process.
type stamp struct {
	seq        uint64
	answeredAt time.Time
}

// stamps holds the last store answer to each process, by process name.
//
// An age that is relayed between processes is too low by the delay of each message, so
// it could stay low for ever. Each stamp therefore has an origin and a sequence number,
// and only a stamp with a higher number replaces the known one.
type stamps map[string]stamp

// add records an answer of the store to this process.
func (s stamps) add(origin string, now time.Time) {
	last := s[origin]
	if now.Sub(last.answeredAt) < minStampInterval {
		return
	}
	s[origin] = stamp{seq: max(last.seq+1, uint64(now.UnixMilli())), answeredAt: now}
	s.trim()
}

// lastAnswer returns the time of the latest answer to any process; zero if none is known.
func (s stamps) lastAnswer() time.Time {
	var newest time.Time
	for _, known := range s {
		if known.answeredAt.After(newest) {
			newest = known.answeredAt
		}
	}
	return newest
}

// merge stores newer stamps from another process.
func (s stamps) merge(sent []*peerpb.Stamp, now time.Time) {
	for _, received := range sent {
		if received.GetSeq() <= s[received.GetOrigin()].seq {
			continue
		}
		age := time.Duration(max(0, received.GetAge())) * time.Millisecond
		s[received.GetOrigin()] = stamp{seq: received.GetSeq(), answeredAt: now.Add(-age)}
	}
	s.trim()
}

// newest returns the latest stamps for a message.
func (s stamps) newest(now time.Time) []*peerpb.Stamp {
	var sent []*peerpb.Stamp
	for _, origin := range s.byAge()[:min(maxSentStamps, len(s))] {
		known := s[origin]
		sent = append(sent, peerpb.Stamp_builder{
			Origin: origin,
			Seq:    known.seq,
			Age:    now.Sub(known.answeredAt).Milliseconds(),
		}.Build())
	}
	return sent
}

func (s stamps) byAge() []string {
	origins := make([]string, 0, len(s))
	for origin := range s {
		origins = append(origins, origin)
	}
	slices.SortFunc(origins, func(a, b string) int {
		return cmp.Or(s[b].answeredAt.Compare(s[a].answeredAt), cmp.Compare(a, b))
	})
	return origins
}

func (s stamps) trim() {
	if len(s) <= maxStamps {
		return
	}
	for _, origin := range s.byAge()[maxStamps:] {
		delete(s, origin)
	}
}
