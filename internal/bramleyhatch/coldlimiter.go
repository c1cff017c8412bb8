package bramleyhatch

import (
	"strings"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/cold"
	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	store "github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

// coldLimiter divides the request rate that the configuration allows for cold servers
// among the senders: all gateways for callers' requests, the owners of batches for
// runs of batches. It is safe for concurrent use.
type coldLimiter struct {
	view *table.View
	now  func() clock.Boot

	mutex  sync.Mutex
	hosts  cold.Senders
	owners cold.Senders
	// batchOwners maps the identity of each batch that has an owner to that owner.
	batchOwners map[string]string
}

var _ roster.ColdLimits = &coldLimiter{}

func newColdLimiter(self string, view *table.View) *coldLimiter {
	return &coldLimiter{view: view, now: clock.Now, hosts: cold.Senders{Self: self}, owners: cold.Senders{Self: self}, batchOwners: map[string]string{}}
}

// Quota returns how many requests this gateway may send to a cold server within a
// time window; isUnbounded is true if the pool sets no limit.
func (c *coldLimiter) Quota(poolName, server string, sender roster.Sender) (limit int, isUnbounded bool) {
	pool := c.pool(poolName)
	if pool == nil || pool.ColdRate == 0 {
		return 0, true
	}
	rate, senders := pool.ColdRate, &c.hosts
	if sender == roster.SenderBatch {
		senders = &c.owners
	}
	if callers, batches := pool.Senders(); callers && batches {
		rate /= 2
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return senders.Quota(server, rate, c.now()), false
}

// Duration returns how long a server of a pool is cold.
func (c *coldLimiter) Duration(poolName string) time.Duration {
	pool := c.pool(poolName)
	if pool == nil {
		return 0
	}
	return pool.ColdTime
}

func (c *coldLimiter) pool(name string) *table.Pool {
	current := c.view.Current()
	if current == nil {
		return nil
	}
	return current.Pool(name)
}

// apply updates the senders from changes of the keys that gateways share through
// the store.
func (c *coldLimiter) apply(changes []store.Value) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	for _, change := range changes {
		if host, isHost := strings.CutPrefix(change.Key, gateway.PrefixHost); isHost {
			c.applyHost(host, change.Deleted, now)
		}
		if id, owner, isOwner := batch.ParseOwner(change); isOwner {
			c.applyOwner(id, owner, now)
		}
	}
}

func (c *coldLimiter) applyHost(host string, isDeleted bool, now clock.Boot) {
	if isDeleted {
		c.hosts.Remove(host, now)
		return
	}
	c.hosts.Add(host, now)
}

// applyOwner records the owner of a batch; "" means that it has none.
func (c *coldLimiter) applyOwner(id, owner string, now clock.Boot) {
	previous := c.batchOwners[id]
	if previous == owner {
		return
	}
	delete(c.batchOwners, id)
	if owner != "" {
		c.batchOwners[id] = owner
		c.owners.Add(owner, now)
	}
	if previous != "" && !c.ownsBatch(previous) {
		c.owners.Remove(previous, now)
	}
}

func (c *coldLimiter) ownsBatch(host string) bool {
	for _, owner := range c.batchOwners {
		if owner == host {
			return true
		}
	}
	return false
}

// markCurrent records that all changes up to now are applied.
func (c *coldLimiter) markCurrent() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	c.hosts.MarkCurrent(now)
	c.owners.MarkCurrent(now)
}
