package cmd

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/platform"
)

// platformCmd runs the platform.
type platformCmd struct {
	serverFlags
	StartTime time.Duration `default:"1s" help:"Time from a start order until the backend server is live."`
}

func (p *platformCmd) Run() error {
	standIn := platform.New()
	standIn.StartDelay = p.StartTime
	return p.serve(standIn.Routes())
}
