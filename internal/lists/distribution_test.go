package lists_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// shortWait is the watch timeout and the sync interval in tests.
const shortWait = 100 * time.Millisecond

func mustBecome(t *testing.T, state func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(state), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
}

func newMembers() *member.Members {
	return member.NewMembers(peerpb.Process_builder{Name: "e1", Role: peerpb.Role_ROLE_ENTRY, State: peerpb.State_STATE_LIVE}.Build())
}

func run(t *testing.T, loop func(context.Context) error) {
	t.Helper()
	runCtx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- loop(runCtx) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

func startView(t *testing.T, store *platformtest.Store) (*member.Members, *lists.View) {
	t.Helper()
	members, view := newMembers(), &lists.View{}
	members.OnFact(member.FactConfig, view.Apply)
	members.OnWithdrawal(func(w *peerpb.Withdrawal) { view.Withdraw(w.GetKey()) })
	watcher := &lists.Watcher{Store: store, Prefix: member.FactConfig, Offer: members.Offer, Wait: shortWait}
	run(t, watcher.Run)
	return members, view
}

func listsNumber(view *lists.View) uint64 {
	config, _ := view.Config()
	return config.GetLists()
}

func TestWatcherPublishesChanges(t *testing.T) {
	store := &platformtest.Store{}
	editor := &lists.Editor{Store: store}
	_, view := startView(t, store)
	mustPut(t, editor, 0, 1)
	mustBecome(t, func() bool { return listsNumber(view) == 1 })
	mustPut(t, editor, 1, 2)
	mustBecome(t, func() bool { return listsNumber(view) == 2 })
}

// The watch of the store stops sending changes without an error. Without a timeout, an accepted
// edit would never take effect.
func TestSilentWatchIsNoticed(t *testing.T) {
	store := &platformtest.Store{}
	editor := &lists.Editor{Store: store}
	_, view := startView(t, store)
	mustPut(t, editor, 0, 1)
	mustBecome(t, func() bool { return listsNumber(view) == 1 })
	store.SetWatchesSilent(true)
	mustPut(t, editor, 1, 2)
	mustBecome(t, func() bool { return listsNumber(view) == 2 })
}

// The store fails and recovers, and the lists change before the watcher's next call. If the watcher
// stopped retrying, the process would keep the old lists.
func TestWatcherSurvivesOutage(t *testing.T) {
	store := &platformtest.Store{}
	editor := &lists.Editor{Store: store}
	_, view := startView(t, store)
	mustPut(t, editor, 0, 1)
	mustBecome(t, func() bool { return listsNumber(view) == 1 })
	store.SetUnavailable(true)
	calls := store.Calls()
	mustBecome(t, func() bool { return store.Calls() > calls+1 })
	must.Eq(t, 1, listsNumber(view))
	store.SetUnavailable(false)
	mustPut(t, editor, 1, 2)
	mustBecome(t, func() bool { return listsNumber(view) == 2 })
}

// A watch replies late, with a configuration older than the current one.
func TestViewIgnoresOlderRevisions(t *testing.T) {
	view := &lists.View{}
	old, err := proto.Marshal(listsWith(1))
	must.NoError(t, err)
	next, err := proto.Marshal(listsWith(2))
	must.NoError(t, err)
	view.Apply(peerpb.Fact_builder{Name: "config", Revision: 7, Value: next}.Build())
	view.Apply(peerpb.Fact_builder{Name: "config", Revision: 6, Value: old}.Build())
	config, revision := view.Config()
	must.Eq(t, 7, revision)
	must.Eq(t, 2.0, config.GetPlans()[0].GetWeight())
}

func TestWatchesOnlyInCharge(t *testing.T) {
	store := &platformtest.Store{}
	asked := make(chan bool, 1)
	watcher := &lists.Watcher{Store: store, Offer: newMembers().Offer, Wait: shortWait, IsResponsible: func() bool {
		select {
		case asked <- true:
		default:
		}
		return false
	}}
	run(t, watcher.Run)
	<-asked
	<-asked
	must.Eq(t, 0, store.Calls())
}

// A key is withdrawn during a store outage. No process accepts it from then on, but the store
// doesn't hold the withdrawal. The withdrawal must be written once the store recovers; otherwise
// the key would be accepted again after all processes have restarted.
func TestWithdrawalReachesStoreAfterOutage(t *testing.T) {
	store := &platformtest.Store{}
	editor := &lists.Editor{Store: store}
	members, view := startView(t, store)
	mustPut(t, editor, 0, 1)
	hash := lists.HashKey("k")
	_, err := editor.Grant(ctx, hash, "a", "ann")
	must.NoError(t, err)
	mustBecome(t, func() bool { _, granted := view.Grant(hash); return granted })

	store.SetUnavailable(true)
	members.Withdraw(peerpb.Withdrawal_builder{Key: hash, Operator: "bob"}.Build())
	syncer := &lists.WithdrawalSyncer{Members: members, Editor: editor, IsResponsible: func() bool { return true }, Interval: shortWait}
	run(t, syncer.Run)
	_, granted := view.Grant(hash)
	must.False(t, granted)
	calls := store.Calls()
	mustBecome(t, func() bool { return store.Calls() > calls+3 })
	must.Len(t, 1, members.Withdrawals())
	store.SetUnavailable(false)
	mustBecome(t, func() bool { return len(members.Withdrawals()) == 0 })

	config, _, err := editor.Config(ctx)
	must.NoError(t, err)
	must.True(t, config.GetKeys()[0].GetWithdrawn())
	must.Eq(t, "bob", config.GetChanges()[len(config.GetChanges())-1].GetOperator())
	_, granted = view.Grant(hash)
	must.False(t, granted)
}
