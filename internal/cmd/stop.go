package cmd

import (
	"context"
	"os/signal"
	"syscall"
)

// stopContext returns a context that ends with SIGTERM or SIGINT.
//
// A supervisor may repeat its signal while the process drains. If end restored the
// default action of the signals, a SIGTERM between the call of end and the exit would
// kill the process, and its clean shutdown would be reported as a failure. Therefore
// end makes the process ignore both signals.
func stopContext() (ctx context.Context, end func()) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx, func() {
		signal.Ignore(syscall.SIGTERM, syscall.SIGINT)
		stop()
	}
}
