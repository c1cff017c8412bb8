package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Platform is what a zone's duty needs of the platform.
type Platform interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Servers(ctx context.Context, zone string) ([]platform.Server, error)
	Swap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// Members is what a zone's duty needs to know of other processes.
type Members interface {
	Fact(name string) *peerpb.Fact
	Offer(fact *peerpb.Fact) bool
	Processes(role peerpb.Role) []*peerpb.Process
}

// Zone does the duty of one zone. Exported fields are set before Run.
type Zone struct {
	Name      string
	Platform  Platform
	Members   Members
	Decisions *decision.Log
	// Interval is the time between two rounds.
	Interval time.Duration
}

// Run does the duty until its term ends.
func (z *Zone) Run(ctx context.Context, _ *duty.Term) error {
	ticker := time.NewTicker(z.Interval)
	defer ticker.Stop()
	for {
		if err := z.round(ctx); err != nil {
			klog.Warningf("order: zone %s: %v", z.Name, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (z *Zone) round(ctx context.Context) error {
	listed, err := z.Platform.Servers(ctx, z.Name)
	if err != nil {
		return err
	}
	var faults []error
	for _, pool := range z.pools(listed) {
		faults = append(faults, z.update(ctx, pool, listed))
	}
	return errors.Join(faults...)
}

// pools returns the pools with a server in the zone now.
func (z *Zone) pools(listed []platform.Server) []string {
	var pools []string
	seen := map[string]bool{}
	for _, server := range listed {
		if !seen[server.Pool] {
			seen[server.Pool] = true
			pools = append(pools, server.Pool)
		}
	}
	return pools
}

// update brings the pool's key in line with the platform's list.
func (z *Zone) update(ctx context.Context, pool string, listed []platform.Server) error {
	key := member.FactFleet + pool
	known, revision, err := z.read(ctx, key)
	if err != nil {
		return err
	}
	next, changed := Update(known, pool, z.Name, listed, z.addresses(), time.Now())
	if !changed {
		return nil
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode "+key)
	}
	revision, err = z.Platform.Swap(ctx, key, revision, data, 0)
	if err != nil {
		return err
	}
	z.Members.Offer(peerpb.Fact_builder{Name: key, Revision: revision, Value: data}.Build())
	z.Decisions.Record(pool, "order", "zone %s changed, epoch %d", z.Name, next.GetEpoch())
	return nil
}

func (z *Zone) read(ctx context.Context, key string) (*statepb.Fleet, uint64, error) {
	value, err := z.Platform.Get(ctx, key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return &statepb.Fleet{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	known := &statepb.Fleet{}
	return known, value.Revision, eris.Wrap(proto.Unmarshal(value.Data, known), "read "+key)
}

// addresses returns the sidecars' addresses by backend server.
func (z *Zone) addresses() map[string]string {
	addresses := map[string]string{}
	for _, process := range z.Members.Processes(peerpb.Role_ROLE_SIDECAR) {
		addresses[process.GetServer()] = process.GetAddress()
	}
	return addresses
}
