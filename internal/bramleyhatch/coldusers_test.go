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

// coldView is a configuration in which one pool is reached by batches, one by
// callers too, and one takes all it gets.
func coldView() *table.View {
	now := &table.Table{
		Version: 1,
		Pools:   []table.Pool{{Name: "batches", ColdRate: 12, ColdTime: time.Second}, {Name: "both", ColdRate: 12}, {Name: "free"}},
		Routes: []table.Route{
			{Kind: table.Batch, Shares: []table.Share{{Pool: "batches"}, {Pool: "both"}}},
			{Kind: table.Stream, Shares: []table.Share{{Pool: "both"}, {Pool: "free"}}},
		},
	}
	now.Index()
	view := &table.View{}
	view.Update(now)
	return view
}

// Guards against a share that counts gateways which don't send, or none that do.
func TestColdUsers(t *testing.T) {
	users := newColdUsers("g1", coldView())
	now := clock.Now()
	users.now = func() clock.Boot { return now }
	take := func(changes ...store.Value) { users.take(changes) }
	take(store.Value{Key: gateway.PrefixHost + "g1"}, store.Value{Key: gateway.PrefixHost + "g2"}, store.Value{Key: gateway.PrefixHost + "g3"})
	take(ownerChange(t, "b1", "g1"), ownerChange(t, "b2", "g1"), ownerChange(t, "b3", "g2"))
	share := func(pool string, sender roster.Sender) int {
		t.Helper()
		most, isUnbounded := users.Share(pool, "s1", sender)
		must.False(t, isUnbounded)
		return most
	}
	t.Run("none just after a start", func(t *testing.T) {
		users.heard()
		must.Eq(t, 0, share("batches", roster.SenderBatch))
	})
	now = now.Add(time.Minute)
	users.heard()
	t.Run("batches are sent by owners", func(t *testing.T) { must.Eq(t, 6, share("batches", roster.SenderBatch)) })
	t.Run("a rate for both is divided", func(t *testing.T) {
		must.Eq(t, 3, share("both", roster.SenderBatch))
		must.Eq(t, 2, share("both", roster.SenderCaller))
	})
	t.Run("a pool without a rate", func(t *testing.T) {
		_, isUnbounded := users.Share("free", "s1", roster.SenderCaller)
		must.True(t, isUnbounded)
	})
	t.Run("an owner of nothing counts for a while", func(t *testing.T) {
		take(ownerChange(t, "b3", ""))
		must.Eq(t, 6, share("batches", roster.SenderBatch))
	})
	t.Run("how long a server is cold", func(t *testing.T) { must.Eq(t, time.Second, users.Duration("batches")) })
}
