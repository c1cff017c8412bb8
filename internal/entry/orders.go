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

// maxOrderTime is the upper bound of an order's timeout, and the default.
const maxOrderTime = 2 * time.Minute

// WeightLoader is implemented by backends that can load weight versions.
type WeightLoader interface {
	// Load loads the ordered version and returns the version that the backend server
	// serves afterwards. The error is a *refusal.Error.
	Load(ctx context.Context, order *peerpb.OrderRequest, timeout time.Duration) (uint64, error)
}

// orderState holds the highest fencing token received for each duty. Its zero value is
// ready for use.
type orderState struct {
	mutex  sync.Mutex
	fences map[string]uint64
	// loadMutex admits one weight load at a time to the backend server.
	loadMutex sync.Mutex
}

// Order drains or resumes the backend server, or makes it load a weight version.
func (s *Server) Order(ctx context.Context, order *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	version, err := s.applyOrder(ctx, order)
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

func (s *Server) applyOrder(ctx context.Context, order *peerpb.OrderRequest) (uint64, error) {
	if refused := s.orders.checkFence(order); refused != nil {
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

// loadVersion forwards a load order. Load orders run one at a time, and an order that a
// newer fencing token superseded while it waited is refused: an engine that ignores
// fencing tokens would load the superseded version last.
func (s *Server) loadVersion(ctx context.Context, order *peerpb.OrderRequest) (uint64, error) {
	loader, ok := s.Backend.(WeightLoader)
	if !ok {
		return 0, refusal.NotRun(http.StatusBadRequest, "no_weights", "%s loads no weights", s.Name)
	}
	timeout := maxOrderTime
	if order.HasTimeout() {
		timeout = min(timeout, order.GetTimeout().AsDuration())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.orders.loadMutex.Lock()
	defer s.orders.loadMutex.Unlock()
	if refused := s.orders.checkFence(order); refused != nil {
		return s.Backend.Version(), refused
	}
	if ctx.Err() != nil {
		return s.Backend.Version(), refusal.NotRun(http.StatusServiceUnavailable, "timeout", "the order's time ended while another ran")
	}
	version, err := loader.Load(ctx, order, timeout)
	s.Loads.OfferLoad(s.load())
	return version, err
}

// setDraining starts or ends a drain and announces it to the other processes.
func (s *Server) setDraining(draining bool) {
	if draining {
		s.limiter.close()
	} else {
		s.limiter.open(s.MaxRunning, s.MaxQueued)
	}
	if s.OnDraining != nil {
		s.OnDraining(draining)
	}
	s.Loads.OfferLoad(s.load())
}

// checkFence refuses an order whose fencing token is lower than the highest received for
// its duty. Such an order comes from a former holder that was paused and still believes
// that it holds the duty.
func (o *orderState) checkFence(order *peerpb.OrderRequest) *refusal.Error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	highest := o.fences[order.GetDuty()]
	if order.GetFence() < highest {
		return refusal.NotRun(http.StatusConflict, "old_fence", "fence %d of %q is older than %d", order.GetFence(), order.GetDuty(), highest)
	}
	if o.fences == nil {
		o.fences = map[string]uint64{}
	}
	o.fences[order.GetDuty()] = order.GetFence()
	return nil
}
