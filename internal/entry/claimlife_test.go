package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// restartedAlone is the membership of a restarted sidecar that knows no others.
type restartedAlone struct{}

func (restartedAlone) Fleet(string) *statepb.Fleet { return nil }
func (restartedAlone) IsFirstProcess() bool        { return false }
func (restartedAlone) IsIsolated(time.Time) bool   { return false }
func (restartedAlone) CountOthers(string) int      { return 0 }

// Guards against a posting that runs twice: its claim ends while it still runs, since sidecars are set to remember
// requests for less time than a run may take.
func TestClaimOutlivesItsRun(t *testing.T) {
	newClaims := func() *Claims {
		return &Claims{Server: "s1", Pool: "ledger", Members: restartedAlone{}, Retention: time.Second, Started: time.Now()}
	}
	newRequest := func(id string) *peerpb.RunRequest {
		return peerpb.RunRequest_builder{Id: id, Claim: "key", Pool: "ledger"}.Build()
	}
	t.Run("at its home", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			claims, first := newClaims(), newRun(newRequest("r1"))
			must.True(t, first.markForwarded())
			find := func(id string) *run {
				if id == "r1" {
					return first
				}
				return nil
			}
			_, refused := claims.acquire(newRequest("r1"), find)
			must.Nil(t, refused)
			time.Sleep(maxRunTime)
			joined, refused := claims.acquire(newRequest("r2"), find)
			must.Nil(t, refused)
			must.NotNil(t, joined)
			must.Eq(t, first.id, joined.id)
		})
	})
	t.Run("at its witness", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			claims, none := newClaims(), func(string) *run { return nil }
			witness := func(id, server string) *peerpb.ClaimReply {
				return claims.witnessClaim(peerpb.ClaimRequest_builder{Id: id, Claim: "key", Pool: "ledger", Server: server}.Build(), none)
			}
			must.True(t, witness("r1", "s2").GetRecorded())
			time.Sleep(maxRunTime)
			reply := witness("r2", "s3")
			must.False(t, reply.GetRecorded())
			must.Eq(t, "r1", reply.GetId())
		})
	})
	t.Run("at a process that was started again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			claims := newClaims()
			time.Sleep(maxRunTime)
			must.False(t, claims.isComplete(time.Now()))
			time.Sleep(2 * claim.MaxFleetLag)
			must.True(t, claims.isComplete(time.Now()))
		})
	})
}
