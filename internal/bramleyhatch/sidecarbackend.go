package bramleyhatch

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/entry"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Values of the settings kind and alone of a backend server.
const (
	kindEngine = "engine"
	aloneRun   = "run"
)

// addBackend adds the service for entries and the client of the backend server.
func (s *Sidecar) addBackend() {
	settings := s.Settings.GetBackend()
	server := &entry.Server{
		Memory:            s.limits.Budget,
		Claims:            s.newClaims(),
		Counter:           s.counter,
		OnDraining:        s.setDraining,
		Name:              settings.GetServer(),
		Pool:              settings.GetPool(),
		Backend:           s.newBackend(),
		Decisions:         s.Decisions,
		Metrics:           s.Metrics,
		Loads:             s.members,
		MaxRunning:        int(settings.GetSlots()),
		MaxQueued:         int(settings.GetQueue()),
		Retention:         settings.GetRemember().AsDuration(),
		HeartbeatInterval: settings.GetBeat().AsDuration(),
	}
	server.Init()
	s.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterSidecarServer(registrar, server) })
	s.AddTask("backend", server.Maintain)
	s.AddTask("claim", server.Claims.Restore)
	s.AddDrain(server.Drain)
}

// newBackend returns the client for the settings' kind of backend server.
func (s *Sidecar) newBackend() entry.Backend {
	settings := s.Settings.GetBackend()
	address, name, readTimeout := settings.GetAddress(), settings.GetServer(), settings.GetSilence().AsDuration()
	if settings.GetKind() == kindEngine {
		engine := &backend.Engine{Decisions: s.Decisions}
		engine.Address, engine.Name, engine.ReadTimeout = address, name, readTimeout
		s.AddTask("engine", engine.Watch)
		return engine
	}
	keys := &callerKeys{}
	s.members.OnFact(member.FactConfig, keys.apply)
	plain := &backend.Plain{Keys: keys}
	plain.Address, plain.Name, plain.ReadTimeout = address, name, readTimeout
	return plain
}

// setDraining announces to the other processes whether this process accepts new work.
func (s *Sidecar) setDraining(draining bool) {
	if draining {
		s.members.SetState(peerpb.State_STATE_DRAINING)
		return
	}
	s.members.SetState(peerpb.State_STATE_LIVE)
}

// newClaims returns the record of claims of idempotency keys.
func (s *Sidecar) newClaims() *entry.Claims {
	settings := s.Settings.GetBackend()
	return &entry.Claims{
		Server:    settings.GetServer(),
		Pool:      settings.GetPool(),
		Members:   &membership{Members: s.members},
		Peers:     &entry.Sidecars{Members: s.members, Credentials: s.credentials()},
		Retention: settings.GetRemember().AsDuration(),
		Started:   time.Now(),
		RunAlone:  settings.GetAlone() == aloneRun,
	}
}

// membership provides claims with the servers and sidecars of the pool.
type membership struct {
	*member.Members
}

var _ entry.Membership = &membership{}

// Fleet returns a pool's servers, or nil if they are not known.
func (m *membership) Fleet(pool string) *statepb.Fleet {
	fact := m.Fact(member.FactFleet + pool)
	if fact == nil {
		return nil
	}
	fleet := &statepb.Fleet{}
	if err := proto.Unmarshal(fact.GetValue(), fleet); err != nil {
		klog.Errorf("backend: cannot parse the fleet from the fact %q: %v", fact.GetName(), err)
		return nil
	}
	return fleet
}

// CountOthers returns the number of other known sidecars of a pool.
func (m *membership) CountOthers(pool string) int {
	others := 0
	for _, process := range m.Processes(peerpb.Role_ROLE_SIDECAR) {
		if process.GetPool() == pool && process.GetName() != m.Self().GetName() {
			others++
		}
	}
	return others
}
