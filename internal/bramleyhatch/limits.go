package bramleyhatch

import (
	"runtime/debug"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	// requestShare is the divisor of the process's memory for the requests of clients.
	requestShare = 3
	// minRequestBytes has room for the largest body of 32 MB while it is copied from a buffer of half its size, beside the
	// part for small requests.
	minRequestBytes = 64 << 20
	// heapPercent is the part of the memory that the garbage collector tries to stay within. The rest is for stacks of
	// the system, unread bytes and the program itself.
	heapPercent = 80
	megabyte    = 1 << 20
	// controlBytes bounds a listener that only serves readiness or metrics. It doesn't share the memory for requests, so
	// that a process without memory still answers there.
	controlBytes = 4 << 20
)

// addLimits sets what clients may make the process hold, from the memory that it has.
func (p *Process) addLimits() {
	p.listenMetrics = listen.NewMetrics(p.Metrics)
	memory := p.Settings.GetMemory() * megabyte
	if memory == 0 {
		return
	}
	debug.SetMemoryLimit(memory / 100 * heapPercent)
	requests := &budget.Budget{Bytes: max(minRequestBytes, memory/requestShare)}
	p.Metrics.MustRegister(requests)
	p.limits = listen.Limits{Budget: requests}
}

// controlLimits returns the limits of a listener that only serves readiness or metrics.
func controlLimits() listen.Limits {
	return listen.Limits{Budget: &budget.Budget{Bytes: controlBytes}}
}
