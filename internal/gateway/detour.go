package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// detourExtra is what a call through a peer may take longer than a direct one.
	detourExtra = 100 * time.Millisecond
	// detourTries is the most peers that one call is made through.
	detourTries = 2
	// turnedAgain is how long a gateway that the store turned away comes last
	// among those that calls are made through.
	turnedAgain = time.Second
)

// Detour makes a call of the store through another gateway, first through the
// one that could make the last.
//
// The store may turn several gateways away. The word of one of them is not the
// store's last: taken for it, gateways that asked each other lost their leases,
// though others were served all the while.
func (h *Hosts) Detour(ctx context.Context, call detour.Call) (detour.Answer, detour.RelayResult) {
	request := peerpb.DetourRequest_builder{
		Method: call.Method, Target: call.Target, Body: call.Body, Timeout: call.Timeout.Milliseconds(),
	}.Build()
	answer, made := detour.Answer{}, detour.NotSent
	for tries, name := range h.ways() {
		if tries == detourTries {
			break
		}
		client := h.Client(name)
		if client == nil {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, call.Timeout+detourExtra)
		reply, err := client.Detour(asking, request)
		cancel()
		status := int(reply.GetStatus())
		switch {
		case err != nil:
			klog.InfoS("hosts: no detour", "host", name, "err", err.Error())
			made = detour.OutcomeUnknown
		case platform.IsRejected(status):
			h.turnedAway(name)
			if made == detour.NotSent {
				answer, made = detour.Answer{Status: status}, detour.Answered
			}
		default:
			h.serves(name)
			return detour.Answer{Status: status, Body: reply.GetBody()}, detour.Answered
		}
	}
	return answer, made
}

// serves notes that a gateway could make a call for this process.
func (h *Hosts) serves(name string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.served != name {
		klog.InfoS("hosts: calls of the store go through another host", "host", name)
	}
	h.served = name
	delete(h.turned, name)
}

// turnedAway notes that the store has turned a gateway away.
func (h *Hosts) turnedAway(name string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.turned[name] = clock.Now()
	if h.served == name {
		h.served = ""
	}
}

// ways returns the other gateways: the one that served last first, those that
// the store has turned away of late last.
func (h *Hosts) ways() []string {
	names := h.Names()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := clock.Now()
	isTurned := func(name string) int {
		at := h.turned[name]
		return boolToInt(at != 0 && now.Sub(at) < turnedAgain)
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(boolToInt(b == h.served), boolToInt(a == h.served)),
			cmp.Compare(isTurned(a), isTurned(b)),
			cmp.Compare(h.turned[a], h.turned[b]),
		)
	})
	return slices.DeleteFunc(names, func(name string) bool { return name == h.Name })
}
