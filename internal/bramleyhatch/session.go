package bramleyhatch

import (
	"context"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// closeTimeout bounds the release of the lease when a process stops; a lease that isn't
// released expires by itself.
const closeTimeout = time.Second

// addSession adds the task that registers this process for the others, under a lease
// and a prefix of the store's keys.
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
