// Package duty elects one process as the holder of each duty.
//
// The holder of a duty owns a key in the platform's store that is bound to a lease. Its term is
// counted on the local clock from before the last renewal was sent, less a margin, so the term ends
// locally before the lease expires in the store.
package duty

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Prefix is the prefix of the store keys that record the holders of duties.
const Prefix = "duty/"

// Reader reads one value of the platform's store.
type Reader interface {
	Get(ctx context.Context, key string) (platform.Value, error)
}

// Store is the part of the platform's store that an Elector uses.
type Store interface {
	Reader
	Delete(ctx context.Context, key string, expect uint64) error
	GrantLease(ctx context.Context, length time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64, length time.Duration) error
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// Key returns the store key of a duty.
func Key(name string) string { return Prefix + name }

// Holder returns the holder of a duty, or a *platform.NotFoundError if there is none.
func Holder(ctx context.Context, store Reader, name string) (*statepb.Holder, error) {
	value, err := store.Get(ctx, Key(name))
	if err != nil {
		return nil, err
	}
	return ParseHolder(value)
}

// ParseHolder decodes the value of a duty's key.
//
// The fence is the revision at which the holder created the key. The store's revisions are a single
// sequence that never decreases, so the fence also grows after the key has expired with its lease;
// a counter in the value would be lost then. Only a term that a restarted holder resumes has its
// fence in the value, since the term began at an earlier revision of the key.
func ParseHolder(value platform.Value) (*statepb.Holder, error) {
	holder := &statepb.Holder{}
	if err := proto.Unmarshal(value.Data, holder); err != nil {
		return nil, eris.Wrap(err, "read "+value.Key)
	}
	if holder.GetFence() == 0 {
		holder.SetFence(value.Revision)
	}
	return holder, nil
}
