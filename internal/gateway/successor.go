package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
)

// rollingTime is for how long a gateway that has started counts as one that a
// rolling replacement has behind it. Replacing one takes seconds; a minute holds
// for fleets of some dozens.
const rollingTime = time.Minute

// startTogether is the time within which the gateways of a deployment that is
// started as a whole come up.
const startTogether = 3 * time.Second

// started is a gateway and its start, nanoseconds since 1970 UTC.
type started struct {
	name string
	at   uint64
}

// successors orders the gateways that may take over work, the first one first.
//
// In a rolling replacement the gateways stop one after the other. Work that goes
// to one that is still to be stopped moves again seconds later, and each time its
// runs begin anew at samplers; a step was moved four times and took 10.5 s in
// place of 6 s. So gateways that have just started come first. Among the others
// a hash spreads the work.
func successors(hosts []started, work string, now uint64) []string {
	if len(hosts) == 0 {
		return nil
	}
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, host.name)
	}
	slices.Sort(names)
	isNew := map[string]bool{}
	first := slices.MinFunc(hosts, func(a, b started) int { return cmp.Compare(a.at, b.at) }).at
	for _, host := range hosts {
		isNew[host.name] = host.at > first+uint64(startTogether) && now < host.at+uint64(rollingTime)
	}
	slices.SortStableFunc(names, func(a, b string) int {
		if isNew[a] != isNew[b] {
			return boolToInt(isNew[b]) - boolToInt(isNew[a])
		}
		return duty.Rank(work, a, names) - duty.Rank(work, b, names)
	})
	return names
}

// Rank returns this gateway's place among those that may take over work.
func (h *Hosts) Rank(work string) int {
	h.mutex.Lock()
	hosts := make([]started, 0, len(h.hosts))
	for name, host := range h.hosts {
		hosts = append(hosts, started{name: name, at: host.GetIncarnation()})
	}
	h.mutex.Unlock()
	return slices.Index(successors(hosts, work, uint64(time.Now().UnixNano())), h.Name)
}
