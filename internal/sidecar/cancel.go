package sidecar

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	cancelWorkers   = 4
	cancelQueueSize = 1024
	cancelTimeout   = time.Second
)

// cancellation asks a sidecar to stop a request.
type cancellation struct {
	address string
	id      string
	reason  string
}

// cancel queues a cancellation and never blocks, so that it does not delay the caller's
// answer. If the queue is full, the cancellation is dropped; the request then ends at its
// timeout.
func (p *Pool) cancel(address, id, reason string) {
	select {
	case p.cancels <- cancellation{address: address, id: id, reason: reason}:
	default:
		p.metrics.dropped.WithLabelValues("cancel").Inc()
		klog.Warningf("route: %s: cancellation dropped: the queue is full", id)
	}
}

func (p *Pool) runCancelWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.cancels:
			p.sendCancellation(ctx, next)
		}
	}
}

func (p *Pool) sendCancellation(ctx context.Context, next cancellation) {
	conn, err := p.connections.get(next.address)
	if err != nil {
		return
	}
	defer p.connections.release(conn)
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	request := peerpb.CancelRequest_builder{Id: next.id, Reason: next.reason}.Build()
	if _, err := peerpb.NewSidecarClient(conn).Cancel(ctx, request); err != nil {
		klog.V(1).Infof("route: %s: cancellation failed: %v", next.id, err)
	}
}
