package fleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Sidecars gives orders to sidecars.
type Sidecars interface {
	// Drain makes a sidecar take no new work and returns its load afterwards.
	Drain(ctx context.Context, process *peerpb.Process, order *peerpb.OrderRequest) (*peerpb.Load, error)
}

// drainAll brings each draining server of the zone nearer to its stop.
func (z *Zone) drainAll(ctx context.Context, fleet *statepb.Fleet) error {
	for _, server := range fleet.GetServers() {
		if server.GetZone() != z.Name || server.GetState() != StateDraining || z.stopping[server.GetId()] {
			continue
		}
		if err := z.drain(ctx, server); err != nil {
			return err
		}
	}
	return nil
}

// drain stops a server once its sidecar shows that nothing runs or waits there.
//
// Requests are cut off if a server is stopped while they run: so the sidecar is
// told first, and told again each round, as it may have restarted and forgotten
// it. Once it takes no new work and shows none, nothing can begin there.
func (z *Zone) drain(ctx context.Context, server *statepb.Server) error {
	waited := time.Since(time.Unix(server.GetSince(), 0))
	load := z.askToDrain(ctx, server)
	switch {
	case isIdle(load):
		return z.stop(ctx, server, "it is drained")
	case waited >= z.DrainBound:
		return z.stop(ctx, server, "it was not drained within the bound")
	default:
		return nil
	}
}

// askToDrain returns the load that the sidecar shows; nil if it can't be reached.
func (z *Zone) askToDrain(ctx context.Context, server *statepb.Server) *peerpb.Load {
	process := z.sidecar(server.GetId())
	if process == nil {
		return nil
	}
	order := peerpb.OrderRequest_builder{
		Action: peerpb.Action_ACTION_DRAIN,
		Fence:  z.orderer.Term.Fence(),
		Duty:   DutyPrefix + z.Name,
	}.Build()
	load, err := z.Sidecars.Drain(ctx, process, order)
	if err != nil {
		klog.Warningf("order: %s can't be drained: %v", server.GetId(), err)
		return nil
	}
	return load
}

func (z *Zone) stop(ctx context.Context, server *statepb.Server, reason string) error {
	if !z.orderer.Ready() || z.isPending(server.GetId()) {
		return nil
	}
	return z.send(ctx, z.orderer.New(ActionStop, server.GetPool(), server.GetId(), reason))
}

func (z *Zone) isPending(server string) bool {
	for _, order := range z.orderer.Pending() {
		if order.GetServer() == server {
			return true
		}
	}
	return false
}

func (z *Zone) sidecar(server string) *peerpb.Process {
	for _, process := range z.Members.Processes(peerpb.Role_ROLE_SIDECAR) {
		if process.GetServer() == server {
			return process
		}
	}
	return nil
}

func isIdle(load *peerpb.Load) bool {
	return load.GetDraining() && load.GetRunning() == 0 && load.GetQueued() == 0
}
