// Package stop receives the signals that stop the process, SIGTERM and SIGINT.
//
// It asks for them when it is initialized. go-zero's package core/proc does so as well, which
// disables their default action; a signal between its initialization and a later request of this
// package would be lost. Go initializes packages in the order of their import paths as far as
// their imports allow, so this package comes before github.com/zeromicro as long as it imports
// only the standard library.
package stop

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// defaultActionTime limits how long the default action of a signal takes to end the process, and
	// maxExitTries how many times the process sends itself the signal.
	defaultActionTime = 10 * time.Millisecond
	maxExitTries      = 10
	// signalExitCode is added to the number of a signal, as shells do.
	signalExitCode = 128
)

var (
	signals = make(chan os.Signal, 1)
	// cancel ends the context that Context returned.
	cancel atomic.Pointer[context.CancelFunc]
)

func init() {
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go handle()
}

// Context returns a context that ends with SIGTERM or SIGINT. Before the call, both signals
// have their default action.
//
// A supervisor may repeat its signal while the process drains. If end restored the
// default action of the signals, a SIGTERM between the call of end and the exit would
// kill the process, and its clean shutdown would be reported as a failure. Therefore
// end makes the process ignore both signals.
func Context() (ctx context.Context, end func()) {
	ctx, stop := context.WithCancel(context.Background())
	cancel.Store(&stop)
	return ctx, func() {
		signal.Ignore(syscall.SIGTERM, syscall.SIGINT)
		stop()
	}
}

func handle() {
	for received := range signals {
		if stop := cancel.Load(); stop != nil {
			(*stop)()
		} else if number, ok := received.(syscall.Signal); ok {
			exit(number)
		}
	}
}

// exit ends the process by the default action of a signal, or by an exit code if the signal was
// ignored when the process started. It tries several times: while packages are initialized, go-zero may
// ask for the signal after it was reset, and takes it.
func exit(number syscall.Signal) {
	for range maxExitTries {
		signal.Reset(number)
		_ = syscall.Kill(syscall.Getpid(), number)
		time.Sleep(defaultActionTime)
	}
	os.Exit(signalExitCode + int(number))
}
