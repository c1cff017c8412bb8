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

// newScaled returns a world whose pool "app" has between one and three servers, by order.
func newScaled(t *testing.T) (*world, *wiretest.Scaling) {
	t.Helper()
	w := newWorld(t)
	pool := w.Scale(t, "app", 1, 3, 200*time.Millisecond)
	w.PutTable(t, 3, []string{"acme", "other"}, wiretest.Routes()...)
	await(t, "the first server is there", func() bool { return len(pool.Servers()) == 1 })
	return w, pool
}

// press keeps a number of requests running until the test or the returned
// function ends them.
func (g *gateway) press(t *testing.T, requests int) (stop func()) {
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

// More callers come than one server has slots for. Nobody orders a further
// server, and callers wait or are refused until they leave.
func TestPoolGrows(t *testing.T) {
	w, pool := newScaled(t)
	g := w.start(t, "g1")
	pool.SetWork(50 * time.Millisecond)
	g.press(t, 7)
	await(t, "all servers are ordered", func() bool { return pool.Wanted() == 3 })
	await(t, "all servers are there", func() bool { return len(pool.Servers()) == 3 })
}

// An order is taken without an answer, or never arrives. Taken for done, the pool
// stays as it is.
func TestOrderWithoutAnswer(t *testing.T) {
	w, pool := newScaled(t)
	g := w.start(t, "g1")
	pool.SetWork(50 * time.Millisecond)
	pool.LoseAnswers(2)
	g.press(t, 7)
	await(t, "all servers are ordered", func() bool { return pool.Wanted() == 3 })
}

// The holder dies. The next one orders under a higher fencing number, and both
// never order in turns.
func TestNextHolderOrders(t *testing.T) {
	w, pool := newScaled(t)
	first, second := w.start(t, "g1"), w.start(t, "g2")
	pool.SetWork(50 * time.Millisecond)
	stop := second.press(t, 5)
	await(t, "a second server is ordered", func() bool { return pool.Wanted() == 2 })
	holders := pool.Holders()
	other := map[string]*gateway{"g1": second, "g2": first}[holders[0]]
	stop()
	map[string]*gateway{"g1": first, "g2": second}[holders[0]].end()
	other.press(t, 8)
	await(t, "the third server is ordered", func() bool { return pool.Wanted() == 3 })
	holders = pool.Holders()
	must.SliceLen(t, 2, holders)
}
