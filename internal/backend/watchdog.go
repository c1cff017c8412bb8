package backend

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// watchdog cancels an exchange when nothing is received for the timeout. A connection that
// silently stops carrying data reports no error, so the read would block forever.
type watchdog struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timeout atomic.Int64
	timer   *time.Timer
	// ignoresBytes is true while bytes don't restart the timeout. A faulty server may send bytes
	// without end that never make up an event or an answer.
	ignoresBytes atomic.Bool
}

func newWatchdog(parent context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel}
	w.timeout.Store(int64(timeout))
	w.timer = time.AfterFunc(timeout, func() { cancel(&ReadTimeoutError{Timeout: time.Duration(w.timeout.Load())}) })
	return ctx, w
}

// cause returns the reason for the cancellation if the watchdog or the request's context
// ended the exchange, otherwise err.
func (w *watchdog) cause(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	return err
}

func (w *watchdog) reset() {
	w.timer.Reset(time.Duration(w.timeout.Load()))
}

// setTimeout changes the timeout and, if it differs, restarts it.
func (w *watchdog) setTimeout(timeout time.Duration) {
	if w.timeout.Swap(int64(timeout)) != int64(timeout) {
		w.reset()
	}
}

// ignoreBytes makes the timeout apply to a whole event or answer in place of its bytes. Its reader
// calls reset after each event.
func (w *watchdog) ignoreBytes() { w.ignoresBytes.Store(true) }

// acceptBytes restarts the timeout, which bytes restart from now on.
func (w *watchdog) acceptBytes() {
	w.ignoresBytes.Store(false)
	w.reset()
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// watchedBody resets the watchdog whenever data is read, unless the watchdog ignores bytes.
type watchedBody struct {
	io.ReadCloser

	watchdog *watchdog
}

// Close ends the exchange; at a model engine it stops the generation.
func (b *watchedBody) Close() error {
	b.watchdog.stop()
	return b.ReadCloser.Close()
}

// Read reads from the body and restarts the watchdog's timeout, unless the watchdog ignores bytes.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.watchdog.ignoresBytes.Load() {
		b.watchdog.reset()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.watchdog.cause(err)
		// Answer.Interrupted finds the cause here.
		b.watchdog.cancel(err)
	}
	return n, err
}
