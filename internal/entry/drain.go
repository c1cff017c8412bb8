package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// deliveryTimeout is how long a stopping process waits for entries to fetch
	// their answers; an entry detects a lost connection sooner.
	deliveryTimeout      = 5 * time.Second
	deliveryPollInterval = 20 * time.Millisecond
)

// Init registers the metrics and starts to admit requests. It must be called once before
// serving.
func (s *Server) Init() {
	s.metrics = newMetrics(s)
	s.limiter.open(s.MaxRunning, s.MaxQueued)
}

// Drain refuses new requests and returns once all running requests have ended
// and their answers were sent. Queued requests are refused as not run, so that
// another server can take them at once.
func (s *Server) Drain(ctx context.Context) {
	s.Decisions.Record(s.Name, "backend", "draining, takes no new work")
	s.limiter.close()
	s.Loads.OfferLoad(s.load())
	if err := s.registry.wait(ctx); err != nil {
		klog.Warningf("backend: sidecar of %s stops while requests are still running: %v", s.Name, err)
	}
	s.waitForDelivery(ctx)
}

// waitForDelivery waits until entries that lost their connection have
// reconnected and fetched the answers that were not sent.
func (s *Server) waitForDelivery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	ticker := time.NewTicker(deliveryPollInterval)
	defer ticker.Stop()
	for !s.registry.isDelivered(time.Now()) {
		select {
		case <-ctx.Done():
			klog.Warningf("backend: sidecar of %s stops before entries fetched all answers", s.Name)
			return
		case <-ticker.C:
		}
	}
}
