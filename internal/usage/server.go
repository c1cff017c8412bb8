package usage

import (
	"context"

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

// Collect returns all counters held for the windows asked for.
func (s *Server) Collect(_ context.Context, request *peerpb.CollectRequest) (*peerpb.CollectReply, error) {
	counts := s.Ledger.Counts(request.GetSince(), request.GetUntil())
	if s.Counter != nil {
		counts = append(counts, s.Counter.Counts(request.GetSince(), request.GetUntil())...)
	}
	return peerpb.CollectReply_builder{Counts: counts}.Build(), nil
}

// Keep holds another process's counters.
func (s *Server) Keep(_ context.Context, request *peerpb.KeepRequest) (*peerpb.KeepReply, error) {
	s.Ledger.Merge(request.GetCounts())
	return &peerpb.KeepReply{}, nil
}
