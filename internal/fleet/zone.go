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
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// stateLeaving is the platform's state of a host that is about to leave.
const stateLeaving = "leaving"

// Platform is the part of the platform that a zone's duty needs.
type Platform interface {
	OrderPlatform
	Hosts(ctx context.Context) ([]platform.Host, error)
	Servers(ctx context.Context, zone string) ([]platform.Server, error)
}

// Members gives a zone's duty access to the state of other processes.
type Members interface {
	Fact(name string) *peerpb.Fact
	Load(server string) *peerpb.Load
	Offer(fact *peerpb.Fact) bool
	Processes(role peerpb.Role) []*peerpb.Process
}

// Zone performs the duty of one zone. Exported fields are set before Run.
type Zone struct {
	Name      string
	Process   string
	Platform  Platform
	Members   Members
	Sidecars  Sidecars
	Decisions *decision.Log
	// Pools returns the pools of the lists.
	Pools func() []*listpb.Pool
	// Scale decides the number of servers of each pool in the zone.
	Scale Scaler
	// Interval is the time between rounds.
	Interval time.Duration
	// Lease is the length of the duty's lease.
	Lease time.Duration
	// OrderTimeout is the maximum time that an order may be in flight.
	OrderTimeout time.Duration
	// DrainTimeout is the maximum wait for a server to drain.
	DrainTimeout time.Duration

	orderer *Orderer
	// knownPools are the pools of the lists and all other pools that have or had a server in the
	// zone.
	knownPools map[string]bool
	// stopping are the servers whose stop orders the platform has accepted.
	stopping map[string]bool
}

// Run performs the duty until its term ends.
func (z *Zone) Run(ctx context.Context, term *duty.Term) error {
	z.knownPools, z.stopping = map[string]bool{}, map[string]bool{}
	z.Scale.Begin(z.Name)
	z.orderer = &Orderer{
		Zone:      z.Name,
		Process:   z.Process,
		Platform:  z.Platform,
		Term:      term,
		Decisions: z.Decisions,
		Lease:     z.Lease,
		Bound:     z.OrderTimeout,
	}
	if err := z.orderer.Begin(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(z.Interval)
	defer ticker.Stop()
	for {
		err := z.reconcile(ctx)
		if isTermOver(err) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			klog.Warningf("order: reconciling zone %s failed: %v", z.Name, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// isTermOver reports whether an error means that the term has ended.
func isTermOver(err error) bool {
	var superseded *SupersededError
	var ended *TermEndedError
	return errors.As(err, &superseded) || errors.As(err, &ended)
}

func (z *Zone) reconcile(ctx context.Context) error {
	listed, err := z.Platform.Servers(ctx, z.Name)
	if err != nil {
		return err
	}
	view := ZoneView{Listed: listed, Addresses: z.sidecarAddresses(), Leaving: z.leavingServers(ctx)}
	errs := []error{z.sendPending(ctx)}
	for _, pool := range z.poolNames(listed) {
		fleet, err := z.updateFleet(ctx, pool, view)
		if err == nil {
			fleet, err = z.resize(ctx, pool, fleet, view)
		}
		if err == nil {
			err = z.drainAll(ctx, fleet)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// sendPending resends orders whose outcome is unknown.
func (z *Zone) sendPending(ctx context.Context) error {
	if !z.orderer.Ready() {
		return nil
	}
	for _, order := range z.orderer.Pending() {
		if err := z.send(ctx, order); err != nil {
			return err
		}
	}
	return nil
}

// send sends an order and records accepted stops: the list read before still contains
// the server, which would otherwise be stopped a second time.
func (z *Zone) send(ctx context.Context, order *statepb.Order) error {
	err := z.orderer.Send(ctx, order)
	if err == nil && order.GetAction() == ActionStop {
		z.stopping[order.GetServer()] = true
	}
	return err
}

// leavingServers returns the servers whose hosts are about to leave.
func (z *Zone) leavingServers(ctx context.Context) map[string]bool {
	hosts, err := z.Platform.Hosts(ctx)
	if err != nil {
		return nil
	}
	addresses := map[string]bool{}
	for _, host := range hosts {
		addresses[host.Address] = host.State == stateLeaving
	}
	leaving := map[string]bool{}
	for _, process := range z.Members.Processes(peerpb.Role_ROLE_SIDECAR) {
		if addresses[process.GetAddress()] {
			leaving[process.GetServer()] = true
		}
	}
	return leaving
}

// poolNames returns the names of the pools of the lists and of all other pools that have or had a
// server in the zone.
func (z *Zone) poolNames(listed []platform.Server) []string {
	for _, server := range listed {
		if server.IsUnreadable {
			continue
		}
		z.knownPools[server.Pool] = true
		if server.State == stateStopping {
			z.stopping[server.ID] = true
		}
	}
	for _, pool := range z.Pools() {
		z.knownPools[pool.GetName()] = true
	}
	var pools []string
	for pool := range z.knownPools {
		pools = append(pools, pool)
	}
	return pools
}

// updateFleet writes the observed state to the pool's key, if it has changed, and returns it.
func (z *Zone) updateFleet(ctx context.Context, pool string, view ZoneView) (*statepb.Fleet, error) {
	key := member.FactFleet + pool
	known, revision, err := z.readFleet(ctx, key)
	if err != nil {
		return nil, err
	}
	next, changed := Update(known, pool, z.Name, view, time.Now())
	if !changed {
		return next, nil
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return nil, eris.Wrap(err, "encode "+key)
	}
	revision, err = z.Platform.CompareAndSwap(ctx, key, revision, data, 0)
	if err != nil {
		return nil, errors.Join(err, z.refresh(ctx, key))
	}
	z.Members.Offer(peerpb.Fact_builder{Name: key, Revision: revision, Value: data}.Build())
	z.Decisions.Record(pool, "order", "zone %s changed, epoch %d: %s", z.Name, next.GetEpoch(), summary(next, z.Name))
	return next, nil
}

// readFleet reads the fact instead of the store, which saves a store call each round; if the fact
// is stale, the later compare-and-swap fails.
func (z *Zone) readFleet(ctx context.Context, key string) (*statepb.Fleet, uint64, error) {
	fact := z.Members.Fact(key)
	if fact == nil {
		if err := z.refresh(ctx, key); err != nil {
			return nil, 0, err
		}
		fact = z.Members.Fact(key)
	}
	known := &statepb.Fleet{}
	return known, fact.GetRevision(), eris.Wrap(proto.Unmarshal(fact.GetValue(), known), "read "+key)
}

// refresh updates the fact to the stored value of the key.
func (z *Zone) refresh(ctx context.Context, key string) error {
	value, err := z.Platform.Get(ctx, key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	z.Members.Offer(peerpb.Fact_builder{Name: key, Revision: value.Revision, Value: value.Data}.Build())
	return nil
}

// sidecarAddresses returns the sidecars' addresses by backend server.
func (z *Zone) sidecarAddresses() map[string]string {
	addresses := map[string]string{}
	for _, process := range z.Members.Processes(peerpb.Role_ROLE_SIDECAR) {
		addresses[process.GetServer()] = process.GetAddress()
	}
	return addresses
}
