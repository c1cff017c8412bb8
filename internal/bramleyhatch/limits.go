package bramleyhatch

import (
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	// requestShare and connShare are the divisors of the process's memory for the requests and the connections of
	// clients.
	requestShare = 3
	connShare    = 4
	// minRequestBytes has room for the largest body of 32 MB while it is copied from a buffer of half its size, beside the
	// part for small requests.
	minRequestBytes = 64 << 20
	// batchShare is the divisor of the memory for batches.
	batchShare = 4
	// heapPercent is the part of the memory that the garbage collector tries to stay within. The rest is for stacks of
	// the system, unread bytes and the program itself.
	heapPercent = 80
	// reservedDescriptors aren't for sockets.
	reservedDescriptors = 200
	// descriptorShare is the divisor of the other descriptors for connections of clients. A request needs another one to a
	// backend server.
	descriptorShare = 2
	// minConns is the number of connections of a process with hardly any descriptors.
	minConns = 16
	megabyte = 1 << 20
	// maxControlConns and controlBytes bound a listener that only serves readiness or metrics. It doesn't share the memory
	// for requests, so that a process without memory still answers there.
	maxControlConns = 32
	controlBytes    = 4 << 20
)

// addLimits sets what clients may make the process hold, from the memory and descriptors that it has.
func (p *Process) addLimits() {
	p.listenMetrics = listen.NewMetrics(p.Metrics)
	descriptors := p.Settings.GetDescriptors()
	if descriptors == 0 {
		return
	}
	memory := p.Settings.GetMemory() * megabyte
	if memory == 0 {
		memory = hostMemory()
	}
	debug.SetMemoryLimit(memory / 100 * heapPercent)
	requests := &budget.Budget{Bytes: max(minRequestBytes, memory/requestShare)}
	p.Metrics.MustRegister(requests)
	p.batchBytes = memory / batchShare
	p.limits = listen.Limits{
		Budget:   requests,
		MaxConns: int(max(minConns, min((descriptors-reservedDescriptors)/descriptorShare, memory/connShare/listen.ConnBytes))),
	}
	klog.InfoS("process: limits on clients", "memory", memory, "requests", requests.Bytes, "connections", p.limits.MaxConns, "batches", p.batchBytes)
}

// hostMemory returns the memory of the host.
func hostMemory() int64 {
	const assumed = 512 * megabyte
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		klog.ErrorS(err, "process: the memory of the host isn't known", "assumed", assumed)
		return assumed
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// controlLimits returns the limits of a listener that only serves readiness or metrics.
func controlLimits() listen.Limits {
	return listen.Limits{Budget: &budget.Budget{Bytes: controlBytes}, MaxConns: maxControlConns}
}
