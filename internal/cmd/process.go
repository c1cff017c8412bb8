package cmd

import (
	"context"
	"os"
	"runtime/debug"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/logging"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
	"github.com/bramleyhatch/bramleyhatch/internal/stop"
)

// runProcess loads the settings from a file, directs the log to standard output and
// runs a process until SIGTERM or SIGINT.
func runProcess(out *streams, file string, loaded proto.Message, run func(ctx context.Context) error) error {
	if err := settings.Load(file, loaded); err != nil {
		return err
	}
	stopLog, err := logging.Start(out.stdout)
	if err != nil {
		return err
	}
	defer stopLog()
	setGCPercent()
	ctx, end := stop.Context()
	defer end()
	go watchSettings(ctx, file, loaded)
	return run(ctx)
}

// gcPercent is the default for GOGC: how far the heap may grow before a garbage
// collection, in percent of the live heap. It is below the runtime's default, since
// hosts are billed more for the memory of a process than for its CPU time.
const gcPercent = 40

// setGCPercent applies gcPercent unless the operator has set GOGC.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
