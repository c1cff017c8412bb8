package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

const (
	overloadPool      = "service"
	overloadPollDelay = 15 * time.Millisecond
	overloadConstant  = 100 * time.Millisecond
)

// overloadControl is what a gateway does about full servers.
type overloadControl interface {
	// admit decides before the first try.
	admit(r *overloadRun, request *overloadRequest) bool
	// onFull continues a request that the given servers refused.
	onFull(r *overloadRun, request *overloadRequest, full []int)
	recordAnswer(now clock.Boot, route string, took time.Duration)
	recordFull(now clock.Boot)
	scorerWindow(r *overloadRun) int
}

type overloadPolicy struct {
	name       string
	newControl func(random *rand.Rand) overloadControl
}

func overloadPolicies() []overloadPolicy {
	return []overloadPolicy{
		controllerPolicy(),
		{name: "two servers every 15 ms", newControl: func(*rand.Rand) overloadControl { return pollControl{} }},
		{name: "refused at the first full server", newControl: func(*rand.Rand) overloadControl { return naiveControl{} }},
	}
}

func controllerPolicy() overloadPolicy {
	return overloadPolicy{name: "Controller (chosen)", newControl: func(random *rand.Rand) overloadControl {
		return &admissionControl{controller: admission.Controller{Random: random}}
	}}
}

// staticControl admits all and gives scorers half of the registered slots.
type staticControl struct{}

func (staticControl) admit(_ *overloadRun, request *overloadRequest) bool {
	request.retryAfter = overloadConstant
	return true
}

func (staticControl) recordAnswer(clock.Boot, string, time.Duration) {}

func (staticControl) recordFull(clock.Boot) {}

func (staticControl) scorerWindow(r *overloadRun) int {
	return r.overloadParams.servers * overloadSlots / 2
}

// pollControl asks the two servers with the least load again until the deadline.
type pollControl struct{ staticControl }

func (pollControl) onFull(r *overloadRun, request *overloadRequest, full []int) {
	switch {
	case len(full) < 2 && len(full) < r.visible:
		r.try(request, full)
	case request.left(r.now) > overloadPollDelay:
		r.after(overloadPollDelay, func() { r.try(request, nil) })
	default:
		r.refuse(request)
	}
}

// naiveControl refuses a request when the first server is full.
type naiveControl struct{ staticControl }

func (naiveControl) onFull(r *overloadRun, request *overloadRequest, _ []int) { r.refuse(request) }

// admissionControl uses admission.Controller.
type admissionControl struct{ controller admission.Controller }

func (c *admissionControl) admit(r *overloadRun, request *overloadRequest) bool {
	decision := c.controller.Admit(admission.Request{
		Pool: overloadPool, Route: "lookup", Account: fmt.Sprint(request.account), Class: admission.Callers,
		Target: overloadTarget, Timeout: overloadTimeout, Left: request.left(r.now),
	}, r.now)
	request.retryAfter = decision.RetryAfter
	return decision.Admitted
}

func (c *admissionControl) onFull(r *overloadRun, request *overloadRequest, full []int) {
	c.controller.RecordFull(overloadPool, r.now)
	if len(full) < 2 && len(full) < r.visible && c.controller.MayRetry(overloadPool, r.now) {
		r.try(request, full)
		return
	}
	r.refuse(request)
}

func (c *admissionControl) recordAnswer(now clock.Boot, route string, took time.Duration) {
	c.controller.RecordAnswer(overloadPool, route, overloadTarget, took, now)
}

func (c *admissionControl) recordFull(now clock.Boot) { c.controller.RecordFull(overloadPool, now) }

func (c *admissionControl) scorerWindow(r *overloadRun) int {
	return c.controller.ScorerWindow(overloadPool, r.visible*overloadSlots, overloadOwners, r.now)
}
