package mirror_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// replica holds the values that a mirror has passed to OnChanges.
type replica struct {
	mutex  sync.Mutex
	values map[string]string
}

func (r *replica) apply(changes []platform.Value) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, change := range changes {
		if change.Deleted {
			delete(r.values, change.Key)
		} else {
			r.values[change.Key] = string(change.Data)
		}
	}
}

func (r *replica) get(key string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.values[key]
}

// run runs a mirror of the prefix "p/" until the test ends.
func run(t *testing.T, store *platformtest.Store, configure func(*mirror.Mirror)) (*mirror.Mirror, *replica) {
	t.Helper()
	values := &replica{values: map[string]string{}}
	m := &mirror.Mirror{Store: store, Prefix: "p/", Wait: 50 * time.Millisecond, OnChanges: values.apply}
	if configure != nil {
		configure(m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return m, values
}

// follow returns the Follow of a mirror that follows another one.
func follow(other **mirror.Mirror) func(context.Context, string, uint64) (mirror.Update, mirror.FollowResult) {
	return func(ctx context.Context, _ string, after uint64) (mirror.Update, mirror.FollowResult) {
		update, ok := (*other).Changes(ctx, after, 20*time.Millisecond)
		if !ok {
			return mirror.Update{}, mirror.Unavailable
		}
		return update, mirror.Followed
	}
}

func put(t *testing.T, store *platformtest.Store, key, value string) {
	t.Helper()
	_, err := store.Commit(t.Context(), platform.Commit{Writes: []platform.Write{{Key: key, Data: []byte(value)}}})
	must.NoError(t, err)
}

func awaitValue(t *testing.T, values *replica, key, value string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return values.get(key) == value }), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}

func TestMirror(t *testing.T) {
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	_, values := run(t, store, nil)
	awaitValue(t, values, "p/a", "1")
	put(t, store, "p/a", "2")
	awaitValue(t, values, "p/a", "2")
	_, err := store.Commit(t.Context(), platform.Commit{Remove: []string{"p/a"}})
	must.NoError(t, err)
	awaitValue(t, values, "p/a", "")
}

// The store compacts its history while a watch is silent, so no change reports a
// key that was removed meanwhile. The mirror must treat keys missing from the next
// list as removed.
func TestHistoryDropped(t *testing.T) {
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	_, values := run(t, store, nil)
	awaitValue(t, values, "p/a", "1")
	store.SetWatchesSilent(true)
	_, err := store.Commit(t.Context(), platform.Commit{Remove: []string{"p/a"}})
	must.NoError(t, err)
	put(t, store, "p/b", "1")
	store.Compact()
	store.SetWatchesSilent(false)
	awaitValue(t, values, "p/b", "1")
	awaitValue(t, values, "p/a", "")
}

// Guards against a value that counts as removed because a list can't decode it.
func TestUnreadableValueIsNotRemoved(t *testing.T) {
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	put(t, store, "p/b", "1")
	_, values := run(t, store, nil)
	awaitValue(t, values, "p/b", "1")
	store.SetUnreadable("p/a", true)
	store.SetWatchesSilent(true)
	put(t, store, "p/b", "2")
	store.Compact()
	store.SetWatchesSilent(false)
	awaitValue(t, values, "p/b", "2")
	must.Eq(t, "1", values.get("p/a"))
}

func TestOutage(t *testing.T) {
	store := &platformtest.Store{}
	var mutex sync.Mutex
	var events []string
	record := func(event string) func() {
		return func() {
			mutex.Lock()
			defer mutex.Unlock()
			events = append(events, event)
		}
	}
	_, values := run(t, store, func(m *mirror.Mirror) { m.OnLost, m.OnRegained = record("lost"), record("regained") })
	put(t, store, "p/a", "1")
	awaitValue(t, values, "p/a", "1")
	store.SetUnavailable(true)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(events) == 1
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	store.SetUnavailable(false)
	put(t, store, "p/a", "2")
	awaitValue(t, values, "p/a", "2")
	mutex.Lock()
	defer mutex.Unlock()
	must.Eq(t, []string{"lost", "regained"}, events)
}

// Two gateways each assume that the other gateway watches the store. If each served the
// other with changes received by following, neither would ever receive a change. A
// process whose own watch is stale must refuse followers.
func TestFollowEachOther(t *testing.T) {
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	var first, second *mirror.Mirror
	var ready sync.WaitGroup
	ready.Add(1)
	first, firstValues := run(t, store, func(m *mirror.Mirror) {
		m.Follow = func(ctx context.Context, prefix string, after uint64) (mirror.Update, mirror.FollowResult) {
			ready.Wait()
			return follow(&second)(ctx, prefix, after)
		}
	})
	second, secondValues := run(t, store, func(m *mirror.Mirror) { m.Follow = follow(&first) })
	ready.Done()
	awaitValue(t, firstValues, "p/a", "1")
	awaitValue(t, secondValues, "p/a", "1")
	put(t, store, "p/a", "2")
	awaitValue(t, firstValues, "p/a", "2")
	awaitValue(t, secondValues, "p/a", "2")
}

// Guards against a cycle of processes that pass each other the same confirmation of the store, after both
// have watched it themselves for a while.
func TestCycleOfFollowersEnds(t *testing.T) {
	t.Parallel()
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	var first, second *mirror.Mirror
	var ready sync.WaitGroup
	ready.Add(1)
	var followed atomic.Int64
	first, firstValues := run(t, store, func(m *mirror.Mirror) {
		m.Follow = func(ctx context.Context, prefix string, after uint64) (mirror.Update, mirror.FollowResult) {
			ready.Wait()
			update, result := follow(&second)(ctx, prefix, after)
			if result == mirror.Followed {
				followed.Add(1)
			}
			return update, result
		}
	})
	second, secondValues := run(t, store, func(m *mirror.Mirror) { m.Follow = follow(&first) })
	ready.Done()
	awaitValue(t, firstValues, "p/a", "1")
	awaitValue(t, secondValues, "p/a", "1")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return followed.Load() > 0 }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	put(t, store, "p/a", "2")
	awaitValue(t, firstValues, "p/a", "2")
	awaitValue(t, secondValues, "p/a", "2")
}

// A follower gets changes from the watcher without calling the store.
func TestFollow(t *testing.T) {
	store := &platformtest.Store{}
	watcher, watcherValues := run(t, store, nil)
	put(t, store, "p/a", "1")
	awaitValue(t, watcherValues, "p/a", "1")
	_, values := run(t, store, func(m *mirror.Mirror) {
		m.Follow = follow(&watcher)
	})
	awaitValue(t, values, "p/a", "1")
	put(t, store, "p/a", "2")
	awaitValue(t, values, "p/a", "2")
}

// During a store outage, gateways that follow one watcher retried as often as the
// watcher: 18 gateways made as many calls in seven seconds as in the 50 seconds before.
// A follower must retry less often and still detect the recovery.
func TestFollowersRetryLessOften(t *testing.T) {
	calls := func(isWatcher bool) int {
		store := &platformtest.Store{}
		put(t, store, "p/a", "1")
		_, values := run(t, store, func(m *mirror.Mirror) { m.IsWatcher = func() bool { return isWatcher } })
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return values.get("p/a") == "1" }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
		store.SetUnavailable(true)
		before := store.Calls()
		time.Sleep(1200 * time.Millisecond)
		count := store.Calls() - before
		store.SetUnavailable(false)
		put(t, store, "p/a", "2")
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return values.get("p/a") == "2" }), wait.Timeout(2*time.Second), wait.Gap(time.Millisecond)))
		return count
	}
	must.LessEq(t, 4, calls(false))
	must.GreaterEq(t, 5, calls(true))
}

// Guards against a herd of lists when many processes start, or fall behind, at once: a follower gets
// all values from the process that it follows.
func TestFollowerListsFromAnotherProcess(t *testing.T) {
	t.Parallel()
	store, followed := &platformtest.Store{}, &platformtest.Store{}
	put(t, followed, "p/a", "1")
	source, sourceValues := run(t, followed, nil)
	awaitValue(t, sourceValues, "p/a", "1")
	_, values := run(t, store, func(m *mirror.Mirror) { m.Follow = follow(&source) })
	awaitValue(t, values, "p/a", "1")
	must.Eq(t, 0, store.Calls())
	t.Run("a value that is removed while the follower is behind", func(t *testing.T) {
		var behind atomic.Bool
		behind.Store(true)
		_, values := run(t, store, func(m *mirror.Mirror) {
			m.Follow = func(ctx context.Context, prefix string, after uint64) (mirror.Update, mirror.FollowResult) {
				for after > 0 && behind.Load() {
					time.Sleep(time.Millisecond)
				}
				return follow(&source)(ctx, prefix, after)
			}
		})
		awaitValue(t, values, "p/a", "1")
		for i := range 600 {
			put(t, followed, "p/b", strconv.Itoa(i))
		}
		_, err := followed.Commit(t.Context(), platform.Commit{Remove: []string{"p/a"}})
		must.NoError(t, err)
		awaitValue(t, sourceValues, "p/a", "")
		behind.Store(false)
		awaitValue(t, values, "p/b", "599")
		awaitValue(t, values, "p/a", "")
		must.Eq(t, 0, store.Calls())
	})
}

// Guards against followers that all call the store while it is down: they learn of the outage and of its
// end from the process that they follow.
func TestOutageReachesFollowersWithoutCalls(t *testing.T) {
	t.Parallel()
	store, unused := &platformtest.Store{}, &platformtest.Store{}
	put(t, store, "p/a", "1")
	source, _ := run(t, store, nil)
	var lost, regained atomic.Int64
	middle, _ := run(t, unused, func(m *mirror.Mirror) { m.Follow = follow(&source) })
	_, values := run(t, unused, func(m *mirror.Mirror) {
		m.Follow = follow(&middle)
		m.OnLost, m.OnRegained = func() { lost.Add(1) }, func() { regained.Add(1) }
	})
	awaitValue(t, values, "p/a", "1")
	store.SetUnavailable(true)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return lost.Load() == 1 }), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
	time.Sleep(500 * time.Millisecond)
	store.SetUnavailable(false)
	put(t, store, "p/a", "2")
	awaitValue(t, values, "p/a", "2")
	must.Eq(t, 1, lost.Load())
	must.Eq(t, 1, regained.Load())
	must.Eq(t, 0, unused.Calls())
}

// Guards against a process that learns of no change because all that it could follow are unreachable or
// not up to date.
func TestNobodyToFollow(t *testing.T) {
	t.Parallel()
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	_, values := run(t, store, func(m *mirror.Mirror) {
		m.Follow = func(context.Context, string, uint64) (mirror.Update, mirror.FollowResult) {
			return mirror.Update{}, mirror.Unavailable
		}
	})
	awaitValue(t, values, "p/a", "1")
	put(t, store, "p/a", "2")
	awaitValue(t, values, "p/a", "2")
}

// Guards against a follower that learns of no change while the store rejects only the process that it
// follows.
func TestFollowerOfAProcessThatTheStoreRejects(t *testing.T) {
	t.Parallel()
	rejecting, store := &platformtest.Store{}, &platformtest.Store{}
	put(t, rejecting, "p/a", "1")
	put(t, store, "p/a", "1")
	source, sourceValues := run(t, rejecting, nil)
	awaitValue(t, sourceValues, "p/a", "1")
	var lost, regained atomic.Int64
	_, values := run(t, store, func(m *mirror.Mirror) {
		m.Follow = follow(&source)
		m.OnLost, m.OnRegained = func() { lost.Add(1) }, func() { regained.Add(1) }
	})
	awaitValue(t, values, "p/a", "1")
	rejecting.SetUnavailable(true)
	put(t, store, "p/a", "2")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return values.get("p/a") == "2" }), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
	put(t, store, "p/a", "3")
	awaitValue(t, values, "p/a", "3")
	must.Eq(t, 1, lost.Load())
	must.Eq(t, 1, regained.Load())
}

// Guards against a process that takes over the watch of the store and isn't followed until its first watch
// ends: the last confirmation, which came over others, is old by then.
func TestTakeoverConfirmsAtOnce(t *testing.T) {
	t.Parallel()
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	list, err := store.List(t.Context(), "p/")
	must.NoError(t, err)
	var hasFollowed atomic.Bool
	m, values := run(t, store, func(m *mirror.Mirror) {
		m.Wait = time.Second
		m.Follow = func(context.Context, string, uint64) (mirror.Update, mirror.FollowResult) {
			if hasFollowed.Swap(true) {
				return mirror.Update{}, mirror.NotFollowing
			}
			return mirror.Update{ListReply: list, IsComplete: true, Age: 2 * time.Second}, mirror.Followed
		}
	})
	awaitValue(t, values, "p/a", "1")
	for end := time.Now().Add(900 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		_, ok := m.Changes(t.Context(), list.Revision, 0)
		must.True(t, ok)
	}
}

// Guards against a key that stays for good although it was removed: a process that lists all values anew
// gets them from one that has not heard of the removal.
func TestListOfAProcessThatIsBehind(t *testing.T) {
	t.Parallel()
	store := &platformtest.Store{}
	put(t, store, "p/a", "1")
	behind, err := store.List(t.Context(), "p/")
	must.NoError(t, err)
	var isBehind atomic.Bool
	_, values := run(t, store, func(m *mirror.Mirror) {
		m.Follow = func(_ context.Context, _ string, after uint64) (mirror.Update, mirror.FollowResult) {
			if isBehind.Load() && after == 0 {
				return mirror.Update{ListReply: behind, IsComplete: true}, mirror.Followed
			}
			return mirror.Update{}, mirror.NotFollowing
		}
	})
	awaitValue(t, values, "p/a", "1")
	_, err = store.Commit(t.Context(), platform.Commit{Remove: []string{"p/a"}})
	must.NoError(t, err)
	put(t, store, "p/b", "1")
	awaitValue(t, values, "p/b", "1")
	isBehind.Store(true)
	store.SetWatchesSilent(true)
	put(t, store, "p/b", "2")
	store.Compact()
	store.SetWatchesSilent(false)
	awaitValue(t, values, "p/b", "2")
	must.Eq(t, "", values.get("p/a"))
}

// Guards against followers that hear for a moment that the store is back, each time the process that they
// follow hears that it is still lost.
func TestLossIsPassedOnWithoutGaps(t *testing.T) {
	t.Parallel()
	source := mirror.Update{ListReply: platform.ListReply{Revision: 1}, IsComplete: true}
	var isLost atomic.Bool
	middle, _ := run(t, &platformtest.Store{}, func(m *mirror.Mirror) {
		m.Follow = func(_ context.Context, _ string, after uint64) (mirror.Update, mirror.FollowResult) {
			update := source
			update.IsComplete, update.IsStoreLost = after == 0, isLost.Load()
			return update, mirror.Followed
		}
	})
	isUpToDate := func() bool { _, ok := middle.Changes(t.Context(), 1, 0); return ok }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(isUpToDate), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
	isLost.Store(true)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(middle.IsStoreLost), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
		update, ok := middle.Changes(t.Context(), 1, 0)
		must.True(t, ok)
		must.True(t, update.IsStoreLost)
	}
}
