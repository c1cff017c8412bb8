package bramleyhatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	store "github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

func ownerChange(t *testing.T, id, process string) store.Value {
	t.Helper()
	data, err := proto.Marshal(statepb.Owner_builder{Process: process}.Build())
	must.NoError(t, err)
	return store.Value{Key: batch.Prefix + "owner/" + id, Data: data, Deleted: process == ""}
}

// coldView returns a configuration with one pool for batches only, one for batches
// and callers, and one whose cold servers have no limit.
func coldView() *table.View {
	current := &table.Table{
		Version: 1,
		Pools:   []table.Pool{{Name: "batches", ColdRate: 12, ColdTime: time.Second}, {Name: "both", ColdRate: 12}, {Name: "free"}},
		Routes: []table.Route{
			{Kind: table.Batch, Shares: []table.Share{{Pool: "batches"}, {Pool: "both"}}},
			{Kind: table.Stream, Shares: []table.Share{{Pool: "both"}, {Pool: "free"}}},
		},
	}
	current.Index()
	view := &table.View{}
	view.Update(current)
	return view
}

// Guards against a quota that counts gateways that don't send, or omits gateways
// that do.
func TestColdLimiter(t *testing.T) {
	limiter := newColdLimiter("g1", coldView())
	now := clock.Now()
	limiter.now = func() clock.Boot { return now }
	apply := func(changes ...store.Value) { limiter.apply(changes) }
	apply(store.Value{Key: gateway.PrefixHost + "g1"}, store.Value{Key: gateway.PrefixHost + "g2"}, store.Value{Key: gateway.PrefixHost + "g3"})
	apply(ownerChange(t, "b1", "g1"), ownerChange(t, "b2", "g1"), ownerChange(t, "b3", "g2"))
	quota := func(pool string, sender roster.Sender) int {
		t.Helper()
		limit, isUnbounded := limiter.Quota(pool, "s1", sender)
		must.False(t, isUnbounded)
		return limit
	}
	t.Run("none just after a start", func(t *testing.T) {
		limiter.markCurrent()
		must.Eq(t, 0, quota("batches", roster.SenderBatch))
	})
	now = now.Add(time.Minute)
	limiter.markCurrent()
	t.Run("batches are sent by owners", func(t *testing.T) { must.Eq(t, 6, quota("batches", roster.SenderBatch)) })
	t.Run("a rate for both is divided", func(t *testing.T) {
		must.Eq(t, 3, quota("both", roster.SenderBatch))
		must.Eq(t, 2, quota("both", roster.SenderCaller))
	})
	t.Run("a pool without a rate", func(t *testing.T) {
		_, isUnbounded := limiter.Quota("free", "s1", roster.SenderCaller)
		must.True(t, isUnbounded)
	})
	t.Run("an owner of nothing counts for a while", func(t *testing.T) {
		apply(ownerChange(t, "b3", ""))
		must.Eq(t, 6, quota("batches", roster.SenderBatch))
	})
	t.Run("how long a server is cold", func(t *testing.T) { must.Eq(t, time.Second, limiter.Duration("batches")) })
}
