package cmd

import (
	"context"
	"os/signal"
	"syscall"
)

// stopContext returns a context that ends with SIGTERM or SIGINT.
//
// Whoever stops a process may say so again while it drains. Were the signals'
// default restored at the end, a repeated SIGTERM between that moment and the
// exit would kill the process, and its good end would be reported as a failure.
// So from then on they are ignored.
func stopContext() (ctx context.Context, end func()) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx, func() {
		signal.Ignore(syscall.SIGTERM, syscall.SIGINT)
		stop()
	}
}
