package rollout

import (
	"bytes"
	"context"
	"errors"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Store is what steps need of the platform's key-value service.
type Store interface {
	Delete(ctx context.Context, key string, expect uint64) error
	Get(ctx context.Context, key string) (platform.Value, error)
	List(ctx context.Context, prefix string) (platform.ListReply, error)
	Swap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// LostError says that another process has changed the value: this one is no
// longer its holder, whatever its lease says.
type LostError struct {
	Key string
}

// Error names the key.
func (e *LostError) Error() string { return "rollout: another process has changed " + e.Key }

// book reads and writes one value of which this process is the only writer.
// It is not safe for concurrent use.
type book struct {
	store    Store
	key      string
	revision uint64
	// unsure is the data of a write whose answer was lost; nil if there is none.
	unsure []byte
	// kept is the data of the newest write that is known to have taken effect.
	kept []byte
}

// load reads the value; nil if there is none.
func (b *book) load(ctx context.Context) ([]byte, error) {
	value, err := b.store.Get(ctx, b.key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		b.revision, b.unsure = 0, nil
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	b.revision, b.unsure = value.Revision, nil
	return value.Data, nil
}

// write replaces the value if nobody else has changed it.
//
// The answer of a write can be lost after it took effect: the next one would
// then conflict with this process's own write. So after a lost answer the value
// is read back first, and an equal one is this process's own.
func (b *book) write(ctx context.Context, data []byte) error {
	unsure := b.unsure
	if err := b.settle(ctx); err != nil {
		return err
	}
	if b.landed(unsure, data) {
		return nil
	}
	revision, err := b.store.Swap(ctx, b.key, b.revision, data, 0)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		b.revision, b.kept = revision, data
		return nil
	case errors.As(err, &conflict):
		return b.recognise(ctx, data)
	default:
		b.unsure = data
		return err
	}
}

// landed reports whether the write with the lost answer was this same one.
func (b *book) landed(unsure, data []byte) bool {
	return unsure != nil && bytes.Equal(unsure, data) && bytes.Equal(b.kept, data)
}

// settle finds out what became of a write whose answer was lost.
func (b *book) settle(ctx context.Context) error {
	if b.unsure == nil {
		return nil
	}
	return b.reread(ctx, b.unsure, true)
}

// recognise tells this process's own write, landed late, from another's.
func (b *book) recognise(ctx context.Context, data []byte) error {
	b.unsure = data
	return b.reread(ctx, data, false)
}

func (b *book) reread(ctx context.Context, own []byte, mayBeOld bool) error {
	value, err := b.store.Get(ctx, b.key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		value, err = platform.Value{}, nil
	}
	switch {
	case err != nil:
		return err
	case value.Revision == b.revision && mayBeOld:
		// It hasn't taken effect. Should it land later, the next write makes it fail.
		b.unsure = nil
		return nil
	case bytes.Equal(value.Data, own) && value.Revision > b.revision:
		b.revision, b.unsure, b.kept = value.Revision, nil, own
		return nil
	default:
		return &LostError{Key: b.key}
	}
}
