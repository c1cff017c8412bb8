package duty_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// actInterval is the time between two acts of a holder.
	actInterval = lease / 50
	// pollInterval is the time between two polls of a candidate.
	pollInterval = lease / 15
)

// act is what a holder does under its duty, such as an order.
type act struct {
	process string
	fence   uint64
	at      time.Time
}

// actLog records the acts of all processes.
type actLog struct {
	mutex sync.Mutex
	acts  []act
}

func (l *actLog) add(process string, fence uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acts = append(l.acts, act{process: process, fence: fence, at: time.Now()})
}

func (l *actLog) all() []act {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.acts)
}

// candidate is a process that starts, acts while it holds the duty, and ends.
type candidate struct {
	name   string
	rank   int
	store  *store
	acts   *actLog
	client *client
	stop   func()
	// isFaulty makes the work fail after its first act, isStopping makes it behave like a process that was asked to stop.
	isFaulty   atomic.Bool
	isStopping atomic.Bool
}

// client is a process's connection to the store.
type client struct {
	*store

	// isCut makes all further calls fail.
	isCut atomic.Bool
}

func (c *client) call(apply func() error) error {
	if c.isCut.Load() {
		return errConnectionLost
	}
	return apply()
}

func (c *client) Delete(ctx context.Context, key string, expect uint64) error {
	return c.call(func() error { return c.store.Delete(ctx, key, expect) })
}

func (c *client) Get(ctx context.Context, key string) (value platform.Value, err error) {
	err = c.call(func() error { value, err = c.store.Get(ctx, key); return err })
	return value, err
}

func (c *client) GrantLease(ctx context.Context, length time.Duration) (lease uint64, err error) {
	err = c.call(func() error { lease, err = c.store.GrantLease(ctx, length); return err })
	return lease, err
}

func (c *client) RenewLease(ctx context.Context, lease uint64, length time.Duration) error {
	return c.call(func() error { return c.store.RenewLease(ctx, lease, length) })
}

func (c *client) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (revision uint64, err error) {
	err = c.call(func() error {
		revision, err = c.store.CompareAndSwap(ctx, key, expect, data, lease)
		return err
	})
	return revision, err
}

// start starts the process. Like a gateway, it claims the key that its earlier start has left.
func (c *candidate) start(t *testing.T) {
	t.Helper()
	if c.stop != nil {
		return
	}
	c.client = &client{store: c.store}
	elector := newElector(c.client, c.name, c.rank)
	elector.PollInterval = pollInterval
	elector.PriorClaim = c.priorClaim
	elector.IsStopping = c.isStopping.Load
	c.stop = start(t, elector, c.work)
}

func (c *candidate) priorClaim() duty.PriorClaim {
	value, err := c.store.Get(context.Background(), duty.Key("order-a"))
	if err != nil {
		return duty.PriorClaim{}
	}
	holder, err := duty.ParseHolder(value)
	if err != nil || holder.GetProcess() != c.name {
		return duty.PriorClaim{}
	}
	return duty.PriorClaim{Revision: value.Revision, Fence: holder.GetFence()}
}

// work acts until the term ends.
func (c *candidate) work(ctx context.Context, term *duty.Term) error {
	for {
		c.acts.add(c.name, term.Fence())
		if c.isFaulty.Load() {
			return errors.New("the work failed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(actInterval):
		}
	}
}

// terminate ends the process as planned.
func (c *candidate) terminate() {
	if c.stop != nil {
		c.stop()
		c.stop = nil
	}
}

// kill ends the process without any further call.
func (c *candidate) kill() {
	if c.stop != nil {
		c.client.isCut.Store(true)
		c.terminate()
	}
}

// mustNotAlternate checks that no process acts, after another one has, within a lease of its own earlier act, that no
// fencing token is lower than an earlier one, and that no two processes have the same.
func mustNotAlternate(t *testing.T, acts []act) {
	t.Helper()
	last := map[string]time.Time{}
	holders := map[uint64]string{}
	var previous act
	for _, current := range acts {
		if before, has := last[current.process]; has && previous.process != current.process {
			must.GreaterEq(t, lease, current.at.Sub(before), must.Sprintf("%s acts again after %s", current.process, previous.process))
		}
		must.GreaterEq(t, previous.fence, current.fence, must.Sprint("fencing tokens don't fall"))
		if holder, has := holders[current.fence]; has {
			must.Eq(t, holder, current.process, must.Sprint("each fencing token has one holder"))
		}
		last[current.process], holders[current.fence] = current.at, current.process
		previous = current
	}
}

// Guards against orders of two processes that alternate within a lease, which a receiver that checks no fencing tokens
// can't tell from two holders at once.
func TestHoldersDoNotAlternateWithinALease(t *testing.T) {
	ends := map[string]func(second *candidate){
		"the second holder is terminated": (*candidate).terminate,
		"the second holder is killed":     (*candidate).kill,
		"the second holder's work fails": func(second *candidate) {
			second.isFaulty.Store(true)
			time.Sleep(lease)
			second.terminate()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, acts := newStore(), &actLog{}
				first := &candidate{name: "p1", store: store, acts: acts}
				second := &candidate{name: "p2", store: store, acts: acts}
				first.start(t)
				time.Sleep(2 * lease)
				second.start(t)
				first.terminate()
				time.Sleep(lease / 10)
				first.start(t)
				end(second)
				time.Sleep(3 * lease)
				first.terminate()
				recorded := acts.all()
				must.Eq(t, "p1", recorded[len(recorded)-1].process)
				mustNotAlternate(t, recorded)
			})
		})
	}
}

// Guards against alternating holders in any order of starts, planned stops, kills and lost connections to the store.
func TestHoldersDoNotAlternateInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { alternateAtRandom(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func alternateAtRandom(t *testing.T, random *rand.Rand) {
	t.Helper()
	store, acts := newStore(), &actLog{}
	var candidates []*candidate
	for _, name := range []string{"p1", "p2", "p3"} {
		candidates = append(candidates, &candidate{name: name, store: store, acts: acts})
	}
	for range 60 {
		chosen := candidates[random.IntN(len(candidates))]
		switch random.IntN(8) {
		case 0, 1, 2, 3:
			chosen.start(t)
		case 4, 5:
			chosen.terminate()
		case 6:
			chosen.kill()
		case 7:
			if chosen.client != nil {
				chosen.client.isCut.Store(!chosen.client.isCut.Load())
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(lease / 2))))
	}
	for _, each := range candidates {
		each.terminate()
	}
	must.SliceNotEmpty(t, acts.all())
	mustNotAlternate(t, acts.all())
}

// Guards against a stopping process that takes a duty over: its short term would leave the duty without a holder for a
// lease.
func TestStoppingProcessAcquiresNoDuty(t *testing.T) {
	for name, stopAfter := range map[string]time.Duration{
		"asked before it sees the free duty": 0,
		"asked while it waits for its turn":  tick,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, acts := newStore(), &actLog{}
				stopping := &candidate{name: "p1", store: store, acts: acts, rank: 2}
				other := &candidate{name: "p2", store: store, acts: acts}
				stopping.isStopping.Store(stopAfter == 0)
				stopping.start(t)
				time.Sleep(stopAfter)
				stopping.isStopping.Store(true)
				time.Sleep(lease)
				must.SliceEmpty(t, acts.all())
				other.start(t)
				time.Sleep(lease)
				stopping.terminate()
				other.terminate()
				must.Eq(t, "p2", acts.all()[0].process)
			})
		})
	}
}

// slowStore delays the creation of the duty's key after the grant of its lease.
type slowStore struct {
	*client
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	time.Sleep(swapDelay)
	return s.client.CompareAndSwap(ctx, key, expect, data, lease)
}

// swapDelay is a part of a lease that shows in the time between two holders.
const swapDelay = lease / 5

// Guards against a key that expires with its holder less than a lease after the previous holder acted: the previous holder
// released the duty between the grant of the lease and the creation of the key.
func TestKeyOutlastsItsCreationByALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, acts := newStore(), &actLog{}
		first := &candidate{name: "p1", store: store, acts: acts}
		second := &candidate{name: "p2", store: store, acts: acts}
		first.start(t)
		time.Sleep(2 * lease)
		second.client = &client{store: store}
		elector := newElector(&slowStore{client: second.client}, second.name, 0)
		elector.IsFree = func() bool { return true }
		second.stop = start(t, elector, second.work)
		time.Sleep(swapDelay - tick)
		first.terminate()
		time.Sleep(lease / 10)
		second.kill()
		first.start(t)
		time.Sleep(3 * lease)
		first.terminate()
		recorded := acts.all()
		must.Eq(t, "p1", recorded[len(recorded)-1].process)
		must.True(t, slices.ContainsFunc(recorded, func(each act) bool { return each.process == second.name }))
		mustNotAlternate(t, recorded)
	})
}

// Guards against a duty that nobody does for longer than a lease and some polls after its holder was stopped early.
func TestDutyIsFreeALeaseAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, acts := newStore(), &actLog{}
		first := &candidate{name: "p1", store: store, acts: acts}
		second := &candidate{name: "p2", store: store, acts: acts}
		first.start(t)
		time.Sleep(lease * 4 / 5)
		second.start(t)
		first.terminate()
		time.Sleep(2 * lease)
		second.terminate()
		recorded := acts.all()
		next := slices.IndexFunc(recorded, func(each act) bool { return each.process == second.name })
		must.Between(t, lease, recorded[next].at.Sub(recorded[0].at), lease+2*pollInterval)
	})
}

// Guards against a duty that a process does not do for a lease because its work has failed once.
func TestProcessGoesOnAfterItsWorkFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, acts := newStore(), &actLog{}
		only := &candidate{name: "p1", store: store, acts: acts}
		only.isFaulty.Store(true)
		only.start(t)
		time.Sleep(pollInterval / 2)
		only.isFaulty.Store(false)
		time.Sleep(2 * pollInterval)
		only.terminate()
		recorded := acts.all()
		must.Less(t, 2*pollInterval, recorded[1].at.Sub(recorded[0].at))
		must.Greater(t, recorded[0].fence, recorded[1].fence)
		mustNotAlternate(t, recorded)
	})
}

// Guards against a restart within a lease that gets a new fencing token: late calls of the start before would count as
// calls of an earlier holder.
func TestRestartResumesARetainedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, acts := newStore(), &actLog{}
		only := &candidate{name: "p1", store: store, acts: acts}
		for range 2 {
			only.start(t)
			time.Sleep(lease / 5)
			only.terminate()
		}
		recorded := acts.all()
		must.Eq(t, recorded[0].fence, recorded[len(recorded)-1].fence)
		must.Greater(t, lease/5, recorded[len(recorded)-1].at.Sub(recorded[0].at))
	})
}
