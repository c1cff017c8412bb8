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
	// drainKey is the store key that drains z1. The gateways are in z1 and prefer its servers.
	drainKey  = "op/evacuate/z1"
	otherZone = "z2"
	// drainTimeout limits how long a gateway that reaches the store may use a drained zone.
	drainTimeout = 5 * time.Second
)

// drainedServers returns the servers of the zone that is drained.
func (d *deployment) drainedServers() []*wiretest.Sampler {
	return []*wiretest.Sampler{d.samplers[0], d.plain[0]}
}

// moveOthers moves all but one server of each pool out of the zone that is drained.
func (d *deployment) moveOthers(t *testing.T) {
	t.Helper()
	for _, server := range slices.Concat(d.samplers[1:], d.plain[1:]) {
		server.MoveToZone(t, otherZone)
	}
}

// drain alternately drains the zone and ends the drain until the load ends.
func (d *deployment) drain(g *group, random *rand.Rand) {
	for !g.isStopped() {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		d.commitWithRetry(platform.Commit{Writes: []platform.Write{{Key: drainKey, Data: []byte("{}")}}})
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		d.commitWithRetry(platform.Commit{Remove: []string{drainKey}})
	}
}

// commitWithRetry writes to the store as an operator does, and retries until it succeeds.
func (d *deployment) commitWithRetry(commit platform.Commit) {
	for {
		if _, err := d.Commit(context.Background(), commit); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkDrain checks that the zone's servers receive no requests from any gateway once drainTimeout
// has passed, and are used again after the drain ends.
func (d *deployment) checkDrain(t *testing.T) {
	t.Helper()
	d.Put(t, drainKey, map[string]any{})
	time.Sleep(drainTimeout)
	before := d.drainedRuns()
	d.mustServe(t, "d")
	must.Eq(t, before, d.drainedRuns())
	d.RemoveKey(t, drainKey)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		d.mustServe(t, fmt.Sprint("e", time.Now().UnixNano()))
		return d.drainedRuns() > before
	}), wait.Timeout(drainTimeout), wait.Gap(50*time.Millisecond)))
}

func (d *deployment) drainedRuns() int {
	runs := 0
	for _, server := range d.drainedServers() {
		runs += server.Total()
	}
	return runs
}

// mustServe sends look-ups to every gateway and requires each to serve some.
func (d *deployment) mustServe(t *testing.T, name string) {
	t.Helper()
	for _, p := range d.gateways {
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
