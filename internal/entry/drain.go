package entry

import (
	"context"

	"k8s.io/klog/v2"
)

// Open lets requests through; it is called once before the service is served.
func (s *Server) Open() {
	s.gate.open(s.Slots, s.Queue)
}

// Drain takes no new work and returns once all running requests have ended.
// What waits is refused as not run, so that another server takes it at once.
func (s *Server) Drain(ctx context.Context) {
	s.Decisions.Record(s.Name, "backend", "draining, takes no new work")
	s.gate.close()
	s.Loads.OfferLoad(s.load())
	if err := s.registry.wait(ctx); err != nil {
		klog.Warningf("backend: %s stops with requests running: %v", s.Name, err)
	}
}
