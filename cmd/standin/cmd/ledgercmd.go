package cmd

import "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/ledger"

// ledgerCmd runs a plain HTTP service.
type ledgerCmd struct {
	serverFlags
}

func (l *ledgerCmd) Run() error {
	return l.serve((&ledger.Ledger{}).Routes())
}
