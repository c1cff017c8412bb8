package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// sentStamps and heldStamps bound the stamps in a message and in memory.
	sentStamps = 2
	heldStamps = 64
	// stampInterval is the least time between two stamps of one process.
	stampInterval = 500 * time.Millisecond
)

// stamp is the newest answer of the store to one process.
type stamp struct {
	seq   uint64
	heard time.Time
}

// stamps tell how long ago the store answered anybody.
//
// An age that is passed on alone gets younger on its way round between
// processes, by the time that each message takes, and could stay young for
// ever. So each stamp has an origin and a number, and only a number not seen
// before counts.
type stamps map[string]stamp

// add notes an answer of the store to this process.
func (s stamps) add(origin string, now time.Time) {
	last := s[origin]
	if now.Sub(last.heard) < stampInterval {
		return
	}
	s[origin] = stamp{seq: max(last.seq+1, uint64(now.UnixMilli())), heard: now}
	s.trim()
}

// heard returns the time of the newest answer to anybody; zero if none is known.
func (s stamps) heard() time.Time {
	var newest time.Time
	for _, known := range s {
		if known.heard.After(newest) {
			newest = known.heard
		}
	}
	return newest
}

// merge takes stamps that another process sent.
func (s stamps) merge(sent []*peerpb.Stamp, now time.Time) {
	for _, one := range sent {
		if one.GetSeq() <= s[one.GetOrigin()].seq {
			continue
		}
		age := time.Duration(max(0, one.GetAge())) * time.Millisecond
		s[one.GetOrigin()] = stamp{seq: one.GetSeq(), heard: now.Add(-age)}
	}
	s.trim()
}

// newest returns the stamps to send on.
func (s stamps) newest(now time.Time) []*peerpb.Stamp {
	var sent []*peerpb.Stamp
	for _, origin := range s.byAge()[:min(sentStamps, len(s))] {
		known := s[origin]
		sent = append(sent, peerpb.Stamp_builder{
			Origin: origin,
			Seq:    known.seq,
			Age:    now.Sub(known.heard).Milliseconds(),
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
		return cmp.Or(s[b].heard.Compare(s[a].heard), cmp.Compare(a, b))
	})
	return origins
}

func (s stamps) trim() {
	if len(s) <= heldStamps {
		return
	}
	for _, origin := range s.byAge()[heldStamps:] {
		delete(s, origin)
	}
}
