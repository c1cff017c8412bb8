package rollout

import (
	"context"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/record"
)

// Store is what steps need of the platform's key-value service.
type Store interface {
	record.Store
	Delete(ctx context.Context, key string, expect uint64) error
	List(ctx context.Context, prefix string) (platform.ListReply, error)
}
