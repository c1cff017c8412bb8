// Package record reads and writes a value of the platform's store that has a single
// writer process, by compare-and-swap.
package record

import (
	"bytes"
	"context"
	"errors"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Store is the part of the platform's key-value service that a Record uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// OverwrittenError reports that another process has changed the value: this
// process is no longer its writer, even if its lease is still valid.
type OverwrittenError struct {
	Key string
}

// Error names the key.
func (e *OverwrittenError) Error() string { return "record: another process has changed " + e.Key }

// Record reads and writes one value. Exported fields are set before Read. It is
// not safe for concurrent use.
type Record struct {
	Store Store
	Key   string

	revision uint64
	// unacknowledged is the data of a write whose outcome is unknown because its
	// reply was lost; nil if there is none.
	unacknowledged []byte
	// committed is the data of the newest write known to have taken effect.
	committed []byte
}

// IsSettled reports whether the outcome of every write is known.
func (r *Record) IsSettled() bool { return r.unacknowledged == nil }

// Read reads the value; nil if there is none.
func (r *Record) Read(ctx context.Context) ([]byte, error) {
	value, err := r.get(ctx)
	if err != nil {
		return nil, err
	}
	r.revision, r.unacknowledged, r.committed = value.Revision, nil, nil
	return value.Data, nil
}

// Revision returns the last revision of the value that this process knows.
func (r *Record) Revision() uint64 { return r.revision }

// Write replaces the value if no other process has changed it; otherwise it returns
// an OverwrittenError. After any other error the caller writes the same data again.
//
// The reply to a write can be lost after the write took effect. The next write
// would then conflict with the previous one of the same process. So after a lost
// reply, Write first reads the value back and accepts an equal value as its own
// write.
func (r *Record) Write(ctx context.Context, data []byte) error {
	unacknowledged := r.unacknowledged
	if err := r.resolveUnacknowledged(ctx); err != nil {
		return err
	}
	if unacknowledged != nil && bytes.Equal(unacknowledged, data) && bytes.Equal(r.committed, data) {
		return nil
	}
	revision, err := r.Store.CompareAndSwap(ctx, r.Key, r.revision, data, 0)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		r.revision, r.committed = revision, data
		return nil
	case errors.As(err, &conflict):
		r.unacknowledged = data
		return r.recognizeOwnWrite(ctx, false)
	default:
		r.unacknowledged = data
		return err
	}
}

func (r *Record) get(ctx context.Context) (platform.Value, error) {
	value, err := r.Store.Get(ctx, r.Key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Value{}, nil
	}
	return value, err
}

// resolveUnacknowledged determines whether a write whose reply was lost took
// effect.
func (r *Record) resolveUnacknowledged(ctx context.Context) error {
	if r.unacknowledged == nil {
		return nil
	}
	return r.recognizeOwnWrite(ctx, true)
}

// recognizeOwnWrite accepts the stored value if it is this process's
// unacknowledged write and returns an OverwrittenError if another process wrote
// it. If mayBeUnapplied, an unchanged revision means that the write has not taken
// effect.
func (r *Record) recognizeOwnWrite(ctx context.Context, mayBeUnapplied bool) error {
	value, err := r.get(ctx)
	switch {
	case err != nil:
		return err
	case value.Revision == r.revision && mayBeUnapplied:
		// The write has not taken effect. If it does later, the next write conflicts.
		r.unacknowledged = nil
		return nil
	case bytes.Equal(value.Data, r.unacknowledged) && value.Revision > r.revision:
		r.revision, r.committed, r.unacknowledged = value.Revision, r.unacknowledged, nil
		return nil
	default:
		return &OverwrittenError{Key: r.Key}
	}
}
