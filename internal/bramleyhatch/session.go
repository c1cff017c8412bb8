package bramleyhatch

import (
	"context"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// closeTime bounds the wait for the store when a process that ends gives its
// lease up; without that it lapses by itself.
const closeTime = time.Second

// addSession adds the duty that keeps this process known to the others under a
// prefix of the store's keys.
func (p *Process) addSession(store gateway.SessionStore, prefix string, length time.Duration) *gateway.Session {
	session := &gateway.Session{
		Store:  store,
		Prefix: prefix,
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

// closeSession gives the process's lease up.
func closeSession(session *gateway.Session) {
	closing, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	session.Close(closing)
}
