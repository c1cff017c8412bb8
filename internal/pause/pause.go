// Package pause waits for a duration unless a context ends first.
package pause

import (
	"context"
	"time"
)

// For waits for length and returns true, or false as soon as the context has ended.
func For(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
