package operator_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

func TestUsage(t *testing.T) {
	fixture := newFixture(t)
	for _, start := range []int64{7200, 3600} {
		window := statepb.Window_builder{Start: start, Length: 3600, Reported: start == 3600}.Build()
		data, err := proto.Marshal(window)
		must.NoError(t, err)
		_, err = fixture.store.CompareAndSwap(ctx, usage.WindowKey(start), 0, data, 0)
		must.NoError(t, err)
	}
	all, err := fixture.client("ann-token").Usage(ctx, 0)
	must.NoError(t, err)
	must.Len(t, 2, all.GetWindows())
	must.Eq(t, int64(3600), all.GetWindows()[0].GetStart())
	one, err := fixture.client("ann-token").Usage(ctx, 7200)
	must.NoError(t, err)
	must.Len(t, 1, one.GetWindows())
	must.False(t, one.GetWindows()[0].GetReported())
	_, err = fixture.client("ann-token").Usage(ctx, 60)
	mustRefuse(t, http.StatusNotFound, err)
	_, err = fixture.client("no-token").Usage(ctx, 0)
	mustRefuse(t, http.StatusUnauthorized, err)
}
