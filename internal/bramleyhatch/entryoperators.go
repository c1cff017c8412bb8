package bramleyhatch

import (
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// addOperators adds the lists and the operators' interface.
func (e *Entry) addOperators() {
	e.members.OnFact(member.FactConfig, e.view.Take)
	e.members.OnWithdrawal(func(withdrawal *peerpb.Withdrawal) { e.view.Withdraw(withdrawal.GetKey()) })
	watcher := &lists.Watcher{Store: e.platform, Prefix: member.FactConfig, Offer: e.members.Offer}
	e.AddDuty("lists", watcher.Run)
}
