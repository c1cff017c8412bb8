package cmd

import "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/scorer"

// scorerCmd runs a service that scores samples.
type scorerCmd struct {
	server
}

// Run serves until SIGTERM.
func (s *scorerCmd) Run() error {
	return s.run(scorer.Routes())
}
