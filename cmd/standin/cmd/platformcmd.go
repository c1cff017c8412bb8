package cmd

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/platform"
)

// platformCmd runs the platform.
type platformCmd struct {
	server
	StartTime time.Duration `default:"1s" help:"Time until an ordered backend server is live."`
}

// Run serves until SIGTERM.
func (p *platformCmd) Run() error {
	stand := platform.New()
	stand.StartDelay = p.StartTime
	return p.run(stand.Routes())
}
