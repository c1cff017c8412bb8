package member

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// maxConnections bounds the open connections: one per successor and predecessor, and
// some to former neighbours.
const maxConnections = 2*ringCount + 8

// connectionPool keeps a few connections to other processes open.
type connectionPool struct {
	credentials credentials.TransportCredentials

	mutex sync.Mutex
	open  map[string]*grpc.ClientConn
}

// call runs do with a connection to the address. If do fails on a connection that
// was already open, call retries once on a new connection.
//
// After a middlebox loses its state for a connection, the connection never gets an
// answer again, while a new connection works. Without the retry a live process would be
// marked as failed.
func (c *connectionPool) call(ctx context.Context, address string, do func(context.Context, *grpc.ClientConn) error) error {
	ctx, cancel := context.WithTimeout(ctx, 2*exchangeTimeout)
	defer cancel()
	connection, fresh, err := c.get(address)
	if err != nil {
		return err
	}
	err = callOnce(ctx, connection, do)
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
	if err = callOnce(ctx, connection, do); err != nil {
		c.drop(address, connection)
	}
	return err
}

func (c *connectionPool) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, connection := range c.open {
		_ = connection.Close()
		delete(c.open, address)
	}
}

// drop closes a failed connection, because gRPC would reconnect it only after an
// increasing backoff.
func (c *connectionPool) drop(address string, connection *grpc.ClientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open[address] == connection {
		delete(c.open, address)
	}
	_ = connection.Close()
}

func (c *connectionPool) get(address string) (connection *grpc.ClientConn, fresh bool, err error) {
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
	c.evict()
	c.open[address] = connection
	return connection, true, nil
}

// evict closes arbitrary connections to get below maxConnections. The choice does not
// matter, since a connection to a neighbour is opened again when needed.
func (c *connectionPool) evict() {
	for address, connection := range c.open {
		if len(c.open) < maxConnections {
			return
		}
		_ = connection.Close()
		delete(c.open, address)
	}
}

func callOnce(ctx context.Context, connection *grpc.ClientConn, do func(context.Context, *grpc.ClientConn) error) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return do(ctx, connection)
}
