package claim

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Partners returns the servers that together know every claim that a server's
// sidecar stored before its restart: each claim was stored by one of them too. It
// reports false if one of them was removed and its claims are lost, or if the
// server was the only one for a time, since a claim then had no witness.
//
// Without copies from partners, a rolling restart of a pool's sidecars would
// lose all claims, and sidecars would refuse every claim until the lost ones
// have expired.
func Partners(server string, fleet *statepb.Fleet, now time.Time, retryPeriod time.Duration) ([]string, bool) {
	begin := now.Add(-Window(retryPeriod)).Unix()
	if mayHaveBeenOnlyServer(server, fleet, begin, now.Unix()) {
		return nil, false
	}
	var partners []string
	for _, other := range fleet.GetServers() {
		if other.GetId() == server || !wasLiveSince(other, begin) {
			continue
		}
		if isRemoved(other) {
			return nil, false
		}
		partners = append(partners, other.GetId())
	}
	return partners, len(partners) > 0
}

// mayHaveBeenOnlyServer reports whether a server may have been the pool's only
// one at some time since begin.
func mayHaveBeenOnlyServer(server string, fleet *statepb.Fleet, begin, now int64) bool {
	h := &history{ranked: rank("", fleet, func(other *statepb.Server) bool { return wasLiveSince(other, begin) })}
	for _, self := range h.ranked {
		if self.GetId() != server {
			continue
		}
		for _, moment := range changeTimes(h.ranked, begin, now) {
			if mayBeLive(self, moment) && h.isOnlyServer(self, moment) {
				return true
			}
		}
	}
	return false
}
