package listentest

import (
	"net"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// A test starts a gateway on a port that the system had chosen for it. Before
// the gateway listens, a connection of another test is given the same port, and
// the gateway never becomes ready.
func TestFree(t *testing.T) {
	seen := map[string]bool{}
	for range blockPorts + 1 {
		address := FreeAddress(t)
		must.False(t, seen[address])
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		must.NoError(t, err)
		port, err := strconv.Atoi(text)
		must.NoError(t, err)
		must.Less(t, 32768, port)
	}
	must.SliceLen(t, 2, blocks.locks)
}

// Two test programs run at once. The block of one is passed over by the other.
func TestBlocksAreHeld(t *testing.T) {
	first, second := &holder{}, &holder{}
	must.True(t, first.take())
	must.True(t, second.take())
	must.NotEq(t, first.next, second.next)
	for _, lock := range append(first.locks, second.locks...) {
		must.NoError(t, lock.Close())
	}
}
