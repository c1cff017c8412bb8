package usage

import (
	"context"
	"crypto/sha256"
	"encoding/binary"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Server answers other processes about usage.
// Exported fields are set before it is registered.
type Server struct {
	peerpb.UnimplementedUsageServer

	// Ledger holds the counters of other processes.
	Ledger *Ledger
	// Counter holds this process's own counters; nil on an entry.
	Counter *Counter
}

var _ peerpb.UsageServer = &Server{}

// Collect returns the counters held for the windows asked for, but those of the
// incarnations that the request leaves out.
func (s *Server) Collect(_ context.Context, request *peerpb.CollectRequest) (*peerpb.CollectReply, error) {
	counts := without(s.Ledger.Counts(request.GetSince(), request.GetUntil()), request.GetExcept())
	reply := &peerpb.CollectReply{}
	if s.Counter != nil {
		counts = append(counts, s.Counter.Counts(request.GetSince(), request.GetUntil())...)
		reply.SetCounted(identity(s.Counter.Process, s.Counter.Incarnation))
	}
	reply.SetCounts(counts)
	return reply, nil
}

// Keep holds another process's counters.
func (s *Server) Keep(_ context.Context, request *peerpb.KeepRequest) (*peerpb.KeepReply, error) {
	s.Ledger.Merge(request.GetCounts())
	return &peerpb.KeepReply{}, nil
}

func without(counts []*peerpb.Count, except []uint64) []*peerpb.Count {
	known := map[uint64]bool{}
	for _, identity := range except {
		known[identity] = true
	}
	var rest []*peerpb.Count
	for _, count := range counts {
		if !known[identity(count.GetProcess(), count.GetIncarnation())] {
			rest = append(rest, count)
		}
	}
	return rest
}

// identity stands for an incarnation of a process in messages.
func identity(process string, incarnation uint64) uint64 {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(process+"\x00"), incarnation))
	return binary.BigEndian.Uint64(sum[:8])
}
