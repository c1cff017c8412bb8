package backend

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// watch ends an exchange once nothing was received for too long. A connection
// that goes silent reports no error by itself: the read would wait for good.
type watch struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	silence atomic.Int64
	timer   *time.Timer
}

func newWatch(parent context.Context, silence time.Duration) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{ctx: ctx, cancel: cancel}
	w.silence.Store(int64(silence))
	w.timer = time.AfterFunc(silence, func() { cancel(&ReadTimeoutError{Timeout: time.Duration(w.silence.Load())}) })
	return ctx, w
}

// cause returns why the exchange ended in place of err, if the watch or the
// request's own context ended it.
func (w *watch) cause(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	return err
}

func (w *watch) heard() {
	w.timer.Reset(time.Duration(w.silence.Load()))
}

// bound bounds from now on how long nothing may be received.
func (w *watch) bound(silence time.Duration) {
	if w.silence.Swap(int64(silence)) != int64(silence) {
		w.heard()
	}
}

func (w *watch) stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// watchedBody tells the watch of everything that is read.
type watchedBody struct {
	io.ReadCloser

	watch *watch
}

// Close ends the exchange; at a model engine it stops the generation.
func (b *watchedBody) Close() error {
	b.watch.stop()
	return b.ReadCloser.Close()
}

// Read reads and restarts the watch's time.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watch.heard()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.watch.cause(err)
	}
	return n, err
}
