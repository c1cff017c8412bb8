package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// lingerTime is how long an answer waits for its entry while the process
	// stops; an entry notices a lost connection sooner.
	lingerTime     = 5 * time.Second
	lingerInterval = 20 * time.Millisecond
)

// Open lets requests through; it is called once before the service is served.
func (s *Server) Open() {
	s.metrics = newMetrics(s)
	s.gate.open(s.MaxRunning, s.MaxQueued)
}

// Drain takes no new work and returns once all running requests have ended and
// their answers were sent. What waits is refused as not run, so that another server takes it at once.
func (s *Server) Drain(ctx context.Context) {
	s.Decisions.Record(s.Name, "backend", "draining, takes no new work")
	s.gate.close()
	s.Loads.OfferLoad(s.load())
	if err := s.registry.wait(ctx); err != nil {
		klog.Warningf("backend: %s stops with requests running: %v", s.Name, err)
	}
	s.deliver(ctx)
}

// deliver waits for entries that lost their connection to come back for
// answers that nobody was sent.
func (s *Server) deliver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	ticker := time.NewTicker(lingerInterval)
	defer ticker.Stop()
	for !s.registry.isDelivered(time.Now()) {
		select {
		case <-ctx.Done():
			klog.Warningf("backend: %s stops with answers that no entry fetched", s.Name)
			return
		case <-ticker.C:
		}
	}
}
