package cmd

import (
	"context"
	"os"
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/demo"
)

// demoCmd runs the whole path on loopback in one process.
type demoCmd struct {
	Timeout time.Duration `default:"2m" help:"Longest time for the whole demo."`
	Verbose bool          `help:"Print the log of all parts too."`
}

// Run prints progress and a table; it fails if any figure is wrong.
func (d *demoCmd) Run(c *config) error {
	folder, err := os.MkdirTemp("", "bramleyhatch-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	defer cancel()
	run := &demo.Demo{Folder: folder, Out: c.stdout, Verbose: d.Verbose}
	return run.Run(ctx)
}
