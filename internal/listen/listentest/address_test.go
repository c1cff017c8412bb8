package listentest

import (
	"net"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a port that is taken before its process listens. A test starts a gateway
// on a port chosen by the system; before the gateway listens, a connection of another test
// gets the same port, and the gateway never becomes ready.
func TestFreeAddress(t *testing.T) {
	allocated := map[string]bool{}
	for range blockPorts + 1 {
		address := FreeAddress(t)
		must.False(t, allocated[address])
		allocated[address] = true
		_, text, err := net.SplitHostPort(address)
		must.NoError(t, err)
		port, err := strconv.Atoi(text)
		must.NoError(t, err)
		must.Less(t, 32768, port)
	}
	must.SliceLen(t, 2, allocator.locks)
}

// Two test programs run at once; each must skip the blocks reserved by the other.
func TestBlocksAreReserved(t *testing.T) {
	first, second := &portAllocator{}, &portAllocator{}
	must.True(t, first.reserveBlock())
	must.True(t, second.reserveBlock())
	must.NotEq(t, first.next, second.next)
	for _, lock := range append(first.locks, second.locks...) {
		must.NoError(t, lock.Close())
	}
}
