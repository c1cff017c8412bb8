package bramleyhatch

import (
	"context"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// closeTimeout bounds the release of the lease when a process stops. A lease that
// isn't released expires after its duration.
const closeTimeout = time.Second

// addSession adds the task that registers this process in the store, with a lease
// and under a prefix of the keys.
func (p *Process) addSession(store gateway.SessionStore, prefix string, length time.Duration) *gateway.Session {
	session := &gateway.Session{
		Store:       store,
		Prefix:      prefix,
		LeaseLength: length,
		Host: statepb.Host_builder{
			Name:        p.Settings.GetName(),
			Zone:        p.Settings.GetZone(),
			Region:      p.Settings.GetRegion(),
			Address:     p.Settings.GetPeer(),
			Incarnation: p.Incarnation,
			Cores:       p.Settings.GetShare() * p.Settings.GetCores(),
		}.Build(),
	}
	p.AddTask("session", session.Run)
	return session
}

// closeSession releases the process's lease.
func closeSession(session *gateway.Session) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	session.Close(ctx)
}
