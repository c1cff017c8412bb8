package mirror_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// copied is what a mirror has taken.
type copied struct {
	mutex  sync.Mutex
	values map[string]string
}

func (c *copied) take(changes []platform.Value) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, change := range changes {
		if change.Deleted {
			delete(c.values, change.Key)
		} else {
			c.values[change.Key] = string(change.Data)
		}
	}
}

func (c *copied) get(key string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.values[key]
}

// run runs a mirror of "p/" on a store.
func run(t *testing.T, store *platformtest.Store, change func(*mirror.Mirror)) (*mirror.Mirror, *copied) {
	t.Helper()
	taken := &copied{values: map[string]string{}}
	m := &mirror.Mirror{Store: store, Prefix: "p/", Wait: 50 * time.Millisecond, OnChanges: taken.take}
	if change != nil {
		change(m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return m, taken
}

func put(t *testing.T, store *platformtest.Store, key, value string) {
	t.Helper()
	_, err := store.Commit(t.Context(), platform.Commit{Writes: []platform.Write{{Key: key, Data: []byte(value)}}})
	must.NoError(t, err)
}

func awaitValue(t *testing.T, taken *copied, key, value string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return taken.get(key) == value }), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}

func TestMirror(t *testing.T) {
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	_, taken := run(t, store, nil)
	awaitValue(t, taken, "p/a", "1")
	put(t, store, "p/a", "2")
	awaitValue(t, taken, "p/a", "2")
	_, err := store.Commit(t.Context(), platform.Commit{Remove: []string{"p/a"}})
	must.NoError(t, err)
	awaitValue(t, taken, "p/a", "")
}

// The store drops its history while a watch hears nothing. A key that was
// withdrawn meanwhile is in no change any more: what is missing from the new
// list has to be taken as removed.
func TestHistoryDropped(t *testing.T) {
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	_, taken := run(t, store, nil)
	awaitValue(t, taken, "p/a", "1")
	store.SetWatchesSilent(true)
	_, err := store.Commit(t.Context(), platform.Commit{Remove: []string{"p/a"}})
	must.NoError(t, err)
	put(t, store, "p/b", "1")
	store.Compact()
	store.SetWatchesSilent(false)
	awaitValue(t, taken, "p/b", "1")
	awaitValue(t, taken, "p/a", "")
}

func TestOutage(t *testing.T) {
	store := &platformtest.Store{}
	var mutex sync.Mutex
	var told []string
	tell := func(text string) func() {
		return func() {
			mutex.Lock()
			defer mutex.Unlock()
			told = append(told, text)
		}
	}
	_, taken := run(t, store, func(m *mirror.Mirror) { m.OnLost, m.OnRegained = tell("lost"), tell("regained") })
	put(t, store, "p/a", "1")
	awaitValue(t, taken, "p/a", "1")
	store.SetUnavailable(true)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(told) == 1
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	store.SetUnavailable(false)
	put(t, store, "p/a", "2")
	awaitValue(t, taken, "p/a", "2")
	mutex.Lock()
	defer mutex.Unlock()
	must.Eq(t, []string{"lost", "regained"}, told)
}

// Two gateways each take the other for the one that watches the store. Served
// from what they heard of each other, both would hear nothing new for good. One
// that has not watched of late helps nobody.
func TestFollowEachOther(t *testing.T) {
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	var first, second *mirror.Mirror
	follow := func(other **mirror.Mirror) func(context.Context, string, uint64) (platform.ListReply, bool) {
		return func(ctx context.Context, _ string, after uint64) (platform.ListReply, bool) {
			return (*other).Changes(ctx, after, 20*time.Millisecond)
		}
	}
	var ready sync.WaitGroup
	ready.Add(1)
	first, firstTaken := run(t, store, func(m *mirror.Mirror) {
		m.Follow = func(ctx context.Context, prefix string, after uint64) (platform.ListReply, bool) {
			ready.Wait()
			return follow(&second)(ctx, prefix, after)
		}
	})
	second, secondTaken := run(t, store, func(m *mirror.Mirror) { m.Follow = follow(&first) })
	ready.Done()
	awaitValue(t, firstTaken, "p/a", "1")
	awaitValue(t, secondTaken, "p/a", "1")
	put(t, store, "p/a", "2")
	awaitValue(t, firstTaken, "p/a", "2")
	awaitValue(t, secondTaken, "p/a", "2")
}

// A follower gets changes from the one that watches, without a call of its own.
func TestFollow(t *testing.T) {
	store := &platformtest.Store{}
	watcher, watched := run(t, store, nil)
	put(t, store, "p/a", "1")
	awaitValue(t, watched, "p/a", "1")
	_, taken := run(t, store, func(m *mirror.Mirror) {
		m.Follow = func(ctx context.Context, _ string, after uint64) (platform.ListReply, bool) {
			return watcher.Changes(ctx, after, 20*time.Millisecond)
		}
	})
	awaitValue(t, taken, "p/a", "1")
	put(t, store, "p/a", "2")
	awaitValue(t, taken, "p/a", "2")
}

// The store is away, and with it all gateways that follow one watcher. Each asked
// as often as the watcher: 18 of them made as many calls in seven seconds as in
// the 50 before. A follower asks seldom, and still finds the store's return.
func TestFollowersAskSeldom(t *testing.T) {
	calls := func(isWatcher bool) int {
		store := &platformtest.Store{}
		put(t, store, "p/a", "1")
		_, taken := run(t, store, func(m *mirror.Mirror) { m.IsWatcher = func() bool { return isWatcher } })
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return taken.get("p/a") == "1" }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
		store.SetUnavailable(true)
		before := store.Calls()
		time.Sleep(1200 * time.Millisecond)
		made := store.Calls() - before
		store.SetUnavailable(false)
		put(t, store, "p/a", "2")
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return taken.get("p/a") == "2" }), wait.Timeout(2*time.Second), wait.Gap(time.Millisecond)))
		return made
	}
	must.LessEq(t, 4, calls(false))
	must.GreaterEq(t, 5, calls(true))
}
