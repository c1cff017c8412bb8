package weight

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	retryAfter = time.Second
	// announceTimeout bounds the wait for the store during an announcement.
	announceTimeout = 3 * time.Second
)

// Coordinators holds the coordinators of the models whose weight duty this process holds. The zero
// value is empty. It is safe for concurrent use.
type Coordinators struct {
	mutex   sync.Mutex
	byModel map[string]*Coordinator
}

// Add registers a coordinator. The returned function removes it.
func (c *Coordinators) Add(coordinator *Coordinator) (remove func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byModel == nil {
		c.byModel = map[string]*Coordinator{}
	}
	c.byModel[coordinator.Model] = coordinator
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.byModel[coordinator.Model] == coordinator {
			delete(c.byModel, coordinator.Model)
		}
	}
}

// Announce sets the target version of a model.
func (c *Coordinators) Announce(ctx context.Context, model string, version uint64) error {
	c.mutex.Lock()
	coordinator := c.byModel[model]
	c.mutex.Unlock()
	if coordinator == nil {
		return refusal.NotRun(http.StatusServiceUnavailable, "no_holder", "no process is in charge of the weights of %s yet", model).WithRetryAfter(retryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := coordinator.Announce(ctx, version); err != nil {
		return refusal.Unknown(http.StatusServiceUnavailable, "store_away", "the version is ordered but not kept yet, announce it again: %v", err).WithRetryAfter(retryAfter)
	}
	return nil
}
