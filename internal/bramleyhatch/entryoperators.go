package bramleyhatch

import (
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/operator"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// addOperators adds the lists and the operators' interface.
func (e *Entry) addOperators() error {
	tokens, err := operator.ParseTokens(e.Settings.GetOperator().GetTokens())
	if err != nil {
		return err
	}
	e.members.OnFact(member.FactConfig, e.view.Take)
	e.members.OnWithdrawal(func(withdrawal *peerpb.Withdrawal) { e.view.Withdraw(withdrawal.GetKey()) })
	watcher := &lists.Watcher{Store: e.platform, Prefix: member.FactConfig, Offer: e.members.Offer}
	e.AddDuty("lists", watcher.Run)
	server := &operator.Server{
		Editor:  &lists.Editor{Store: e.platform, Accepted: e.members.Offer},
		Store:   e.platform,
		Members: e.members,
		View:    e.view,
		Peers:   &operator.Peers{Members: e.members},
		Tokens:  tokens,
		Timeout: e.Settings.GetOperator().GetTimeout().AsDuration(),
	}
	e.AddRoutes(server.Routes()...)
	return nil
}
