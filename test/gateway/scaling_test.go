package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

// newScalingDeployment returns a deployment whose pool "app" has one to three servers, as ordered
// by a duty holder.
func newScalingDeployment(t *testing.T) (*deployment, *wiretest.Scaling) {
	t.Helper()
	d := newDeployment(t)
	pool := d.Scale(t, "app", 1, 3, 200*time.Millisecond)
	d.PutTable(t, 3, []string{"acme", "other"}, wiretest.Routes()...)
	await(t, "the first server is registered", func() bool { return len(pool.Servers()) == 1 })
	return d, pool
}

// startLoad keeps a number of requests running until the test ends or the returned
// function is called.
func (g *gateway) startLoad(t *testing.T, requests int) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					g.send(t, http.MethodPost, "/look/x", "key-acme", strconv.Itoa(i)+"."+strconv.Itoa(n), nil)
				}
			}
		})
	}
	stop = sync.OnceFunc(func() { close(done); group.Wait() })
	t.Cleanup(stop)
	return stop
}

// Guards against a pool that doesn't grow: the callers outnumber the slots of one server, and
// without more servers, callers wait or are refused until the load ends.
func TestPoolGrows(t *testing.T) {
	d, pool := newScalingDeployment(t)
	g := d.start(t, "g1")
	pool.SetServiceTime(50 * time.Millisecond)
	g.startLoad(t, 7)
	await(t, "all servers are ordered", func() bool { return pool.Wanted() == 3 })
	await(t, "all servers are registered", func() bool { return len(pool.Servers()) == 3 })
}

// Guards against an order that is lost, or whose response is lost, being treated as done:
// the pool would keep its size.
func TestOrderWithoutAnswer(t *testing.T) {
	d, pool := newScalingDeployment(t)
	g := d.start(t, "g1")
	pool.SetServiceTime(50 * time.Millisecond)
	pool.DropOrders(2)
	g.startLoad(t, 7)
	await(t, "all servers are ordered", func() bool { return pool.Wanted() == 3 })
}

// The holder of the order duty dies. The next holder must send orders under a higher fencing token,
// and orders of the two holders must not alternate.
func TestNextHolderOrders(t *testing.T) {
	d, pool := newScalingDeployment(t)
	first, second := d.start(t, "g1"), d.start(t, "g2")
	pool.SetServiceTime(50 * time.Millisecond)
	stop := second.startLoad(t, 5)
	await(t, "a second server is ordered", func() bool { return pool.Wanted() == 2 })
	holders := pool.Holders()
	other := map[string]*gateway{"g1": second, "g2": first}[holders[0]]
	stop()
	map[string]*gateway{"g1": first, "g2": second}[holders[0]].shutDown()
	other.startLoad(t, 8)
	await(t, "the third server is ordered", func() bool { return pool.Wanted() == 3 })
	holders = pool.Holders()
	must.SliceLen(t, 2, holders)
}
