package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

var scalePool = listpb.Pool_builder{Name: "p", Zones: []string{"a", "b"}, Min: 2, Max: 8}.Build()

func newScaler(t *testing.T) *fleet.Scaler {
	t.Helper()
	scaler := &fleet.Scaler{Target: 0.75, ScaleDownDelay: time.Minute, Slack: 0, ZoneLossTimeout: time.Minute}
	scaler.Begin("a")
	return scaler
}

// newObservation returns servers in zones a and b, each with a number of running requests.
func newObservation(a, b int, running uint32) fleet.Observation {
	state := &statepb.Fleet{}
	for i := range a + b {
		zone := "a"
		if i >= a {
			zone = "b"
		}
		server := statepb.Server_builder{Id: string(rune('0' + i)), Pool: "p", Zone: zone, State: fleet.StateLive}.Build()
		state.SetServers(append(state.GetServers(), server))
	}
	load := peerpb.Load_builder{Running: running, Slots: 10}.Build()
	return fleet.Observation{Fleet: state, ReachableZones: map[string]bool{"a": true, "b": true}, Load: func(string) *peerpb.Load { return load }}
}

func mustShare(t *testing.T, scaler *fleet.Scaler, now time.Time, observed fleet.Observation, want int) {
	t.Helper()
	share, isSized := scaler.Share(now, scalePool, observed)
	must.True(t, isSized)
	must.Eq(t, want, share)
}

func TestScaleFollowsLoad(t *testing.T) {
	scaler, now := newScaler(t), time.Unix(1000, 0)
	mustShare(t, scaler, now, newObservation(1, 1, 7), 1)
	mustShare(t, scaler, now, newObservation(1, 1, 15), 2)
	must.Eq(t, 1, scaler.Missing(now, "p", 2, newObservation(1, 1, 15).Fleet))
}

// A new holder that knows no loads would consider the pool idle and drain half of its servers. The
// new holder must keep all servers until ScaleDownDelay has passed, since draining them would abort
// requests.
func TestScaleOfNewHolderKeepsServers(t *testing.T) {
	scaler, now := newScaler(t), time.Unix(1000, 0)
	observed := newObservation(3, 3, 0)
	observed.Load = func(string) *peerpb.Load { return nil }
	mustShare(t, scaler, now, observed, 3)
	mustShare(t, scaler, now.Add(59*time.Second), observed, 3)
	mustShare(t, scaler, now.Add(2*time.Minute), observed, 1)
	must.Len(t, 2, scaler.Surplus(1, observed))
}

// A zone goes down. Its servers stay in the platform's list, but none of its processes is known any
// longer. After ZoneLossTimeout its share must move to the other zone.
func TestScaleReplacesLostZone(t *testing.T) {
	scaler, now := newScaler(t), time.Unix(1000, 0)
	observed := newObservation(2, 2, 7)
	mustShare(t, scaler, now, observed, 2)
	observed.ReachableZones = map[string]bool{"a": true}
	mustShare(t, scaler, now, observed, 2)
	mustShare(t, scaler, now.Add(61*time.Second), observed, 4)
	observed.ReachableZones = map[string]bool{"a": true, "b": true}
	mustShare(t, scaler, now.Add(62*time.Second), observed, 2)
}

// The platform's list lags and doesn't yet contain an ordered server. If each round ordered a
// server again, a pool that lacks one server would get ten.
func TestScaleOrdersOnce(t *testing.T) {
	scaler, now := newScaler(t), time.Unix(1000, 0)
	observed := newObservation(1, 1, 7)
	must.Eq(t, 1, scaler.Missing(now, "p", 2, observed.Fleet))
	scaler.RecordOrdered(now, "p", "new")
	must.Eq(t, 0, scaler.Missing(now, "p", 2, observed.Fleet))
	must.Eq(t, 1, scaler.Missing(now.Add(2*time.Minute), "p", 2, observed.Fleet))
}
