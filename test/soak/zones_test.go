package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	// drainKey drains the zone of the gateways, whose servers they prefer.
	drainKey  = "op/evacuate/z1"
	otherZone = "z2"
	// drainBound is within which every gateway that reaches the store leaves a drained zone.
	drainBound = 5 * time.Second
)

// drained returns the servers of the zone that is drained.
func (w *world) drained() []*wiretest.Sampler { return []*wiretest.Sampler{w.samplers[0], w.plain[0]} }

// spread leaves one server of each pool in the zone that is drained.
func (w *world) spread(t *testing.T) {
	t.Helper()
	for _, server := range slices.Concat(w.samplers[1:], w.plain[1:]) {
		server.MoveToZone(t, otherZone)
	}
}

// drain drains the zone and takes it back, by turns, until the load ends.
func (w *world) drain(g *group, random *rand.Rand) {
	for !g.isStopped() {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		w.operate(platform.Commit{Writes: []platform.Write{{Key: drainKey, Data: []byte("{}")}}})
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		w.operate(platform.Commit{Remove: []string{drainKey}})
	}
}

// operate writes to the store as an operator does, again and again while it is away.
func (w *world) operate(commit platform.Commit) {
	for {
		if _, err := w.Commit(context.Background(), commit); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkDrain checks that the zone's servers get nothing from any gateway once the
// bound is over, and are used again after that.
func (w *world) checkDrain(t *testing.T) {
	t.Helper()
	w.Put(t, drainKey, map[string]any{})
	time.Sleep(drainBound)
	before := w.drainedRuns()
	w.ask(t, "d")
	must.Eq(t, before, w.drainedRuns())
	w.RemoveKey(t, drainKey)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		w.ask(t, fmt.Sprint("e", time.Now().UnixNano()))
		return w.drainedRuns() > before
	}), wait.Timeout(drainBound), wait.Gap(50*time.Millisecond)))
}

func (w *world) drainedRuns() int {
	runs := 0
	for _, server := range w.drained() {
		runs += server.Total()
	}
	return runs
}

// ask sends look-ups to every gateway, each of which must serve some.
func (w *world) ask(t *testing.T, name string) {
	t.Helper()
	for _, p := range w.gateways {
		served := 0
		for i := range 10 {
			id := fmt.Sprint(name, p.name, "-", i)
			if status, _ := send(p, http.MethodPost, "/look/x", id, []byte(id), 3*time.Second); status == http.StatusOK {
				served++
			}
		}
		must.Positive(t, served, must.Sprint(p.name))
	}
}
