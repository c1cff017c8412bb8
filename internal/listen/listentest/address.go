// Package listentest gives tests addresses on which a process that they start
// can listen.
package listentest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
)

const (
	// firstPort and lastPort bound the ports given out. The system gives those
	// from 32768 on to outgoing connections.
	firstPort, lastPort = 20000, 32767
	// blockPorts is the number of ports that one test program takes at a time: more
	// than most tests need, and small enough for dozens of test programs at once.
	blockPorts = 200
)

// blocks are the blocks of ports that this test program holds.
var blocks holder

// holder gives out ports of blocks that no other test program uses.
type holder struct {
	mutex sync.Mutex
	// locks are listeners on the first port of each block held. They are never
	// closed, and so other test programs can't take the block.
	locks []net.Listener
	// next is the next port to try, and end the first one behind the block.
	next, end int
	// block is the first port of the next block to try.
	block int
}

// FreeAddress returns an IP address and port on which nothing listens.
//
// A port that the system chooses, and that is closed again until the process
// under test listens on it, may be taken meanwhile by an outgoing connection: the
// process then fails to start, or to start again. Ports of a block of its own,
// below those for outgoing connections, are taken by nobody else.
func FreeAddress(t testing.TB) string {
	t.Helper()
	blocks.mutex.Lock()
	defer blocks.mutex.Unlock()
	for {
		for blocks.next < blocks.end {
			address := fmt.Sprintf("127.0.0.1:%d", blocks.next)
			blocks.next++
			if isFree(address) {
				return address
			}
		}
		if !blocks.take() {
			t.Fatal("no block of free ports is left")
		}
	}
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

func isFree(address string) bool {
	listener, err := listen(address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// take takes a further block; it reports false where none is left.
func (h *holder) take() bool {
	if h.block == 0 {
		h.block = firstPort
	}
	for h.block+blockPorts <= lastPort {
		first := h.block
		h.block += blockPorts
		lock, err := listen(fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		h.locks = append(h.locks, lock)
		h.next, h.end = first+1, first+blockPorts
		return true
	}
	return false
}
