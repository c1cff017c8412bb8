package member

import (
	"slices"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// facts holds the facts and withdrawals, with a hash over all of them.
type facts struct {
	byName      map[string]*peerpb.Fact
	withdrawals map[string]*peerpb.Withdrawal
	hash        uint64
}

func newFacts() facts {
	return facts{
		byName:      map[string]*peerpb.Fact{},
		withdrawals: map[string]*peerpb.Withdrawal{},
	}
}

// digest returns names and revisions without values, sorted by name. It is never
// empty, since a message without a digest requests nothing.
func (f *facts) digest() []*peerpb.Fact {
	digest := []*peerpb.Fact{{}}
	for name, fact := range f.byName {
		digest = append(digest, peerpb.Fact_builder{Name: name, Revision: fact.GetRevision()}.Build())
	}
	slices.SortFunc(digest, func(a, b *peerpb.Fact) int { return strings.Compare(a.GetName(), b.GetName()) })
	return digest
}

// dropWithdrawal deletes a withdrawal that the configuration now contains.
func (f *facts) dropWithdrawal(key string) {
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
	for name, fact := range f.byName {
		if known[name] < fact.GetRevision() {
			found = append(found, fact)
		}
	}
	return found
}

// offer stores a fact if its revision is higher than the known one.
//
// A store watch or a process that was disconnected can deliver an older revision after
// a newer one, which would revert the lists. Revisions only increase, so a lower
// revision is rejected from any source.
func (f *facts) offer(fact *peerpb.Fact) bool {
	known := f.byName[fact.GetName()]
	if known != nil && known.GetRevision() >= fact.GetRevision() {
		return false
	}
	f.hash ^= hashFact(known) ^ hashFact(fact)
	f.byName[fact.GetName()] = fact
	return true
}

// addWithdrawal stores a withdrawal unless it is known; withdrawals are never revoked.
func (f *facts) addWithdrawal(withdrawal *peerpb.Withdrawal) bool {
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
