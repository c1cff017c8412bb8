package cmd

import (
	"context"
	"os"
	"runtime/debug"

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
	limitGarbage()
	ctx, end := stopContext()
	defer end()
	go watchSettings(ctx, file, loaded)
	return run(ctx)
}

// garbagePercent is how far the heap may grow, in percent of what lives, before
// it is collected. Hosts are billed for the memory of a process and less so for
// its processor time, so garbage is collected sooner than the runtime's default.
const garbagePercent = 40

// limitGarbage sets garbagePercent, unless the operator has set the runtime's own variable.
func limitGarbage() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(garbagePercent)
	}
}
