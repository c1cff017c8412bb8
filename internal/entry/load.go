package entry

import (
	"sync/atomic"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// loadSequence numbers the load reports of one server. Numbers start at the current time,
// so that a restarted sidecar's numbers exceed its predecessor's.
type loadSequence struct {
	last atomic.Uint64
}

func (l *loadSequence) next() uint64 {
	for {
		last := l.last.Load()
		next := max(last+1, uint64(time.Now().UnixNano()))
		if l.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// load returns the server's current load.
func (s *Server) load() *peerpb.Load {
	running, queued := s.limiter.counts()
	return peerpb.Load_builder{
		Server:   s.Name,
		Running:  uint32(running),
		Queued:   uint32(queued),
		Slots:    uint32(s.MaxRunning),
		Version:  s.Backend.Version(),
		Draining: s.limiter.isClosed(),
		Seq:      s.loadSequence.next(),
	}.Build()
}
