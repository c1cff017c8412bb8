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

// KeyConfig is the key in the store that holds the lists and API keys.
const KeyConfig = "config"

const (
	maxAttempts   = 16
	maxUnanswered = 3
	maxChanges    = 50
	// maxConfigBytes is the maximum size of the configuration, below the store's limit of a
	// megabyte per value.
	maxConfigBytes = 900 << 10
	retryDelay     = 50 * time.Millisecond
	hashLength     = 64
)

// StaleError reports that an edit was rejected because the lists have changed since it began.
type StaleError struct {
	// Base is the number of the lists on which the edit is based.
	Base uint64
	// Present is the current configuration, Revision its revision in the store.
	Present  *listpb.Config
	Revision uint64
}

// Error returns a message with both numbers of the lists.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the edit began from lists %d, but lists %d are accepted now", e.Base, e.Present.GetLists())
}

// InvalidError reports a change that would be rejected on every attempt.
type InvalidError struct {
	Problem string
}

// Error returns the problem.
func (e *InvalidError) Error() string { return e.Problem }

// UncertainError reports that no attempt to write a change is known to have
// succeeded: the change may or may not have been accepted.
type UncertainError struct {
	Cause error
}

// Error returns a message with the cause and what the operator should do.
func (e *UncertainError) Error() string {
	return "the store gave no answer: the change may have been accepted or not; look at it, then try again: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// Swapper is the part of the platform's store that an Editor uses.
type Swapper interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// Editor changes the configuration in the store by compare-and-swap.
// Exported fields are set before the first call.
type Editor struct {
	Store Swapper
	// Accepted is called with each configuration that the store has accepted or returned, so that
	// the configuration takes effect in this process at once; nil is allowed.
	Accepted func(*peerpb.Fact) bool
	// InForce returns the revision that is in force in this process; nil means none.
	InForce func() uint64
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// BehindError reports that the store holds an older configuration than the configuration in force,
// for example after a restore from a backup.
type BehindError struct {
	Revision uint64
	InForce  uint64
}

// Error returns a message with both revisions.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the store shows revision %d, older than revision %d in force: a change would never be in force", e.Revision, e.InForce)
}

// Edit replaces both lists.
type Edit struct {
	// Base is the number of the lists on which the edit is based.
	Base uint64
	// Lists holds the new accounts, plans and pools.
	Lists    *listpb.Config
	Operator string
	// ID identifies the edit, so that a retry is applied once.
	ID string
}

// Config returns the configuration in the store and its revision.
// If the store has none, it returns an empty configuration at revision 0.
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
	e.notifyAccepted(value.Data, value.Revision)
	return config, value.Revision, nil
}

// Grant grants the key with this hash to an account. A withdrawn key is never granted again.
func (e *Editor) Grant(ctx context.Context, hash, account, operator string) (uint64, error) {
	if !isHash(hash) {
		return 0, &InvalidError{Problem: "the hash of a key has 64 hexadecimal digits"}
	}
	_, revision, err := e.update(ctx, func(config *listpb.Config) (bool, error) {
		if known := findKey(config, hash); known != nil {
			return false, checkGrant(known, account)
		}
		if !hasAccount(config, account) {
			return false, &InvalidError{Problem: "account " + account + " is not in the list"}
		}
		key := listpb.Key_builder{Hash: hash, Account: account, Time: e.now().Unix()}.Build()
		config.SetKeys(append(config.GetKeys(), key))
		e.appendChange(config, operator, "key "+shortHash(hash)+" granted to "+account, hash)
		return true, nil
	})
	return revision, err
}

// Put replaces both lists and returns the accepted configuration, or a StaleError if
// the lists have changed since the edit began.
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
		e.appendChange(config, edit.Operator, Summary(differences), edit.ID)
		return true, nil
	})
}

// Withdraw marks keys as withdrawn, including keys that the store doesn't hold, so
// that none of them can be granted later.
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
	summary := "key " + shortHash(withdrawal.GetKey()) + " withdrawn"
	if key.GetAccount() != "" {
		summary += " from " + key.GetAccount()
	}
	e.appendChange(config, withdrawal.GetOperator(), summary, "withdrawal "+withdrawal.GetKey())
	return true
}

// update reads, changes and swaps the configuration until the store accepts it, at
// most maxAttempts times.
//
// The store's reply can be lost after the change took effect: the swap fails, yet the change is
// stored. A blind retry would report a conflict with another operator, or apply the change twice.
// So each attempt first reads the value from the store, and change returns false if the value
// already contains the change.
func (e *Editor) update(ctx context.Context, change func(*listpb.Config) (bool, error)) (*listpb.Config, uint64, error) {
	var lastErr error
	unanswered := 0
	for attempt := range maxAttempts {
		if attempt > 0 && !pause.For(ctx, jitter(retryDelay<<min(attempt-1, 3))) {
			break
		}
		config, revision, err := e.Config(ctx)
		if err == nil {
			revision, err = e.attemptUpdate(ctx, config, revision, change)
		}
		var conflict *platform.ConflictError
		var unavailable *platform.UnavailableError
		var behind *BehindError
		switch {
		case err == nil:
			return config, revision, nil
		case errors.As(err, &conflict):
		case errors.As(err, &unavailable), errors.As(err, &behind):
			lastErr = err
			unanswered++
			klog.Warningf("lists: attempt %d to update the configuration failed: %v", attempt+1, err)
		default:
			return nil, 0, err
		}
		if unanswered == maxUnanswered {
			return nil, 0, finalError(err)
		}
	}
	if lastErr == nil {
		lastErr = errors.New("others kept changing it")
	}
	return nil, 0, &UncertainError{Cause: lastErr}
}

func (e *Editor) attemptUpdate(ctx context.Context, config *listpb.Config, revision uint64, change func(*listpb.Config) (bool, error)) (uint64, error) {
	// Processes only apply higher revisions, so a change to an older configuration would be
	// accepted by the store and applied by no process. Another change may have been accepted
	// between the read and this check, so the caller also retries after this error.
	if inForce := e.revisionInForce(); revision < inForce {
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
	e.notifyAccepted(data, revision)
	return revision, nil
}

func (e *Editor) notifyAccepted(data []byte, revision uint64) {
	if e.Accepted != nil {
		e.Accepted(peerpb.Fact_builder{Name: KeyConfig, Revision: revision, Value: data}.Build())
	}
}

func (e *Editor) revisionInForce() uint64 {
	if e.InForce == nil {
		return 0
	}
	return e.InForce()
}

func (e *Editor) appendChange(config *listpb.Config, operator, summary, id string) {
	change := listpb.Change_builder{
		Lists:    config.GetLists(),
		Operator: operator,
		Time:     e.now().Unix(),
		Summary:  summary,
		Id:       id,
	}.Build()
	changes := append(config.GetChanges(), change)
	config.SetChanges(changes[max(0, len(changes)-maxChanges):])
}

func (e *Editor) now() time.Time {
	if e.Now != nil {
		return e.Now()
	}
	return time.Now()
}

func checkGrant(key *listpb.Key, account string) error {
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

// finalError returns the error to report to the operator after the last attempt.
func finalError(err error) error {
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

// shortHash returns a prefix of a hash that is long enough to identify a key in a log.
func shortHash(hash string) string {
	return hash[:min(len(hash), 12)]
}
