package poison

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	testPrefix   = "live/poison/"
	awaitTimeout = 5 * time.Second
)

var errCut = refusal.Unknown(http.StatusBadGateway, backend.CodeInterrupted, "cut")

// fleet is some gateways that share a store.
type fleet struct {
	t        *testing.T
	store    fleetStore
	gateways []*Quarantine
	// skipped is added to the time of all gateways.
	skipped atomic.Int64
}

// fleetStore is a store that gateways write and watch.
type fleetStore interface {
	Store
	mirror.Store
	SetUnavailable(unavailable bool)
	LoseAnswers(number int)
}

func newFleet(t *testing.T, gateways int) *fleet {
	t.Helper()
	return newFleetOf(t, &platformtest.Store{}, gateways)
}

func newFleetOf(t *testing.T, store fleetStore, gateways int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: store}
	for range gateways {
		q := &Quarantine{Store: f.store, Prefix: testPrefix, now: func() clock.Boot { return clock.Now().Add(time.Duration(f.skipped.Load())) }}
		m := &mirror.Mirror{Store: f.store, Prefix: testPrefix, Wait: 100 * time.Millisecond, OnChanges: q.ApplyChanges}
		f.run(q.Run)
		f.run(m.Run)
		f.gateways = append(f.gateways, q)
	}
	return f
}

// run runs a task until the test ends.
func (f *fleet) run(task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = task(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

func (f *fleet) skip(length time.Duration) { f.skipped.Add(int64(length)) }

func (f *fleet) track(gateway int, body string) *Tracker {
	return f.gateways[gateway].Track("id", Identity{Account: "acme", Method: http.MethodPost, Host: "h", Target: "/look/x", Body: []byte(body)})
}

// crash sends a copy of a request through a gateway, under which servers crash.
func (f *fleet) crash(gateway int, body string, servers ...string) {
	tracker := f.track(gateway, body)
	defer tracker.Close()
	for _, server := range servers {
		tracker.RecordFailure(context.Background(), server, errCut)
	}
}

func (f *fleet) isAdmitted(gateway int, body string) bool {
	return f.track(gateway, body).HeldFor() == 0
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(awaitTimeout), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// awaitQuarantine waits until all gateways refuse a request.
func (f *fleet) awaitQuarantine(body string) {
	f.t.Helper()
	for gateway := range f.gateways {
		f.await(fmt.Sprint("gateway ", gateway, " refuses"), func() bool { return !f.isAdmitted(gateway, body) })
	}
}

// stored returns the number of suspects in the store.
func (f *fleet) stored() int {
	list, err := f.store.List(context.Background(), testPrefix)
	must.NoError(f.t, err)
	return len(list.Values)
}

// Guards against a request that each gateway lets crash servers of its own, because none counts what the others saw.
func TestCrashesCountOverAllGateways(t *testing.T) {
	f := newFleet(t, 3)
	f.crash(0, "poison", "a")
	f.crash(1, "poison", "b")
	f.crash(2, "poison", "c")
	f.awaitQuarantine("poison")
	must.True(t, f.isAdmitted(0, "another body"))
	err := f.track(1, "poison").Admit(t.Context())
	must.True(t, refusal.IsNotRun(err))
	must.Eq(t, http.StatusServiceUnavailable, refusal.Of(err).Status)
	must.Positive(t, refusal.Of(err).RetryAfter)
}

// Guards against one crash that counts as several because several copies ran on the server.
func TestOneCrashUnderSeveralCopiesCountsOnce(t *testing.T) {
	f := newFleet(t, 2)
	for range 3 {
		f.crash(0, "popular", "a")
		f.crash(1, "popular", "a")
	}
	f.await("the crash is stored", func() bool { return f.stored() == 1 })
	f.crash(0, "popular", "b")
	must.True(t, f.isAdmitted(0, "popular"))
}

// Guards against a write for each request that was running on a server when it crashed.
func TestRequestThatAnotherServerAnswersIsNotWritten(t *testing.T) {
	f := newFleet(t, 1)
	tracker := f.track(0, "innocent")
	tracker.RecordFailure(t.Context(), "a", errCut)
	tracker.RecordAnswer(http.StatusOK)
	tracker.Close()
	f.crash(0, "poison", "b")
	f.await("the unanswered request is stored", func() bool { return f.stored() == 1 })
	must.Len(t, 1, f.suspects(0))
}

// Guards against requests that stay suspected though servers answer them.
func TestAnswerEndsSuspicionEverywhere(t *testing.T) {
	f := newFleet(t, 2)
	f.crash(0, "popular", "a", "b")
	f.await("the suspect is known", func() bool { return len(f.suspects(1)) == 1 })
	f.track(1, "popular").RecordAnswer(http.StatusOK)
	f.await("the suspect is removed", func() bool { return f.stored() == 0 && len(f.suspects(0)) == 0 })
	f.crash(0, "popular", "c")
	must.True(t, f.isAdmitted(0, "popular"))
}

// suspects returns the fingerprints that a gateway knows.
func (f *fleet) suspects(gateway int) []string {
	q := f.gateways[gateway]
	q.lock()
	defer q.mutex.Unlock()
	var fingerprints []string
	for fingerprint := range q.suspects {
		fingerprints = append(fingerprints, fingerprint)
	}
	return fingerprints
}

// Guards against a trial by each gateway, each of which could crash a server.
func TestOneTrialOverAllGateways(t *testing.T) {
	f := newFleet(t, 3)
	f.crash(0, "poison", "a", "b", "c")
	f.awaitQuarantine("poison")
	for trial, delay := range trialDelays {
		must.Eq(t, 0, f.admitEverywhere("poison"))
		f.skip(delay.max())
		must.Eq(t, 1, f.admitEverywhere("poison"))
		f.crash(1, "poison", fmt.Sprint("on trial ", trial))
		f.await("all know the crash", func() bool { return f.knowCrashes("poison", 4+trial) })
	}
	f.skip(retention / 2)
	must.Eq(t, 0, f.admitEverywhere("poison"))
}

// admitEverywhere sends a copy through each gateway at once and returns how many were admitted.
func (f *fleet) admitEverywhere(body string) int {
	admitted := make(chan bool, len(f.gateways))
	for gateway := range f.gateways {
		go func() { admitted <- f.track(gateway, body).Admit(context.Background()) == nil }()
	}
	count := 0
	for range f.gateways {
		if <-admitted {
			count++
		}
	}
	return count
}

// knowCrashes reports whether all gateways know a number of crashes.
func (f *fleet) knowCrashes(body string, crashes int) bool {
	fingerprint := f.track(0, body).fingerprint()
	for _, q := range f.gateways {
		q.lock()
		known := q.suspects[fingerprint]
		isKnown := known != nil && len(known.servers) == crashes
		q.mutex.Unlock()
		if !isKnown {
			return false
		}
	}
	return true
}

// Guards against an innocent request that stays refused because it was running on three servers that crashed.
func TestTrialFreesAnInnocentRequest(t *testing.T) {
	f := newFleet(t, 2)
	f.crash(0, "innocent", "a", "b", "c")
	f.awaitQuarantine("innocent")
	f.skip(trialDelays[0].max())
	tracker := f.track(1, "innocent")
	must.NoError(t, tracker.Admit(t.Context()))
	tracker.RecordAnswer(http.StatusOK)
	tracker.Close()
	f.await("nobody suspects it", func() bool { return f.stored() == 0 && len(f.suspects(0)) == 0 && len(f.suspects(1)) == 0 })
	must.True(t, f.isAdmitted(0, "innocent"))
	must.True(t, f.isAdmitted(1, "innocent"))
}

// Guards against crashes during a store outage that only one gateway ever knows.
func TestCrashesDuringAnOutageAreSharedAfterwards(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetUnavailable(true)
	f.crash(0, "poison", "a", "b")
	f.crash(0, "poison", "c")
	must.False(t, f.isAdmitted(0, "poison"))
	must.True(t, f.isAdmitted(1, "poison"))
	f.store.SetUnavailable(false)
	f.awaitQuarantine("poison")
}

// Guards against lost crashes when the answer to a write is lost or several gateways write at once.
func TestWritesAtOnceLoseNoCrash(t *testing.T) {
	f := newFleet(t, 4)
	f.store.LoseAnswers(2)
	for gateway := range f.gateways {
		f.crash(gateway, "poison", fmt.Sprint("server ", gateway))
	}
	f.await("all crashes are known", func() bool { return f.knowCrashes("poison", 4) })
}

// Guards against memory that grows with each request under which a server crashed.
func TestSuspectsAreBounded(t *testing.T) {
	q := &Quarantine{Store: &platformtest.Store{}, Prefix: testPrefix}
	for server := range maxCrashes {
		q.recordCrash("id", "poison", fmt.Sprint(server), 0)
	}
	for i := range maxSuspects + 100 {
		q.recordCrash("id", fmt.Sprint(i), "a", 0)
	}
	must.MapLen(t, maxSuspects, q.suspects)
	must.True(t, q.suspects["poison"].isQuarantined())
}

// Guards against callers that leave or run out of time, which end connections without a crash.
func TestEndedContextIsNoCrash(t *testing.T) {
	f := newFleet(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, server := range []string{"a", "b", "c"} {
		tracker := f.track(0, "abandoned")
		tracker.RecordFailure(ctx, server, errCut)
		tracker.Close()
	}
	must.True(t, f.isAdmitted(0, "abandoned"))
}

// Guards against crashes before an answer that count again with a crash after it.
func TestCrashAfterAnAnswerCountsAlone(t *testing.T) {
	f := newFleet(t, 2)
	f.crash(0, "popular", "a", "b")
	f.await("both know the crashes", func() bool { return f.knowCrashes("popular", 2) })
	f.track(1, "popular").RecordAnswer(http.StatusOK)
	f.crash(1, "popular", "c")
	f.await("both know one crash", func() bool { return f.knowCrashes("popular", 1) })
	time.Sleep(3 * gatherDelay)
	must.True(t, f.knowCrashes("popular", 1))
}

// Guards against an answer on trial that is lost because another gateway writes a crash of a copy that still ran.
func TestAnswerOnTrialOutlastsACrashElsewhere(t *testing.T) {
	f := newFleet(t, 2)
	f.crash(0, "innocent", "a", "b", "c")
	f.awaitQuarantine("innocent")
	f.skip(trialDelays[0].max())
	tracker := f.track(1, "innocent")
	must.NoError(t, tracker.Admit(t.Context()))
	f.crash(0, "innocent", "d")
	tracker.RecordAnswer(http.StatusOK)
	f.await("one crash counts", func() bool { return f.knowCrashes("innocent", 1) })
	must.True(t, f.isAdmitted(0, "innocent"))
	must.True(t, f.isAdmitted(1, "innocent"))
}

// Guards against a suspect that stays for good because the late answer of its write brings it back after its removal.
func TestLateAnswerOfAWriteBringsNothingBack(t *testing.T) {
	q := &Quarantine{Store: &platformtest.Store{}, Prefix: testPrefix}
	for server := range maxCrashes {
		q.recordCrash("id", "poison", fmt.Sprint(server), 0)
	}
	commit, _, err := q.commit()
	must.NoError(t, err)
	key := testPrefix + "poison"
	q.ApplyChanges([]platform.Value{{Key: key, Data: commit.Writes[0].Data, Revision: 5}, {Key: key, Revision: 6, Deleted: true}})
	q.applyCommit(commit, 5)
	must.MapEmpty(t, q.suspects)
}

// Guards against a suspect that a write under way puts into the store after an answer, and that nobody removes.
func TestAnswerDuringTheFirstWriteRemovesTheKey(t *testing.T) {
	store := &slowStore{Store: &platformtest.Store{}, began: make(chan struct{}, 1), goOn: make(chan struct{})}
	f := newFleetOf(t, store, 1)
	f.crash(0, "innocent", "a", "b")
	<-store.began
	f.track(0, "innocent").RecordAnswer(http.StatusOK)
	close(store.goOn)
	f.await("the key is removed", func() bool { return f.stored() == 0 && len(f.suspects(0)) == 0 })
}

// slowStore holds each commit until it may go on.
type slowStore struct {
	*platformtest.Store

	began chan struct{}
	goOn  chan struct{}
}

func (s *slowStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	select {
	case s.began <- struct{}{}:
	default:
	}
	<-s.goOn
	return s.Store.Commit(ctx, commit)
}

// Guards against copies that wait for the store, each with a server's slot, while another copy claims the trial.
func TestOneClaimAtATime(t *testing.T) {
	store := &slowStore{Store: &platformtest.Store{}, began: make(chan struct{}, 1), goOn: make(chan struct{}, 1)}
	f := newFleetOf(t, store, 1)
	store.goOn <- struct{}{}
	f.crash(0, "poison", "a", "b", "c")
	f.await("the suspect is stored", func() bool { return f.stored() == 1 })
	<-store.began
	f.skip(trialDelays[0].max())
	claimed := make(chan error, 1)
	go func() { claimed <- f.track(0, "poison").Admit(context.Background()) }()
	<-store.began
	must.Error(t, f.track(0, "poison").Admit(t.Context()))
	must.Positive(t, f.track(0, "poison").HeldFor())
	close(store.goOn)
	must.NoError(t, <-claimed)
}

// Guards against trials that are used up by servers that were never reached.
func TestTrialLastsUntilAServerIsReached(t *testing.T) {
	f := newFleet(t, 1)
	f.crash(0, "innocent", "a", "b", "c")
	f.await("the suspect is stored", func() bool { return f.stored() == 1 })
	f.skip(trialDelays[0].max())
	tracker := f.track(0, "innocent")
	must.NoError(t, tracker.Admit(t.Context()))
	tracker.RecordFailure(t.Context(), "d", refusal.NotRun(http.StatusServiceUnavailable, backend.CodeUnreachable, "down"))
	must.NoError(t, tracker.Admit(t.Context()))
	tracker.RecordFailure(t.Context(), "e", refusal.NotRun(http.StatusServiceUnavailable, backend.CodeFull, "full"))
	must.Error(t, tracker.Admit(t.Context()))
}

// Guards against a crashing request that is freed by the errors of whatever stands before its servers.
func TestServerErrorEndsNoSuspicion(t *testing.T) {
	f := newFleet(t, 1)
	f.crash(0, "poison", "a", "b", "c")
	f.track(0, "poison").RecordAnswer(http.StatusBadGateway)
	must.False(t, f.isAdmitted(0, "poison"))
}

// Guards against suspects that stay in the store for good.
func TestSuspectsHaveALease(t *testing.T) {
	f := newFleet(t, 1)
	f.crash(0, "poison", "a", "b", "c")
	f.await("the suspect is stored", func() bool { return f.stored() == 1 })
	f.mustHaveLease()
	f.skip(trialDelays[0].max())
	must.NoError(t, f.track(0, "poison").Admit(t.Context()))
	f.mustHaveLease()
}

func (f *fleet) mustHaveLease() {
	f.t.Helper()
	list, err := f.store.List(context.Background(), testPrefix)
	must.NoError(f.t, err)
	for _, value := range list.Values {
		must.Positive(f.t, value.Lease)
	}
}

// Guards against writes of more keys at once than the store takes.
func TestManySuspectsAreWrittenInParts(t *testing.T) {
	store := &countingStore{Store: &platformtest.Store{}}
	f := newFleetOf(t, store, 2)
	const requests = 3 * maxKeysPerCommit
	for i := range requests {
		f.crash(0, fmt.Sprint("request ", i), "a")
	}
	f.await("all are stored and known", func() bool { return f.stored() == requests && len(f.suspects(1)) == requests })
	must.Eq(t, maxKeysPerCommit, int(store.mostKeys.Load()))
	must.Eq(t, requests/maxKeysPerCommit, int(store.commits.Load()))
	for i := range requests {
		f.track(1, fmt.Sprint("request ", i)).RecordAnswer(http.StatusOK)
	}
	f.await("all are removed", func() bool { return f.stored() == 0 && len(f.suspects(0)) == 0 && len(f.suspects(1)) == 0 })
}

// countingStore counts the commits and the keys of the largest one.
type countingStore struct {
	*platformtest.Store

	commits  atomic.Int64
	mostKeys atomic.Int64
}

func (c *countingStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	c.commits.Add(1)
	c.mostKeys.Store(max(c.mostKeys.Load(), int64(len(commit.Expect))))
	return c.Store.Commit(ctx, commit)
}

// max returns the longest delay of a trial.
func (d trialDelay) max() time.Duration { return d.min + d.spread }
