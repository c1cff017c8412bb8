package lists

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// KeyConfig is the store's key that holds the lists and keys.
const KeyConfig = "config"

const (
	mostTries   = 16
	mostSilent  = 3
	mostChanges = 50
	// maxConfigBytes stays below the megabyte that the store takes.
	maxConfigBytes = 900 << 10
	retryPause     = 50 * time.Millisecond
	hashLength     = 64
)

// StaleError says that the lists were changed since an edit began.
type StaleError struct {
	// Base is the number of the lists that the edit began from.
	Base uint64
	// Present is the configuration as it is now, Revision that of the store.
	Present  *listpb.Config
	Revision uint64
}

// Error names both numbers of the lists.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the edit began from lists %d, but lists %d are accepted now", e.Base, e.Present.GetLists())
}

// InvalidError says that a change can't be accepted as it is.
type InvalidError struct {
	Problem string
}

// Error names the problem.
func (e *InvalidError) Error() string { return e.Problem }

// UncertainError says that the store gave no answer within the bound, so that
// the change may or may not have been accepted.
type UncertainError struct {
	Cause error
}

// Error says what to do.
func (e *UncertainError) Error() string {
	return "the store gave no answer: the change may have been accepted or not; look at it, then try again: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// Swapper is what an Editor needs of the platform's store.
type Swapper interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// Editor changes the configuration in the store by compare-and-swap.
// Exported fields are set before the first call.
type Editor struct {
	Store Swapper
	// Accepted is called with each configuration that the store has accepted
	// or shown, so that it is in force here at once; nil is allowed.
	Accepted func(*peerpb.Fact) bool
	// InForce returns the revision in force here; nil is none.
	InForce func() uint64
	// Now is the clock; nil is the system's.
	Now func() time.Time
}

// BehindError says that the store shows an older configuration than the one in
// force, as after it was restored from a copy.
type BehindError struct {
	Revision uint64
	InForce  uint64
}

// Error names both revisions.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the store shows revision %d, older than revision %d in force: a change would never be in force", e.Revision, e.InForce)
}

// Edit is a change of both lists.
type Edit struct {
	// Base is the number of the lists that the edit began from.
	Base uint64
	// Lists holds the accounts, plans and pools wanted.
	Lists    *listpb.Config
	Operator string
	// ID is unique to the edit: a repeated edit is applied once.
	ID string
}

// Config returns the configuration in the store and its revision.
// A store without one returns an empty configuration at revision 0.
func (e *Editor) Config(ctx context.Context) (*listpb.Config, uint64, error) {
	value, err := e.Store.Get(ctx, KeyConfig)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return &listpb.Config{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	config := &listpb.Config{}
	if err := proto.Unmarshal(value.Data, config); err != nil {
		return nil, 0, &InvalidError{Problem: fmt.Sprintf("the store's configuration at revision %d can't be read: %v", value.Revision, err)}
	}
	e.accepted(value.Data, value.Revision)
	return config, value.Revision, nil
}

// Grant grants a key, known by its hash, to an account. A withdrawn hash is
// never granted again.
func (e *Editor) Grant(ctx context.Context, hash, account, operator string) (uint64, error) {
	if !isHash(hash) {
		return 0, &InvalidError{Problem: "the hash of a key has 64 hexadecimal digits"}
	}
	_, revision, err := e.update(ctx, func(config *listpb.Config) (bool, error) {
		if known := findKey(config, hash); known != nil {
			return false, checkGranted(known, account)
		}
		if !hasAccount(config, account) {
			return false, &InvalidError{Problem: "account " + account + " is not in the list"}
		}
		key := listpb.Key_builder{Hash: hash, Account: account, Time: e.now().Unix()}.Build()
		config.SetKeys(append(config.GetKeys(), key))
		e.note(config, operator, "key "+short(hash)+" granted to "+account, hash)
		return true, nil
	})
	return revision, err
}

// Put replaces both lists if none was changed since the edit began, else it
// returns a StaleError. It returns the accepted configuration.
func (e *Editor) Put(ctx context.Context, edit Edit) (*listpb.Config, uint64, error) {
	if err := Check(edit.Lists); err != nil {
		return nil, 0, &InvalidError{Problem: err.Error()}
	}
	return e.update(ctx, func(config *listpb.Config) (bool, error) {
		if hasChange(config, edit.ID) {
			return false, nil
		}
		if config.GetLists() != edit.Base {
			return false, &StaleError{Base: edit.Base, Present: proto.CloneOf(config)}
		}
		differences := Diff(config, edit.Lists)
		if len(differences) == 0 {
			return false, nil
		}
		config.SetLists(config.GetLists() + 1)
		config.SetAccounts(edit.Lists.GetAccounts())
		config.SetPlans(edit.Lists.GetPlans())
		config.SetPools(edit.Lists.GetPools())
		e.note(config, edit.Operator, Summary(differences), edit.ID)
		return true, nil
	})
}

// Withdraw marks keys as withdrawn, also those that the store has never seen,
// so that none of them can be granted later.
func (e *Editor) Withdraw(ctx context.Context, withdrawals []*peerpb.Withdrawal) (uint64, error) {
	_, revision, err := e.update(ctx, func(config *listpb.Config) (bool, error) {
		changed := false
		for _, withdrawal := range withdrawals {
			changed = e.withdraw(config, withdrawal) || changed
		}
		return changed, nil
	})
	return revision, err
}

func (e *Editor) withdraw(config *listpb.Config, withdrawal *peerpb.Withdrawal) bool {
	key := findKey(config, withdrawal.GetKey())
	if key == nil {
		key = listpb.Key_builder{Hash: withdrawal.GetKey(), Time: withdrawal.GetTime()}.Build()
		config.SetKeys(append(config.GetKeys(), key))
	}
	if key.GetWithdrawn() {
		return false
	}
	key.SetWithdrawn(true)
	summary := "key " + short(withdrawal.GetKey()) + " withdrawn"
	if key.GetAccount() != "" {
		summary += " from " + key.GetAccount()
	}
	e.note(config, withdrawal.GetOperator(), summary, "withdrawal "+withdrawal.GetKey())
	return true
}

// update reads, changes and swaps until the store accepts, within a bound.
//
// An answer of the store can be lost after the change took effect: the swap
// fails without an answer, yet the change is there. Trying again blindly would
// tell the operator that someone else was first, or change twice. So each try
// begins by reading back, and change recognises its own earlier write and asks
// for nothing more.
func (e *Editor) update(ctx context.Context, change func(*listpb.Config) (bool, error)) (*listpb.Config, uint64, error) {
	var unsure error
	silent := 0
	for try := range mostTries {
		if try > 0 && !pause.For(ctx, jitter(retryPause<<min(try-1, 3))) {
			break
		}
		config, revision, err := e.Config(ctx)
		if err == nil {
			revision, err = e.try(ctx, config, revision, change)
		}
		var conflict *platform.ConflictError
		var away *platform.UnavailableError
		var behind *BehindError
		switch {
		case err == nil:
			return config, revision, nil
		case errors.As(err, &conflict):
		case errors.As(err, &away), errors.As(err, &behind):
			unsure = err
			silent++
			klog.Warningf("lists: try %d: %v", try+1, err)
		default:
			return nil, 0, err
		}
		if silent == mostSilent {
			return nil, 0, giveUp(err)
		}
	}
	if unsure == nil {
		unsure = errors.New("others kept changing it")
	}
	return nil, 0, &UncertainError{Cause: unsure}
}

func (e *Editor) try(ctx context.Context, config *listpb.Config, revision uint64, change func(*listpb.Config) (bool, error)) (uint64, error) {
	// Revisions only ever rise, so a change of an older store would be accepted
	// there and taken by nobody. Another's change may have come in between, so
	// this is tried again too.
	if inForce := e.inForce(); revision < inForce {
		return 0, &BehindError{Revision: revision, InForce: inForce}
	}
	changed, err := change(config)
	var stale *StaleError
	if errors.As(err, &stale) {
		stale.Revision = revision
	}
	if err != nil || !changed {
		return revision, err
	}
	data, err := proto.Marshal(config)
	if err != nil {
		return 0, &InvalidError{Problem: err.Error()}
	}
	if len(data) > maxConfigBytes {
		return 0, &InvalidError{Problem: fmt.Sprintf("the configuration would take %d bytes; the store holds %d", len(data), maxConfigBytes)}
	}
	revision, err = e.Store.CompareAndSwap(ctx, KeyConfig, revision, data, 0)
	if err != nil {
		return 0, err
	}
	e.accepted(data, revision)
	return revision, nil
}

func (e *Editor) accepted(data []byte, revision uint64) {
	if e.Accepted != nil {
		e.Accepted(peerpb.Fact_builder{Name: KeyConfig, Revision: revision, Value: data}.Build())
	}
}

func (e *Editor) inForce() uint64 {
	if e.InForce == nil {
		return 0
	}
	return e.InForce()
}

func (e *Editor) note(config *listpb.Config, operator, summary, id string) {
	change := listpb.Change_builder{
		Lists:    config.GetLists(),
		Operator: operator,
		Time:     e.now().Unix(),
		Summary:  summary,
		Id:       id,
	}.Build()
	changes := append(config.GetChanges(), change)
	config.SetChanges(changes[max(0, len(changes)-mostChanges):])
}

func (e *Editor) now() time.Time {
	if e.Now != nil {
		return e.Now()
	}
	return time.Now()
}

func checkGranted(key *listpb.Key, account string) error {
	switch {
	case key.GetWithdrawn():
		return &InvalidError{Problem: "this key was withdrawn; grant a new one"}
	case key.GetAccount() != account:
		return &InvalidError{Problem: "this key is granted to another account"}
	}
	return nil
}

func findKey(config *listpb.Config, hash string) *listpb.Key {
	for _, key := range config.GetKeys() {
		if key.GetHash() == hash {
			return key
		}
	}
	return nil
}

// giveUp returns what an operator is told after the last try.
func giveUp(err error) error {
	var behind *BehindError
	if errors.As(err, &behind) {
		return behind
	}
	return &UncertainError{Cause: err}
}

func hasAccount(config *listpb.Config, name string) bool {
	for _, account := range config.GetAccounts() {
		if account.GetName() == name {
			return true
		}
	}
	return false
}

func hasChange(config *listpb.Config, id string) bool {
	for _, change := range config.GetChanges() {
		if id != "" && change.GetId() == id {
			return true
		}
	}
	return false
}

func isHash(text string) bool {
	return len(text) == hashLength && strings.Trim(text, "0123456789abcdef") == ""
}

func jitter(length time.Duration) time.Duration {
	return length/2 + rand.N(length)
}

// short returns the start of a hash, enough to tell keys apart in a log.
func short(hash string) string {
	return hash[:min(len(hash), 12)]
}
