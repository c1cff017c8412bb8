package cmd

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/logging"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// runProcess fills the settings from a file, leads the log to standard output
// and runs a process until SIGTERM or SIGINT.
func runProcess(c *config, file string, loaded proto.Message, run func(ctx context.Context) error) error {
	if err := settings.Load(file, loaded); err != nil {
		return err
	}
	stopLog, err := logging.Start(c.stdout)
	if err != nil {
		return err
	}
	defer stopLog()
	ctx, end := stopContext()
	defer end()
	go watchSettings(ctx, file, loaded)
	return run(ctx)
}
