package member

import (
	"slices"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// facts holds the facts and the withdrawals, with a hash over all of them.
type facts struct {
	held        map[string]*peerpb.Fact
	withdrawals map[string]*peerpb.Withdrawal
	hash        uint64
}

func newFacts() facts {
	return facts{
		held:        map[string]*peerpb.Fact{},
		withdrawals: map[string]*peerpb.Withdrawal{},
	}
}

// digest returns names and revisions without values, by name. It is never
// empty, since a message without a digest asks for nothing.
func (f *facts) digest() []*peerpb.Fact {
	digest := []*peerpb.Fact{{}}
	for name, fact := range f.held {
		digest = append(digest, peerpb.Fact_builder{Name: name, Revision: fact.GetRevision()}.Build())
	}
	slices.SortFunc(digest, func(a, b *peerpb.Fact) int { return strings.Compare(a.GetName(), b.GetName()) })
	return digest
}

// drop forgets a withdrawal that the configuration holds by now.
func (f *facts) drop(key string) {
	if f.withdrawals[key] == nil {
		return
	}
	f.hash ^= hashName(key)
	delete(f.withdrawals, key)
}

// newerThan returns the facts whose revision is higher than in the digest.
func (f *facts) newerThan(digest []*peerpb.Fact) []*peerpb.Fact {
	known := map[string]uint64{}
	for _, fact := range digest {
		known[fact.GetName()] = fact.GetRevision()
	}
	var found []*peerpb.Fact
	for name, fact := range f.held {
		if known[name] < fact.GetRevision() {
			found = append(found, fact)
		}
	}
	return found
}

// offer takes a fact if its revision is higher than the one held.
//
// A watch of the store, or a process that was away, can bring an older revision
// after a newer one: the lists would go back to what they were. Revisions only
// ever rise, so a lower one is never taken, whoever brings it.
func (f *facts) offer(fact *peerpb.Fact) bool {
	known := f.held[fact.GetName()]
	if known != nil && known.GetRevision() >= fact.GetRevision() {
		return false
	}
	f.hash ^= hashFact(known) ^ hashFact(fact)
	f.held[fact.GetName()] = fact
	return true
}

// withdraw takes a withdrawal; withdrawals only ever add up.
func (f *facts) withdraw(withdrawal *peerpb.Withdrawal) bool {
	if f.withdrawals[withdrawal.GetKey()] != nil {
		return false
	}
	f.hash ^= hashName(withdrawal.GetKey())
	f.withdrawals[withdrawal.GetKey()] = withdrawal
	return true
}

func (f *facts) listWithdrawals() []*peerpb.Withdrawal {
	var found []*peerpb.Withdrawal
	for _, withdrawal := range f.withdrawals {
		found = append(found, withdrawal)
	}
	slices.SortFunc(found, func(a, b *peerpb.Withdrawal) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return found
}

func hashFact(fact *peerpb.Fact) uint64 {
	if fact == nil {
		return 0
	}
	return mix(hashName(fact.GetName()) ^ mix(fact.GetRevision()))
}
