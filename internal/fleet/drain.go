package fleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Sidecars sends orders to sidecars.
type Sidecars interface {
	// Drain makes a sidecar reject new work and returns the server's load afterwards.
	Drain(ctx context.Context, process *peerpb.Process, order *peerpb.OrderRequest) (*peerpb.Load, error)
}

// drainAll calls drain for each draining server of the zone.
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

// drain stops a server once its sidecar reports no running or queued requests, or
// after DrainTimeout.
//
// Stopping a server aborts its running requests, so its sidecar is ordered to drain first. The
// order is repeated each round, since a restarted sidecar has lost it. Once the sidecar rejects new
// work and reports no requests, no request can start at the server.
func (z *Zone) drain(ctx context.Context, server *statepb.Server) error {
	waited := time.Since(time.Unix(server.GetSince(), 0))
	load := z.requestDrain(ctx, server)
	switch {
	case isIdle(load):
		return z.stop(ctx, server, "it is drained")
	case waited >= z.DrainTimeout:
		return z.stop(ctx, server, "it was not drained within the bound")
	default:
		return nil
	}
}

// requestDrain orders the sidecar to drain and returns the server's load, nil if the order failed.
func (z *Zone) requestDrain(ctx context.Context, server *statepb.Server) *peerpb.Load {
	process := z.findSidecar(server.GetId())
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
		klog.Warningf("order: requesting the drain of %s failed: %v", server.GetId(), err)
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

func (z *Zone) findSidecar(server string) *peerpb.Process {
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
