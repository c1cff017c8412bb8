// Package record keeps one value of the platform's store of which one process
// is the writer, by compare-and-swap.
package record

import (
	"bytes"
	"context"
	"errors"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Store is what a record needs of the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// OverwrittenError says that another process has changed the value: this one is no
// longer its writer, whatever its lease says.
type OverwrittenError struct {
	Key string
}

// Error names the key.
func (e *OverwrittenError) Error() string { return "record: another process has changed " + e.Key }

// Record reads and writes one value. Exported fields are set before Load. It is
// not safe for concurrent use.
type Record struct {
	Store Store
	Key   string

	revision uint64
	// unsure is the data of a write whose answer was lost; nil if there is none.
	unsure []byte
	// kept is the data of the newest write that is known to have taken effect.
	kept []byte
}

// IsSettled reports whether it is known what became of every write.
func (r *Record) IsSettled() bool { return r.unsure == nil }

// Load reads the value; nil if there is none.
func (r *Record) Load(ctx context.Context) ([]byte, error) {
	value, err := r.get(ctx)
	if err != nil {
		return nil, err
	}
	r.revision, r.unsure, r.kept = value.Revision, nil, nil
	return value.Data, nil
}

// Revision returns the revision that the value has as far as this process knows.
func (r *Record) Revision() uint64 { return r.revision }

// Write replaces the value if nobody else has changed it; a LostError says that
// somebody has. After another error the same data is to be written again.
//
// The answer of a write can be lost after it took effect: the next write would
// then conflict with this process's own. So after a lost answer the value is
// read back first, and an equal one is this process's own.
func (r *Record) Write(ctx context.Context, data []byte) error {
	unsure := r.unsure
	if err := r.settle(ctx); err != nil {
		return err
	}
	if unsure != nil && bytes.Equal(unsure, data) && bytes.Equal(r.kept, data) {
		return nil
	}
	revision, err := r.Store.CompareAndSwap(ctx, r.Key, r.revision, data, 0)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		r.revision, r.kept = revision, data
		return nil
	case errors.As(err, &conflict):
		r.unsure = data
		return r.recognise(ctx, false)
	default:
		r.unsure = data
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

// settle finds out what became of a write whose answer was lost.
func (r *Record) settle(ctx context.Context) error {
	if r.unsure == nil {
		return nil
	}
	return r.recognise(ctx, true)
}

// recognise tells this process's own write from another's.
func (r *Record) recognise(ctx context.Context, mayBeOld bool) error {
	value, err := r.get(ctx)
	switch {
	case err != nil:
		return err
	case value.Revision == r.revision && mayBeOld:
		// It hasn't taken effect. Should it land later, the next write conflicts.
		r.unsure = nil
		return nil
	case bytes.Equal(value.Data, r.unsure) && value.Revision > r.revision:
		r.revision, r.kept, r.unsure = value.Revision, r.unsure, nil
		return nil
	default:
		return &OverwrittenError{Key: r.Key}
	}
}
