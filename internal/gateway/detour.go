package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// detourMargin is added to the timeout of a call that a peer relays.
	detourMargin = 100 * time.Millisecond
	// maxDetourAttempts is the maximum number of peers tried for one call.
	maxDetourAttempts = 2
	// detourCooldown is how long a gateway is tried last after it gave no answer, or the
	// store rejected a call that it relayed.
	detourCooldown = time.Second
)

// Detour sends a store request through another gateway, starting with the gateway that
// last succeeded.
//
// The store may reject several gateways while it serves others, so Detour tries another
// gateway after a rejection. When the first rejection was final, gateways that relayed
// through each other lost their leases.
func (h *Hosts) Detour(ctx context.Context, call detour.Call) (detour.Answer, detour.RelayResult) {
	request := peerpb.DetourRequest_builder{
		Method: call.Method, Target: call.Target, Body: call.Body, Timeout: call.Timeout.Milliseconds(),
	}.Build()
	answer, result := detour.Answer{}, detour.NotSent
	for attempt, name := range h.detourOrder() {
		if attempt == maxDetourAttempts {
			break
		}
		client := h.Client(name)
		if client == nil {
			continue
		}
		deadline := time.Now().Add(call.Timeout + detourMargin)
		callCtx, cancel := context.WithDeadline(ctx, deadline)
		reply, err := client.Detour(callCtx, request)
		cancel()
		status := int(reply.GetStatus())
		switch {
		case err != nil:
			klog.InfoS("hosts: relaying a store request through a peer failed", "host", name, "err", err.Error())
			result = detour.OutcomeUnknown
			if !hasGivenUp(ctx, deadline, err) {
				h.recordDetourFailed(name)
			}
		case platform.IsRejected(status):
			h.recordDetourFailed(name)
			if result == detour.NotSent {
				answer, result = detour.Answer{Status: status}, detour.Answered
			}
		default:
			h.recordDetourAnswered(name)
			return detour.Answer{Status: status, Body: reply.GetBody()}, detour.Answered
		}
	}
	return answer, result
}

// hasGivenUp reports whether a relay failed because its context ended before the relay's own deadline. The other gateway
// has the earlier deadline too, and may report its end before this process notices it.
func hasGivenUp(ctx context.Context, deadline time.Time, err error) bool {
	end, isBounded := ctx.Deadline()
	return ctx.Err() != nil || isBounded && end.Before(deadline) && status.Code(err) == codes.DeadlineExceeded
}

// recordDetourAnswered notes that a gateway relayed a store request for this process.
func (h *Hosts) recordDetourAnswered(name string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.detourHost != name {
		klog.InfoS("hosts: store requests now go through a peer", "host", name)
	}
	h.detourHost = name
	delete(h.detourFailedAt, name)
}

// recordDetourFailed notes that a gateway gave no answer to a request that it was to relay, or that
// the store rejected the request. A gateway may be in touch with this process and cut off from the
// store: each request that is sent through it takes its whole timeout.
func (h *Hosts) recordDetourFailed(name string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.detourFailedAt[name] = clock.Now()
	if h.detourHost == name {
		h.detourHost = ""
	}
}

// detourOrder returns the other gateways in the order in which they are tried: the
// gateway that last succeeded first, those that failed recently last, else those that watch
// the store or would be the next to do so.
func (h *Hosts) detourOrder() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	names := slices.Clone(h.order)
	now := clock.Now()
	failedRank := func(name string) int {
		at := h.detourFailedAt[name]
		return boolToInt(at != 0 && now.Sub(at) < detourCooldown)
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(boolToInt(b == h.detourHost), boolToInt(a == h.detourHost)),
			cmp.Compare(failedRank(a), failedRank(b)),
			cmp.Compare(h.detourFailedAt[a], h.detourFailedAt[b]),
		)
	})
	return slices.DeleteFunc(names, func(name string) bool { return name == h.Name })
}
