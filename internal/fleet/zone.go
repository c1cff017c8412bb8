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

// stateLeaving is the platform's word for a host that is about to go.
const stateLeaving = "leaving"

// Platform is what a zone's duty needs of the platform.
type Platform interface {
	OrderPlatform
	Hosts(ctx context.Context) ([]platform.Host, error)
	Servers(ctx context.Context, zone string) ([]platform.Server, error)
}

// Members is what a zone's duty needs to know of other processes.
type Members interface {
	Fact(name string) *peerpb.Fact
	Load(server string) *peerpb.Load
	Offer(fact *peerpb.Fact) bool
	Processes(role peerpb.Role) []*peerpb.Process
}

// Zone does the duty of one zone. Exported fields are set before Run.
type Zone struct {
	Name      string
	Process   string
	Platform  Platform
	Members   Members
	Sidecars  Sidecars
	Decisions *decision.Log
	// Pools returns the pools of the lists.
	Pools func() []*listpb.Pool
	// Scale decides how many servers each pool has here.
	Scale Scale
	// Interval is the time between two rounds.
	Interval time.Duration
	// Lease is the length of the duty's lease.
	Lease time.Duration
	// OrderBound is the longest time that an order may be under way.
	OrderBound time.Duration
	// DrainBound is the longest wait for a server to drain.
	DrainBound time.Duration

	orderer *Orderer
	// seen are the pools that had a server in the zone.
	seen map[string]bool
	// stopping are the servers whose order to stop was taken.
	stopping map[string]bool
}

// Run does the duty until its term ends.
func (z *Zone) Run(ctx context.Context, term *duty.Term) error {
	z.seen, z.stopping = map[string]bool{}, map[string]bool{}
	z.Scale.Begin(z.Name)
	z.orderer = &Orderer{
		Zone:      z.Name,
		Process:   z.Process,
		Platform:  z.Platform,
		Term:      term,
		Decisions: z.Decisions,
		Lease:     z.Lease,
		Bound:     z.OrderBound,
	}
	if err := z.orderer.Begin(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(z.Interval)
	defer ticker.Stop()
	for {
		err := z.round(ctx)
		if isOver(err) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			klog.Warningf("order: zone %s: %v", z.Name, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// isOver reports whether an error says that the term is over.
func isOver(err error) bool {
	var superseded *SupersededError
	var ended *TermEndedError
	return errors.As(err, &superseded) || errors.As(err, &ended)
}

func (z *Zone) round(ctx context.Context) error {
	listed, err := z.Platform.Servers(ctx, z.Name)
	if err != nil {
		return err
	}
	seen := ZoneView{Listed: listed, Addresses: z.addresses(), Leaving: z.leaving(ctx)}
	faults := []error{z.sendPending(ctx)}
	for _, pool := range z.pools(listed) {
		fleet, err := z.update(ctx, pool, seen)
		if err == nil {
			fleet, err = z.resize(ctx, pool, fleet, seen)
		}
		if err == nil {
			err = z.drainAll(ctx, fleet)
		}
		faults = append(faults, err)
	}
	return errors.Join(faults...)
}

// sendPending sends orders again whose outcome is not known.
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

// send sends an order and remembers stops: the list read before the order
// still shows the server, which would be stopped a second time.
func (z *Zone) send(ctx context.Context, order *statepb.Order) error {
	err := z.orderer.Send(ctx, order)
	if err == nil && order.GetAction() == ActionStop {
		z.stopping[order.GetServer()] = true
	}
	return err
}

// leaving returns the servers whose hosts are about to go.
func (z *Zone) leaving(ctx context.Context) map[string]bool {
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

// pools returns the pools of the lists and those that have or had a server in the zone.
func (z *Zone) pools(listed []platform.Server) []string {
	for _, server := range listed {
		z.seen[server.Pool] = true
		if server.State == stateStopping {
			z.stopping[server.ID] = true
		}
	}
	for _, pool := range z.Pools() {
		z.seen[pool.GetName()] = true
	}
	var pools []string
	for pool := range z.seen {
		pools = append(pools, pool)
	}
	return pools
}

// update brings the pool's key in line with what is seen and returns its value.
func (z *Zone) update(ctx context.Context, pool string, seen ZoneView) (*statepb.Fleet, error) {
	key := member.FactFleet + pool
	known, revision, err := z.read(ctx, key)
	if err != nil {
		return nil, err
	}
	next, changed := Update(known, pool, z.Name, seen, time.Now())
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

// read takes the fact, which saves a call each round; if it is old the swap fails.
func (z *Zone) read(ctx context.Context, key string) (*statepb.Fleet, uint64, error) {
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

// refresh makes the key's present value the fact.
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

// addresses returns the sidecars' addresses by backend server.
func (z *Zone) addresses() map[string]string {
	addresses := map[string]string{}
	for _, process := range z.Members.Processes(peerpb.Role_ROLE_SIDECAR) {
		addresses[process.GetServer()] = process.GetAddress()
	}
	return addresses
}
