package cmd

import "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/ledger"

// ledgerCmd runs a plain service.
type ledgerCmd struct {
	server
}

// Run serves until SIGTERM.
func (l *ledgerCmd) Run() error {
	return l.run((&ledger.Ledger{}).Routes())
}
