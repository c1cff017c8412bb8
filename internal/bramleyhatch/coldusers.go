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

// coldUsers says how many requests cold servers may be sent, from what is in force
// and from who sends: all gateways for callers, the owners of batches for these.
// It is safe for concurrent use.
type coldUsers struct {
	view *table.View
	now  func() clock.Boot

	mutex  sync.Mutex
	hosts  cold.Senders
	owners cold.Senders
	// owned are the batches that have an owner, and their owners.
	owned map[string]string
}

var _ roster.ColdLimits = &coldUsers{}

func newColdUsers(self string, view *table.View) *coldUsers {
	return &coldUsers{view: view, now: clock.Now, hosts: cold.Senders{Self: self}, owners: cold.Senders{Self: self}, owned: map[string]string{}}
}

// Share returns how many requests this gateway may send to a cold server.
func (c *coldUsers) Share(pool, server string, sender roster.Sender) (most int, isUnbounded bool) {
	known := c.pool(pool)
	if known == nil || known.ColdRate == 0 {
		return 0, true
	}
	rate, users := known.ColdRate, &c.hosts
	if sender == roster.SenderBatch {
		users = &c.owners
	}
	if callers, batches := known.Senders(); callers && batches {
		rate /= 2
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return users.Quota(server, rate, c.now()), false
}

// Duration returns how long a server of a pool is cold.
func (c *coldUsers) Duration(pool string) time.Duration {
	known := c.pool(pool)
	if known == nil {
		return 0
	}
	return known.ColdTime
}

func (c *coldUsers) pool(name string) *table.Pool {
	now := c.view.Current()
	if now == nil {
		return nil
	}
	return now.Pool(name)
}

// take takes changes of what gateways tell each other.
func (c *coldUsers) take(changes []store.Value) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	for _, change := range changes {
		if host, isHost := strings.CutPrefix(change.Key, gateway.PrefixHost); isHost {
			c.takeHost(host, change.Deleted, now)
		}
		if id, owner, isOwner := batch.ParseOwner(change); isOwner {
			c.takeOwner(id, owner, now)
		}
	}
}

func (c *coldUsers) takeHost(host string, isGone bool, now clock.Boot) {
	if isGone {
		c.hosts.Remove(host, now)
		return
	}
	c.hosts.Add(host, now)
}

// takeOwner notes who owns a batch; "" is nobody.
func (c *coldUsers) takeOwner(id, owner string, now clock.Boot) {
	last := c.owned[id]
	if last == owner {
		return
	}
	delete(c.owned, id)
	if owner != "" {
		c.owned[id] = owner
		c.owners.Add(owner, now)
	}
	if last != "" && !c.owns(last) {
		c.owners.Remove(last, now)
	}
}

func (c *coldUsers) owns(host string) bool {
	for _, owner := range c.owned {
		if owner == host {
			return true
		}
	}
	return false
}

// heard notes that all changes up to now were taken.
func (c *coldUsers) heard() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	c.hosts.MarkCurrent(now)
	c.owners.MarkCurrent(now)
}
