package listentest

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
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

// Guards against an address that is still in use when FreeAddress returns it. One test starts child processes while
// another one allocates an address: between fork and exec, a child holds all open files of the test program, also the
// listener that checks the address, and a server that listens at once fails.
func TestAddressIsFreeDespiteForks(t *testing.T) {
	const forkingGoroutines = 4
	ctx, cancel := context.WithCancel(t.Context())
	var children sync.WaitGroup
	for range forkingGoroutines {
		children.Go(func() {
			for ctx.Err() == nil {
				_ = exec.CommandContext(ctx, os.Args[0], "-test.run=^$").Run() //nolint:gosec // runs the test binary itself
			}
		})
	}
	t.Cleanup(children.Wait)
	t.Cleanup(cancel)
	ports := &portAllocator{}
	must.True(t, ports.reserveBlock())
	for ; ports.next < ports.end; ports.next++ {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		if !isFree(address) {
			continue
		}
		listener, err := listen(address)
		must.NoError(t, err)
		must.NoError(t, listener.Close())
	}
	must.NoError(t, ports.locks[0].Close())
}

// helperEnv makes a child process of the test binary run TestFirstProcessStartHelper.
const helperEnv = "LISTENTEST_FIRST_START"

// Guards against an address that is still in use when FreeAddress returns it, because the test program starts its first
// process at that moment: package os then forks without ForkLock. It does so once, so each try is a process of its own.
func TestAddressIsFreeDuringFirstProcessStart(t *testing.T) {
	const tries = 25
	for range tries {
		helper := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestFirstProcessStartHelper$") //nolint:gosec // runs the test binary itself
		// The race detector would delay the end of each process by a second.
		helper.Env = append(os.Environ(), helperEnv+"=1", "GORACE=atexit_sleep_ms=0")
		output, err := helper.CombinedOutput()
		must.NoError(t, err, must.Sprint(string(output)))
	}
}

// TestFirstProcessStartHelper allocates addresses and listens on them while the process starts its first child.
func TestFirstProcessStartHelper(t *testing.T) {
	if os.Getenv(helperEnv) == "" {
		t.Log("only runs in a child process of TestAddressIsFreeDuringFirstProcessStart")
		return
	}
	const goroutines, addresses = 8, 24
	allocated := make(chan struct{}, goroutines*addresses)
	var servers sync.WaitGroup
	for range goroutines {
		servers.Go(func() {
			for range addresses {
				listener, err := listen(FreeAddress(t))
				allocated <- struct{}{}
				if err != nil {
					t.Error(err)
					continue
				}
				_ = listener.Close()
			}
		})
	}
	for range goroutines {
		<-allocated
	}
	_ = exec.CommandContext(t.Context(), os.Args[0], "-test.run=^$").Run() //nolint:gosec // runs the test binary itself
	servers.Wait()
}
