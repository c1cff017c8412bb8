package bramleyhatch

import (
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/entry"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const kindEngine = "engine"

// addBackend adds the service for entries and the client of the backend server.
func (s *Sidecar) addBackend() {
	settings := s.Settings.GetBackend()
	server := &entry.Server{
		Name:      settings.GetServer(),
		Pool:      settings.GetPool(),
		Backend:   s.newBackend(),
		Decisions: s.Decisions,
		Loads:     s.members,
		Slots:     int(settings.GetSlots()),
		Queue:     int(settings.GetQueue()),
		Remember:  settings.GetRemember().AsDuration(),
		Beat:      settings.GetBeat().AsDuration(),
	}
	server.Open()
	s.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterSidecarServer(registrar, server) })
	s.AddDuty("backend", server.Maintain)
	s.AddDrain(server.Drain)
}

// newBackend returns the client for the settings' kind of backend server.
func (s *Sidecar) newBackend() entry.Backend {
	settings := s.Settings.GetBackend()
	address, name, silence := settings.GetAddress(), settings.GetServer(), settings.GetSilence().AsDuration()
	if settings.GetKind() == kindEngine {
		engine := &backend.Engine{Decisions: s.Decisions}
		engine.Address, engine.Name, engine.Silence = address, name, silence
		return engine
	}
	plain := &backend.Plain{}
	plain.Address, plain.Name, plain.Silence = address, name, silence
	return plain
}
