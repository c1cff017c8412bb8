// Package lists holds the operators' two lists, the client accounts' plans and
// what each plan may use, and the keys.
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

// Grant is what a key allows: the account, its plan and the revision that said so.
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

// Plan returns what the account may use.
func (g Grant) Plan() *listpb.Plan { return g.plan }

// Revision returns the revision of the lists and keys that said so.
func (g Grant) Revision() uint64 { return g.revision }

// View is the newest accepted configuration known to a process.
// Its zero value knows none. It is safe for concurrent use.
type View struct {
	current atomic.Pointer[snapshot]

	mutex     sync.Mutex
	withdrawn map[string]bool
	watchers  map[uint64]watcher
	next      uint64
}

type watcher struct {
	hash string
	end  func()
}

type snapshot struct {
	config   *listpb.Config
	revision uint64
	keys     map[string]*listpb.Key
	accounts map[string]*listpb.Account
	plans    map[string]*listpb.Plan
}

// HashKey returns the form in which keys are kept and compared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Account returns what an account may use, for work that runs without a key.
func (v *View) Account(name string) (Grant, bool) {
	now := v.current.Load()
	if now == nil || now.accounts[name] == nil {
		return Grant{}, false
	}
	return now.grant(now.accounts[name], "")
}

// Config returns the configuration and its revision; nil if none is known.
func (v *View) Config() (*listpb.Config, uint64) {
	now := v.current.Load()
	if now == nil {
		return nil, 0
	}
	return now.config, now.revision
}

// Grant returns what the key with this hash allows. A withdrawn key allows nothing.
func (v *View) Grant(hash string) (Grant, bool) {
	now := v.current.Load()
	if now == nil || v.isWithdrawn(hash) {
		return Grant{}, false
	}
	key := now.keys[hash]
	if key == nil || key.GetWithdrawn() || now.accounts[key.GetAccount()] == nil {
		return Grant{}, false
	}
	return now.grant(now.accounts[key.GetAccount()], hash)
}

// Apply reads a fact and makes it the current configuration if its revision is higher.
func (v *View) Apply(fact *peerpb.Fact) {
	config := &listpb.Config{}
	if err := proto.Unmarshal(fact.GetValue(), config); err != nil {
		klog.Errorf("lists: revision %d can't be read: %v", fact.GetRevision(), err)
		return
	}
	v.take(newSnapshot(config, fact.GetRevision()))
}

// UntilWithdrawn calls end once the key with this hash stops allowing anything,
// so that running streams end too. The returned function stops that.
func (v *View) UntilWithdrawn(hash string, end func()) (stop func()) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.watchers == nil {
		v.watchers = map[uint64]watcher{}
	}
	v.next++
	id := v.next
	v.watchers[id] = watcher{hash: hash, end: end}
	return func() {
		v.mutex.Lock()
		defer v.mutex.Unlock()
		delete(v.watchers, id)
	}
}

// Withdraw ends a key on an operator's word, before the store knows of it.
func (v *View) Withdraw(hash string) {
	v.mutex.Lock()
	if v.withdrawn == nil {
		v.withdrawn = map[string]bool{}
	}
	v.withdrawn[hash] = true
	v.mutex.Unlock()
	v.endWithdrawn()
}

func (v *View) isWithdrawn(hash string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.withdrawn[hash]
}

// settle forgets withdrawals that the configuration holds by now.
func (v *View) settle(next *snapshot) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for hash := range v.withdrawn {
		if next.keys[hash].GetWithdrawn() {
			delete(v.withdrawn, hash)
		}
	}
}

func (v *View) take(next *snapshot) {
	for {
		now := v.current.Load()
		if now != nil && now.revision >= next.revision {
			return
		}
		if v.current.CompareAndSwap(now, next) {
			break
		}
	}
	klog.Infof("lists: revision %d is in force", next.revision)
	v.settle(next)
	v.endWithdrawn()
}

func (v *View) endWithdrawn() {
	v.mutex.Lock()
	watchers := make([]watcher, 0, len(v.watchers))
	for _, watcher := range v.watchers {
		watchers = append(watchers, watcher)
	}
	v.mutex.Unlock()
	for _, watcher := range watchers {
		if _, ok := v.Grant(watcher.hash); !ok {
			watcher.end()
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
