package cmd

import "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/scorer"

// scorerCmd runs a service that scores samples.
type scorerCmd struct {
	serverFlags
}

func (s *scorerCmd) Run() error {
	return s.serve(scorer.Routes())
}
