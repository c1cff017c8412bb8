package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// longestOrder bounds orders that come without a time.
const longestOrder = 2 * time.Minute

// WeightLoader is a backend server that loads weight versions on order.
type WeightLoader interface {
	// Load returns the version that the backend server shows afterwards. The
	// error is a *refusal.Error.
	Load(ctx context.Context, order *peerpb.OrderRequest, timeout time.Duration) (uint64, error)
}

// orders keeps the fencing numbers of the duties that gave orders. Its zero
// value has seen none.
type orders struct {
	mutex  sync.Mutex
	fences map[string]uint64
	// loading lets one order at a time through to the backend server.
	loading sync.Mutex
}

// Order makes the sidecar drain or take work again, or passes an order on.
func (s *Server) Order(ctx context.Context, order *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	version, err := s.obey(ctx, order)
	reply := peerpb.OrderReply_builder{Version: version, Load: s.load()}.Build()
	var refused *refusal.Error
	switch {
	case errors.As(err, &refused):
		reply.SetRefusal(refused.ToMessage())
	case err != nil:
		return nil, err
	}
	s.Decisions.Record(s.Name, "order", "%s by %q fence %d: shows version %d, %v", order.GetAction(), order.GetDuty(), order.GetFence(), version, err)
	return reply, nil
}

func (s *Server) obey(ctx context.Context, order *peerpb.OrderRequest) (uint64, error) {
	if refused := s.orders.take(order); refused != nil {
		return s.Backend.Version(), refused
	}
	switch order.GetAction() {
	case peerpb.Action_ACTION_DRAIN:
		s.setDraining(true)
		return s.Backend.Version(), nil
	case peerpb.Action_ACTION_RESUME:
		s.setDraining(false)
		return s.Backend.Version(), nil
	case peerpb.Action_ACTION_VERSION:
		return s.loadVersion(ctx, order)
	default:
		return s.Backend.Version(), refusal.NotRun(http.StatusBadRequest, "unknown_action", "%s is not known", order.GetAction())
	}
}

// loadVersion passes the order on. Orders wait for each other, and an order
// that a newer fence has overtaken meanwhile is not passed on: an engine that
// ignores fencing numbers would load the older order's version last.
func (s *Server) loadVersion(ctx context.Context, order *peerpb.OrderRequest) (uint64, error) {
	loader, ok := s.Backend.(WeightLoader)
	if !ok {
		return 0, refusal.NotRun(http.StatusBadRequest, "no_weights", "%s loads no weights", s.Name)
	}
	timeout := longestOrder
	if order.HasTimeout() {
		timeout = min(timeout, order.GetTimeout().AsDuration())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.orders.loading.Lock()
	defer s.orders.loading.Unlock()
	if refused := s.orders.take(order); refused != nil {
		return s.Backend.Version(), refused
	}
	if ctx.Err() != nil {
		return s.Backend.Version(), refusal.NotRun(http.StatusServiceUnavailable, "timeout", "the order's time ended while another ran")
	}
	version, err := loader.Load(ctx, order, timeout)
	s.Loads.OfferLoad(s.load())
	return version, err
}

// setDraining changes whether new work is taken, and tells the other processes.
func (s *Server) setDraining(draining bool) {
	if draining {
		s.gate.close()
	} else {
		s.gate.open(s.MaxRunning, s.MaxQueued)
	}
	if s.OnDraining != nil {
		s.OnDraining(draining)
	}
	s.Loads.OfferLoad(s.load())
}

// take refuses an order of a duty's former holder, who was paused and believes
// that it still holds the duty: its fencing number is lower than one seen.
func (o *orders) take(order *peerpb.OrderRequest) *refusal.Error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	seen := o.fences[order.GetDuty()]
	if order.GetFence() < seen {
		return refusal.NotRun(http.StatusConflict, "old_fence", "fence %d of %q is older than %d", order.GetFence(), order.GetDuty(), seen)
	}
	if o.fences == nil {
		o.fences = map[string]uint64{}
	}
	o.fences[order.GetDuty()] = order.GetFence()
	return nil
}
