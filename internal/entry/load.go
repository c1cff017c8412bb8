package entry

import (
	"sync/atomic"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// loadSequence orders the loads of one server. It starts at the time, so that
// a restarted sidecar's loads are newer than those of the process before.
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

// load returns the server's load as it is now.
func (s *Server) load() *peerpb.Load {
	running, queued := s.gate.counts()
	return peerpb.Load_builder{
		Server:   s.Name,
		Running:  uint32(running),
		Queued:   uint32(queued),
		Slots:    uint32(s.MaxRunning),
		Version:  s.Backend.Version(),
		Draining: s.gate.isClosed(),
		Seq:      s.loads.next(),
	}.Build()
}
