package sidecar

import (
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// connection is an open connection and the number of those who use it.
type connection struct {
	*grpc.ClientConn
	users int
}

// connections holds one connection for each address. Its zero value holds none.
type connections struct {
	credentials credentials.TransportCredentials

	mutex  sync.Mutex
	opened map[string]*connection
}

// discard closes a connection that went silent or broke, so that the next
// request dials a new one. It reports whether the connection was still in use
// for its address, false if another stream had discarded it.
//
// Something between the two ends can lose track of a connection: it stays open
// and carries nothing, while a new one works. gRPC's own pings would take
// longer than a caller waits. Other streams on the connection break too; each
// resumes from its position on the new one.
func (c *connections) discard(address string, old *connection) bool {
	c.mutex.Lock()
	present := c.opened[address] == old
	if present {
		delete(c.opened, address)
	}
	c.mutex.Unlock()
	_ = old.Close()
	return present
}

// get returns the connection of an address, and opens it if there is none.
// release ends the use.
func (c *connections) get(address string) (*connection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if present := c.opened[address]; present != nil {
		present.users++
		return present, nil
	}
	dialed, err := listen.Dial(address, c.credentials)
	if err != nil {
		return nil, err
	}
	if c.opened == nil {
		c.opened = map[string]*connection{}
	}
	c.opened[address] = &connection{ClientConn: dialed, users: 1}
	return c.opened[address], nil
}

func (c *connections) release(used *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	used.users--
}

// retain closes the unused connections to addresses that no process has any
// more. Those in use stay: a process taken for failed by mistake still answers.
func (c *connections) retain(present map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, one := range c.opened {
		if !present[address] && one.users == 0 {
			delete(c.opened, address)
			_ = one.Close()
		}
	}
}
