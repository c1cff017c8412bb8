// Package lists manages the two lists that operators edit, client accounts and plans with their
// pools, and the accounts' API keys.
package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Grant is the account and plan of a key, as of a revision of the configuration.
type Grant struct {
	account  *listpb.Account
	plan     *listpb.Plan
	hash     string
	revision uint64
}

// Account returns the name of the client account.
func (g Grant) Account() string { return g.account.GetName() }

// Hash returns the hash of the key.
func (g Grant) Hash() string { return g.hash }

// Plan returns the plan of the account.
func (g Grant) Plan() *listpb.Plan { return g.plan }

// Revision returns the revision of the configuration that contains the grant.
func (g Grant) Revision() uint64 { return g.revision }

// View holds the newest accepted configuration known to a process. The zero value holds no
// configuration. It is safe for concurrent use.
type View struct {
	current atomic.Pointer[snapshot]

	mutex     sync.Mutex
	withdrawn map[string]bool
	watchers  map[uint64]withdrawalWatcher
	nextID    uint64
}

type withdrawalWatcher struct {
	hash        string
	onWithdrawn func()
}

type snapshot struct {
	config   *listpb.Config
	revision uint64
	keys     map[string]*listpb.Key
	accounts map[string]*listpb.Account
	plans    map[string]*listpb.Plan
}

// HashKey returns the hash under which a key is stored and compared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Account returns the grant of an account, for requests that run without a key.
func (v *View) Account(name string) (Grant, bool) {
	current := v.current.Load()
	if current == nil || current.accounts[name] == nil {
		return Grant{}, false
	}
	return current.grant(current.accounts[name], "")
}

// Config returns the configuration and its revision; nil if none is known.
func (v *View) Config() (*listpb.Config, uint64) {
	current := v.current.Load()
	if current == nil {
		return nil, 0
	}
	return current.config, current.revision
}

// HasConfig reports whether a configuration is known. Once it is, it stays known.
func (v *View) HasConfig() bool { return v.current.Load() != nil }

// Grant returns the grant of the key with this hash, and false if the key is unknown or withdrawn.
// Without a configuration every key is unknown: callers check HasConfig first.
func (v *View) Grant(hash string) (Grant, bool) {
	current := v.current.Load()
	if current == nil || v.isWithdrawn(hash) {
		return Grant{}, false
	}
	key := current.keys[hash]
	if key == nil || key.GetWithdrawn() || current.accounts[key.GetAccount()] == nil {
		return Grant{}, false
	}
	return current.grant(current.accounts[key.GetAccount()], hash)
}

// Apply decodes a fact and makes it the current configuration if its revision is higher.
func (v *View) Apply(fact *peerpb.Fact) {
	config := &listpb.Config{}
	if err := proto.Unmarshal(fact.GetValue(), config); err != nil {
		klog.Errorf("lists: decoding the configuration of revision %d failed: %v", fact.GetRevision(), err)
		return
	}
	v.activate(newSnapshot(config, fact.GetRevision()))
}

// OnWithdrawal registers end to be called once the key with this hash no longer has a grant, so
// that running streams end too. The returned function unregisters end.
func (v *View) OnWithdrawal(hash string, end func()) (stop func()) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.watchers == nil {
		v.watchers = map[uint64]withdrawalWatcher{}
	}
	v.nextID++
	id := v.nextID
	v.watchers[id] = withdrawalWatcher{hash: hash, onWithdrawn: end}
	return func() {
		v.mutex.Lock()
		defer v.mutex.Unlock()
		delete(v.watchers, id)
	}
}

// Withdraw revokes a key before the store holds the withdrawal.
func (v *View) Withdraw(hash string) {
	v.mutex.Lock()
	if v.withdrawn == nil {
		v.withdrawn = map[string]bool{}
	}
	v.withdrawn[hash] = true
	v.mutex.Unlock()
	v.notifyWithdrawn()
}

func (v *View) isWithdrawn(hash string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.withdrawn[hash]
}

// dropStoredWithdrawals drops the local withdrawals that the configuration contains.
func (v *View) dropStoredWithdrawals(next *snapshot) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for hash := range v.withdrawn {
		if next.keys[hash].GetWithdrawn() {
			delete(v.withdrawn, hash)
		}
	}
}

func (v *View) activate(next *snapshot) {
	for {
		current := v.current.Load()
		if current != nil && current.revision >= next.revision {
			return
		}
		if v.current.CompareAndSwap(current, next) {
			break
		}
	}
	klog.Infof("lists: revision %d is in force", next.revision)
	v.dropStoredWithdrawals(next)
	v.notifyWithdrawn()
}

func (v *View) notifyWithdrawn() {
	v.mutex.Lock()
	watchers := make([]withdrawalWatcher, 0, len(v.watchers))
	for _, watcher := range v.watchers {
		watchers = append(watchers, watcher)
	}
	v.mutex.Unlock()
	for _, watcher := range watchers {
		if _, ok := v.Grant(watcher.hash); !ok {
			watcher.onWithdrawn()
		}
	}
}

func newSnapshot(config *listpb.Config, revision uint64) *snapshot {
	next := &snapshot{
		config:   config,
		revision: revision,
		keys:     map[string]*listpb.Key{},
		accounts: map[string]*listpb.Account{},
		plans:    map[string]*listpb.Plan{},
	}
	for _, key := range config.GetKeys() {
		next.keys[key.GetHash()] = key
	}
	for _, account := range config.GetAccounts() {
		next.accounts[account.GetName()] = account
	}
	for _, plan := range config.GetPlans() {
		next.plans[plan.GetName()] = plan
	}
	return next
}

func (s *snapshot) grant(account *listpb.Account, hash string) (Grant, bool) {
	plan := s.plans[account.GetPlan()]
	if plan == nil {
		return Grant{}, false
	}
	return Grant{account: account, plan: plan, hash: hash, revision: s.revision}, true
}
