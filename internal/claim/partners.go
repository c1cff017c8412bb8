package claim

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Partners returns the servers that together know every claim that a server's
// sidecar kept before it was started again: each claim was kept by one of them
// too. It reports false where one of them is gone with what it knew, and where
// the server was the only one for a time, since a claim then had no witness.
//
// Without this the sidecars of a pool that are replaced one after another
// would forget together, and every claim would be refused until the time of
// the forgotten ones is over.
func Partners(server string, fleet *statepb.Fleet, now time.Time, remember time.Duration) ([]string, bool) {
	begin := now.Add(-Window(remember)).Unix()
	if wasAlone(server, fleet, begin, now.Unix()) {
		return nil, false
	}
	var partners []string
	for _, other := range fleet.GetServers() {
		if other.GetId() == server || !wasLiveSince(other, begin) {
			continue
		}
		if isDead(other) {
			return nil, false
		}
		partners = append(partners, other.GetId())
	}
	return partners, len(partners) > 0
}

// wasAlone reports whether a server may have been the pool's only one since begin.
func wasAlone(server string, fleet *statepb.Fleet, begin, now int64) bool {
	h := &history{ranked: rank("", fleet, func(other *statepb.Server) bool { return wasLiveSince(other, begin) })}
	for _, self := range h.ranked {
		if self.GetId() != server {
			continue
		}
		for _, moment := range moments(h.ranked, begin, now) {
			if mayBeLive(self, moment) && h.isAlone(self, moment) {
				return true
			}
		}
	}
	return false
}
