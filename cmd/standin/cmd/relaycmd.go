package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/relay"
)

// relayCmd runs a relay.
type relayCmd struct {
	server
	From string `default:"127.0.0.1:0" help:"IP address and port to relay from."`
	To   string `help:"IP address and port to relay to; may be set later by the control endpoint."`
}

// Run relays until SIGTERM; the control endpoint tells where it listens.
func (r *relayCmd) Run() error {
	stand := &relay.Relay{From: r.From, To: r.To}
	if err := stand.Start(); err != nil {
		return err
	}
	return r.run(stand.Routes())
}
