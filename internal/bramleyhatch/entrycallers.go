package bramleyhatch

import (
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/caller"
	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
)

// addCallers adds the API for callers and the connections to sidecars.
func (e *Entry) addCallers() {
	e.pool.Metrics = e.Metrics
	e.pool.Homes = &sidecar.FleetHomes{Members: e.members, Choose: claim.Home}
	e.AddTask("route", e.pool.SendCancellations)
	admission := &caller.Admission{Peers: e.members}
	e.AddTask("limit", admission.Run)
	settings := e.Settings.GetCaller()
	e.limits.MaxHeaderBytes = settings.GetMaxHeaderBytes
	e.limits.HeaderTimeout = settings.GetHeader().AsDuration
	handler := &caller.Handler{
		Grants:       e.view,
		Runner:       e.pool,
		Admission:    admission,
		IsIsolated:   e.members.IsIsolated,
		Decisions:    e.Decisions,
		Metrics:      e.Metrics,
		MaxBodyBytes: settings.GetMaxBodyBytes(),
		BodyTimeout:  settings.GetBody().AsDuration(),
		Timeout:      settings.GetTimeout().AsDuration(),
		Stopping:     e.shutdown.Context(),
	}
	handler.RegisterMetrics()
	e.AddRoutes(handler.Routes()...)
	e.notFound = http.HandlerFunc(handler.NotFound)
	e.notAllowed = http.HandlerFunc(handler.NotAllowed)
}
