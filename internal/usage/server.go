package usage

import (
	"context"
	"crypto/sha256"
	"encoding/binary"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Server serves the Usage service to other processes.
// Exported fields are set before it is registered.
type Server struct {
	peerpb.UnimplementedUsageServer

	// Ledger holds the counters of other processes.
	Ledger *Ledger
	// Counter holds this process's own counters; nil on an entry.
	Counter *Counter
}

var _ peerpb.UsageServer = &Server{}

// Collect returns the counters of the requested windows, except those of the
// incarnations that the request excludes.
func (s *Server) Collect(_ context.Context, request *peerpb.CollectRequest) (*peerpb.CollectReply, error) {
	counts := excludeIncarnations(s.Ledger.Counts(request.GetSince(), request.GetUntil()), request.GetExcept())
	reply := &peerpb.CollectReply{}
	if s.Counter != nil {
		counts = append(counts, s.Counter.Counts(request.GetSince(), request.GetUntil())...)
		reply.SetCounted(incarnationHash(s.Counter.Process, s.Counter.Incarnation))
	}
	reply.SetCounts(counts)
	return reply, nil
}

// Keep stores copies of another process's counters.
func (s *Server) Keep(_ context.Context, request *peerpb.KeepRequest) (*peerpb.KeepReply, error) {
	s.Ledger.Merge(request.GetCounts())
	return &peerpb.KeepReply{}, nil
}

func excludeIncarnations(counts []*peerpb.Count, except []uint64) []*peerpb.Count {
	excluded := map[uint64]bool{}
	for _, hash := range except {
		excluded[hash] = true
	}
	var remaining []*peerpb.Count
	for _, count := range counts {
		if !excluded[incarnationHash(count.GetProcess(), count.GetIncarnation())] {
			remaining = append(remaining, count)
		}
	}
	return remaining
}

// incarnationHash identifies an incarnation of a process in messages.
func incarnationHash(process string, incarnation uint64) uint64 {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(process+"\x00"), incarnation))
	return binary.BigEndian.Uint64(sum[:8])
}
