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

// Conductors are those of the models for which this process is in charge.
// The zero value holds none. It is safe for concurrent use.
type Conductors struct {
	mutex sync.Mutex
	held  map[string]*Conductor
}

// Add adds a conductor until the returned function is called.
func (c *Conductors) Add(conductor *Conductor) (remove func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.held == nil {
		c.held = map[string]*Conductor{}
	}
	c.held[conductor.Model] = conductor
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.held[conductor.Model] == conductor {
			delete(c.held, conductor.Model)
		}
	}
}

// Announce sets the version wanted of a model.
func (c *Conductors) Announce(ctx context.Context, model string, version uint64) error {
	c.mutex.Lock()
	conductor := c.held[model]
	c.mutex.Unlock()
	if conductor == nil {
		return refusal.NotRun(http.StatusServiceUnavailable, "no_holder", "no process is in charge of the weights of %s yet", model).After(retry)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := conductor.Announce(ctx, version); err != nil {
		return refusal.Unknown(http.StatusServiceUnavailable, "store_away", "the version is ordered but not kept yet, announce it again: %v", err).After(retry)
	}
	return nil
}
