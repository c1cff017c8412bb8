package bramleyhatch

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	store "github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// A host is removed for good and another one comes under its name, while the
// first one may still live behind a partition: what it holds isn't the other's.
func TestHolderLeftBy(t *testing.T) {
	var known holder
	data, err := proto.Marshal(statepb.Holder_builder{Process: "g1", Address: "10.0.0.1:7"}.Build())
	must.NoError(t, err)
	must.Eq(t, duty.PriorClaim{}, known.leftBy("g1", "10.0.0.1:7"))
	known.take([]store.Value{{Key: holderPrefix + dutyName, Data: data, Revision: 9}})
	must.Eq(t, duty.PriorClaim{Revision: 9, Fence: 9}, known.leftBy("g1", "10.0.0.1:7"))
	must.Eq(t, duty.PriorClaim{}, known.leftBy("g1", "10.0.0.2:7"))
	must.Eq(t, duty.PriorClaim{}, known.leftBy("g2", "10.0.0.1:7"))
	t.Run("gone on with before", func(t *testing.T) {
		again, err := proto.Marshal(statepb.Holder_builder{Process: "g1", Address: "10.0.0.1:7", Fence: 9}.Build())
		must.NoError(t, err)
		known.take([]store.Value{{Key: holderPrefix + dutyName, Data: again, Revision: 15}})
		must.Eq(t, duty.PriorClaim{Revision: 15, Fence: 9}, known.leftBy("g1", "10.0.0.1:7"))
	})
	known.take([]store.Value{{Key: holderPrefix + dutyName, Deleted: true, Revision: 10}})
	must.Eq(t, duty.PriorClaim{}, known.leftBy("g1", "10.0.0.1:7"))
	must.True(t, known.free())
}
