package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/relay"
)

// relayCmd runs a TCP relay.
type relayCmd struct {
	serverFlags
	From string `default:"127.0.0.1:0" help:"IP address and port to accept connections on."`
	To   string `help:"IP address and port to relay to; can be changed by the control endpoint."`
}

// Run relays until SIGTERM; GET /control/address returns the relay's own address.
func (r *relayCmd) Run() error {
	standIn := &relay.Relay{From: r.From, To: r.To}
	if err := standIn.Start(); err != nil {
		return err
	}
	return r.serve(standIn.Routes())
}
