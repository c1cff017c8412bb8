package lists_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

var ctx = context.Background()

func listsWith(weight float64) *listpb.Config {
	return listpb.Config_builder{
		Accounts: []*listpb.Account{listpb.Account_builder{Name: "a", Plan: "gold"}.Build()},
		Plans:    []*listpb.Plan{listpb.Plan_builder{Name: "gold", Weight: weight}.Build()},
	}.Build()
}

func mustPut(t *testing.T, editor *lists.Editor, base uint64, weight float64) {
	t.Helper()
	id := strconv.FormatUint(base, 10) + strconv.FormatFloat(weight, 'g', -1, 64)
	_, _, err := editor.Put(ctx, lists.Edit{Base: base, Lists: listsWith(weight), Operator: "ann", ID: id})
	must.NoError(t, err)
}

func mustHave(t *testing.T, editor *lists.Editor, number uint64, weight float64, keys int) {
	t.Helper()
	config, _, err := editor.Config(ctx)
	must.NoError(t, err)
	must.Eq(t, number, config.GetLists())
	must.Eq(t, weight, config.GetPlans()[0].GetWeight())
	must.Len(t, keys, config.GetKeys())
}

// Two operators edit the same lists, and the first edit is accepted. The second edit would silently
// overwrite the first. It must be rejected as a whole, and the error must contain the current
// lists.
func TestStaleEditIsRejected(t *testing.T) {
	editor := &lists.Editor{Store: &platformtest.Store{}}
	mustPut(t, editor, 0, 1)
	mustPut(t, editor, 1, 2)
	_, _, err := editor.Put(ctx, lists.Edit{Base: 1, Lists: listsWith(3), Operator: "bob", ID: "x"})
	var stale *lists.StaleError
	must.True(t, errors.As(err, &stale))
	must.Eq(t, 2, stale.Present.GetLists())
	must.Eq(t, 2, stale.Revision)
	must.Eq(t, "~ plan gold: weight = 2 -> 3", lists.Diff(stale.Present, listsWith(3))[0].String())
	mustHave(t, editor, 2, 2, 0)
}

// Two operators apply edits concurrently through two entries: both read lists 1
// before either writes. One edit must be accepted, the other rejected as stale.
func TestRacingOperators(t *testing.T) {
	store := &platformtest.Store{}
	editor := &lists.Editor{Store: store}
	mustPut(t, editor, 0, 1)
	store.BeforeNextSwap(func() { mustPut(t, editor, 1, 2) })
	_, _, err := editor.Put(ctx, lists.Edit{Base: 1, Lists: listsWith(3), Operator: "bob", ID: "x"})
	var stale *lists.StaleError
	must.True(t, errors.As(err, &stale))
	mustHave(t, editor, 2, 2, 0)
}

// After a restore from a backup, the store holds an older configuration. It would accept an edit
// that takes effect in no process.
func TestStoreBehindIsRejected(t *testing.T) {
	editor := &lists.Editor{Store: &platformtest.Store{}, InForce: func() uint64 { return 7 }}
	_, _, err := editor.Put(ctx, lists.Edit{Lists: listsWith(1), Operator: "ann", ID: "x"})
	var behind *lists.BehindError
	must.True(t, errors.As(err, &behind))
}

// The store accepts an edit, but its reply is lost. If the retry didn't read the store first, it
// would conflict with its own edit, and the operator would get a StaleError for an edit that is in
// force.
func TestLostReplyIsRecognised(t *testing.T) {
	store := &platformtest.Store{}
	editor := &lists.Editor{Store: store}
	store.LoseAnswers(1)
	mustPut(t, editor, 0, 1)
	mustHave(t, editor, 1, 1, 0)
	store.LoseAnswers(1)
	_, err := editor.Grant(ctx, lists.HashKey("k"), "a", "ann")
	must.NoError(t, err)
	mustHave(t, editor, 1, 1, 1)
	must.Eq(t, 2, store.Writes())
}

// An operator edits the lists while another operator grants a key: both change the same value of
// the store. Neither change may be lost or rejected as a conflict.
func TestGrantDoesNotConflictWithEdit(t *testing.T) {
	store := &platformtest.Store{}
	editor := &lists.Editor{Store: store}
	mustPut(t, editor, 0, 1)
	store.BeforeNextSwap(func() {
		_, err := editor.Grant(ctx, lists.HashKey("k"), "a", "bob")
		must.NoError(t, err)
	})
	mustPut(t, editor, 1, 2)
	mustHave(t, editor, 2, 2, 1)
}

// Five operators grant keys concurrently: no grant may be lost.
func TestManyGrantsAtOnce(t *testing.T) {
	editor := &lists.Editor{Store: &platformtest.Store{}}
	mustPut(t, editor, 0, 1)
	var group sync.WaitGroup
	for i := range 5 {
		group.Go(func() {
			_, err := editor.Grant(ctx, lists.HashKey(strconv.Itoa(i)), "a", "ann")
			must.NoError(t, err)
		})
	}
	group.Wait()
	mustHave(t, editor, 1, 1, 5)
}

// The store becomes unavailable during an edit. The operator must be shown neither "refused" nor
// "done", since the outcome is unknown.
func TestOutageIsUncertain(t *testing.T) {
	store := &platformtest.Store{}
	editor := &lists.Editor{Store: store}
	store.SetUnavailable(true)
	_, _, err := editor.Put(ctx, lists.Edit{Lists: listsWith(1), Operator: "ann", ID: "x"})
	var uncertain *lists.UncertainError
	must.True(t, errors.As(err, &uncertain))
}

// The reply to a grant is lost and the operator retries. Meanwhile the key has leaked and was
// withdrawn, before or after the first attempt reached the store: the late grant must not make the
// key valid again.
func TestWithdrawnKeyIsNeverGranted(t *testing.T) {
	for name, grantedBefore := range map[string]bool{"granted before": true, "never granted": false} {
		t.Run(name, func(t *testing.T) {
			editor := &lists.Editor{Store: &platformtest.Store{}}
			mustPut(t, editor, 0, 1)
			hash := lists.HashKey("k")
			if grantedBefore {
				_, err := editor.Grant(ctx, hash, "a", "ann")
				must.NoError(t, err)
			}
			withdrawal := peerpb.Withdrawal_builder{Key: hash, Operator: "ann"}.Build()
			_, err := editor.Withdraw(ctx, []*peerpb.Withdrawal{withdrawal})
			must.NoError(t, err)
			_, err = editor.Grant(ctx, hash, "a", "ann")
			var invalid *lists.InvalidError
			must.True(t, errors.As(err, &invalid))
		})
	}
}

func TestInvalidChanges(t *testing.T) {
	editor := &lists.Editor{Store: &platformtest.Store{}}
	mustPut(t, editor, 0, 1)
	tests := map[string]func() error{
		"unknown account": func() error {
			_, err := editor.Grant(ctx, lists.HashKey("k"), "nobody", "ann")
			return err
		},
		"no hash": func() error {
			_, err := editor.Grant(ctx, "k", "a", "ann")
			return err
		},
		"unknown plan": func() error {
			bad := listpb.Config_builder{Accounts: []*listpb.Account{listpb.Account_builder{Name: "a", Plan: "x"}.Build()}}.Build()
			_, _, err := editor.Put(ctx, lists.Edit{Base: 1, Lists: bad})
			return err
		},
		"too large": func() error {
			large := listsWith(1)
			large.GetPlans()[0].SetTrainers([]string{strings.Repeat("t", 1<<20)})
			_, _, err := editor.Put(ctx, lists.Edit{Base: 1, Lists: large})
			return err
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			var invalid *lists.InvalidError
			must.True(t, errors.As(change(), &invalid))
			mustHave(t, editor, 1, 1, 0)
		})
	}
}
