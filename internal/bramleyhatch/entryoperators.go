package bramleyhatch

import (
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/operator"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// watcherCount is the number of entries of a zone that watch the store.
const watcherCount = 2

// addOperators adds the lists and the API for operators.
func (e *Entry) addOperators() error {
	tokens, err := operator.ParseTokens(e.Settings.GetOperator().GetTokens())
	if err != nil {
		return err
	}
	e.members.OnFact(member.FactConfig, e.view.Apply)
	e.members.OnWithdrawal(func(withdrawal *peerpb.Withdrawal) { e.view.Withdraw(withdrawal.GetKey()) })
	editor := &lists.Editor{Store: e.platform, Accepted: e.members.Offer, InForce: e.revision}
	e.addWatchers(editor)
	server := &operator.Server{
		Editor:  editor,
		Store:   e.platform,
		Members: e.members,
		View:    e.view,
		Peers:   &operator.Peers{Members: e.members, Credentials: e.credentials(), OwnAddress: func() string { return e.Addresses().Peer }},
		Tokens:  tokens,
		Timeout: e.Settings.GetOperator().GetTimeout().AsDuration(),
	}
	e.AddRoutes(server.Routes()...)
	return nil
}

// revision returns the revision of the configuration in force here.
func (e *Entry) revision() uint64 {
	_, revision := e.view.Config()
	return revision
}

// addWatchers adds the tasks that pass changes between the store and the other
// processes.
func (e *Entry) addWatchers(editor *lists.Editor) {
	watches := func() bool { return e.members.IsResponsible("watch", watcherCount) }
	for _, prefix := range []string{member.FactConfig, member.FactFleet} {
		watcher := &lists.Watcher{Store: e.platform, Prefix: prefix, Offer: e.members.Offer, IsResponsible: watches}
		e.AddTask("watch "+prefix, watcher.Run)
	}
	syncer := &lists.WithdrawalSyncer{Members: e.members, Editor: editor, IsResponsible: watches}
	e.AddTask("settle", syncer.Run)
}
