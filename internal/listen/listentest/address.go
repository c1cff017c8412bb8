// Package listentest allocates addresses for processes that tests start.
package listentest

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
)

const (
	// firstPort and lastPort bound the allocated ports. The system assigns ports from 32768
	// on to outgoing connections.
	firstPort, lastPort = 20000, 32767
	// blockPorts is the number of ports that one test program reserves at a time: more than
	// most tests need, and small enough for dozens of test programs at once.
	blockPorts = 200
)

// allocator holds the blocks of ports reserved by this test program.
var allocator portAllocator

// portAllocator allocates ports from blocks that no other test program uses.
type portAllocator struct {
	mutex sync.Mutex
	// locks are listeners on the first port of each reserved block. They stay open, so that
	// other test programs cannot reserve the block.
	locks []net.Listener
	// next is the next port to try, and end the first port after the block.
	next, end int
	// block is the first port of the next block to try.
	block int
}

// FreeAddress returns an IP address and port on which no process listens.
//
// If the system chose the port and the port were closed until the process under test
// listens on it, an outgoing connection could take the port meanwhile: the process would
// fail to start or restart. The ports of a reserved block lie below the ports for outgoing
// connections, and no other test program uses them.
func FreeAddress(t testing.TB) string {
	t.Helper()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for {
		for allocator.next < allocator.end {
			address := fmt.Sprintf("127.0.0.1:%d", allocator.next)
			allocator.next++
			if isFree(address) {
				return address
			}
		}
		if !allocator.reserveBlock() {
			t.Fatal("no free block of ports left")
		}
	}
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

// checkProcessStart makes package os check how it can start processes, which it does once. The check forks without
// ForkLock.
var checkProcessStart = sync.OnceFunc(func() { _, _ = os.FindProcess(os.Getpid()) })

// isFree reports whether no process listens on an address. It holds ForkLock: a child process holds
// a copy of every open file from its fork to its exec, so the address would stay in use after Close.
func isFree(address string) bool {
	checkProcessStart()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := listen(address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// reserveBlock reserves another block; it returns false if no block is left.
func (a *portAllocator) reserveBlock() bool {
	if a.block == 0 {
		a.block = firstPort
	}
	for a.block+blockPorts <= lastPort {
		first := a.block
		a.block += blockPorts
		lock, err := listen(fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		a.locks = append(a.locks, lock)
		a.next, a.end = first+1, first+blockPorts
		return true
	}
	return false
}
