package weight

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	retry = time.Second
	// announceTimeout bounds the wait for the store in an announcement.
	announceTimeout = 3 * time.Second
)

// Coordinators are those of the models for which this process is in charge.
// The zero value holds none. It is safe for concurrent use.
type Coordinators struct {
	mutex sync.Mutex
	held  map[string]*Coordinator
}

// Add adds a coordinator until the returned function is called.
func (c *Coordinators) Add(coordinator *Coordinator) (remove func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.held == nil {
		c.held = map[string]*Coordinator{}
	}
	c.held[coordinator.Model] = coordinator
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.held[coordinator.Model] == coordinator {
			delete(c.held, coordinator.Model)
		}
	}
}

// Announce sets the version wanted of a model.
func (c *Coordinators) Announce(ctx context.Context, model string, version uint64) error {
	c.mutex.Lock()
	coordinator := c.held[model]
	c.mutex.Unlock()
	if coordinator == nil {
		return refusal.NotRun(http.StatusServiceUnavailable, "no_holder", "no process is in charge of the weights of %s yet", model).WithRetryAfter(retry)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := coordinator.Announce(ctx, version); err != nil {
		return refusal.Unknown(http.StatusServiceUnavailable, "store_away", "the version is ordered but not kept yet, announce it again: %v", err).WithRetryAfter(retry)
	}
	return nil
}
