package cmd

import (
	"context"
	"os"
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/demo"
)

// demoCmd runs the end-to-end demo on loopback in one process.
type demoCmd struct {
	Timeout time.Duration `default:"2m" help:"Timeout of the whole demo."`
	Verbose bool          `help:"Also print the log of all components."`
}

// Run prints progress and a table of results; it fails if a count is wrong.
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
