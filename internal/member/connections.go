package member

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// mostConnections bounds the connections kept open: successors and
// predecessors, and some that have just ceased to be.
const mostConnections = 2*ringCount + 8

// connections keeps a few connections to other processes.
type connections struct {
	credentials credentials.TransportCredentials

	mutex sync.Mutex
	open  map[string]*grpc.ClientConn
}

// call runs do with a connection to the address. If do fails on a connection
// that was open before, it runs once more on a new one.
//
// A connection can go silent for good because something between the two ends
// has lost track of it, while a new one works. Without the second try a live
// process would be taken as failed.
func (c *connections) call(ctx context.Context, address string, do func(context.Context, *grpc.ClientConn) error) error {
	ctx, cancel := context.WithTimeout(ctx, 2*exchangeTimeout)
	defer cancel()
	connection, fresh, err := c.get(address)
	if err != nil {
		return err
	}
	err = try(ctx, connection, do)
	if err == nil {
		return nil
	}
	c.drop(address, connection)
	if fresh {
		return err
	}
	connection, _, err = c.get(address)
	if err != nil {
		return err
	}
	if err = try(ctx, connection, do); err != nil {
		c.drop(address, connection)
	}
	return err
}

func (c *connections) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, connection := range c.open {
		_ = connection.Close()
		delete(c.open, address)
	}
}

// drop closes a connection that failed: gRPC would wait longer and longer
// before it tries again by itself.
func (c *connections) drop(address string, connection *grpc.ClientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open[address] == connection {
		delete(c.open, address)
	}
	_ = connection.Close()
}

func (c *connections) get(address string) (connection *grpc.ClientConn, fresh bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.open[address]; known != nil {
		return known, false, nil
	}
	connection, err = listen.Dial(address, c.credentials)
	if err != nil {
		return nil, true, err
	}
	if c.open == nil {
		c.open = map[string]*grpc.ClientConn{}
	}
	c.makeRoom()
	c.open[address] = connection
	return connection, true, nil
}

// makeRoom closes any one connection where there are too many; the order of a
// map is as good as another, since a neighbour's connection opens again.
func (c *connections) makeRoom() {
	for address, connection := range c.open {
		if len(c.open) < mostConnections {
			return
		}
		_ = connection.Close()
		delete(c.open, address)
	}
}

func try(ctx context.Context, connection *grpc.ClientConn, do func(context.Context, *grpc.ClientConn) error) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return do(ctx, connection)
}
