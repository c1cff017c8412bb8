package sidecar

import (
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// connection is an open connection with its number of users.
type connection struct {
	*grpc.ClientConn
	users int
}

// connections holds one connection per address. The zero value is empty and usable.
type connections struct {
	credentials credentials.TransportCredentials

	mutex  sync.Mutex
	opened map[string]*connection
}

// discard closes a connection that timed out or broke, so that the next request dials a new
// connection. It returns false if another stream had already discarded the connection.
//
// A device on the network path can lose track of a connection: the connection stays open
// and carries no data, while new connections work. gRPC's keepalive pings would take longer
// than a caller waits. Other streams on the connection break too; each resumes from its
// position on the new connection.
func (c *connections) discard(address string, old *connection) bool {
	c.mutex.Lock()
	current := c.opened[address] == old
	if current {
		delete(c.opened, address)
	}
	c.mutex.Unlock()
	_ = old.Close()
	return current
}

// get returns the connection to an address and opens it if none exists. The caller must
// release it.
func (c *connections) get(address string) (*connection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if existing := c.opened[address]; existing != nil {
		existing.users++
		return existing, nil
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

func (c *connections) release(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	conn.users--
}

// closeUnused closes the unused connections to addresses that no longer belong to a
// process. Connections in use stay open: a process wrongly suspected to have failed still
// answers.
func (c *connections) closeUnused(addresses map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, conn := range c.opened {
		if !addresses[address] && conn.users == 0 {
			delete(c.opened, address)
			_ = conn.Close()
		}
	}
}
