package rollout

import (
	"context"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/record"
)

// Store is the part of the platform's key-value service that steps use.
type Store interface {
	record.Store
	Delete(ctx context.Context, key string, expect uint64) error
	List(ctx context.Context, prefix string) (platform.ListReply, error)
}
