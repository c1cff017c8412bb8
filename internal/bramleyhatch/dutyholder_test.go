package bramleyhatch

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	store "github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Guards against a host that resumes the duty of another host. A new host replaces
// the other host under the same name, while the other host may still be alive
// behind a partition.
func TestDutyHolderPriorClaim(t *testing.T) {
	var tracked dutyHolder
	data, err := proto.Marshal(statepb.Holder_builder{Process: "g1", Address: "10.0.0.1:7"}.Build())
	must.NoError(t, err)
	must.Eq(t, duty.PriorClaim{}, tracked.priorClaim("g1", "10.0.0.1:7"))
	tracked.apply([]store.Value{{Key: holderPrefix + dutyName, Data: data, Revision: 9}})
	must.Eq(t, duty.PriorClaim{Revision: 9, Fence: 9}, tracked.priorClaim("g1", "10.0.0.1:7"))
	must.Eq(t, duty.PriorClaim{}, tracked.priorClaim("g1", "10.0.0.2:7"))
	must.Eq(t, duty.PriorClaim{}, tracked.priorClaim("g2", "10.0.0.1:7"))
	t.Run("resumed duty", func(t *testing.T) {
		again, err := proto.Marshal(statepb.Holder_builder{Process: "g1", Address: "10.0.0.1:7", Fence: 9}.Build())
		must.NoError(t, err)
		tracked.apply([]store.Value{{Key: holderPrefix + dutyName, Data: again, Revision: 15}})
		must.Eq(t, duty.PriorClaim{Revision: 15, Fence: 9}, tracked.priorClaim("g1", "10.0.0.1:7"))
	})
	tracked.apply([]store.Value{{Key: holderPrefix + dutyName, Deleted: true, Revision: 10}})
	must.Eq(t, duty.PriorClaim{}, tracked.priorClaim("g1", "10.0.0.1:7"))
	must.True(t, tracked.free())
}
