package bramleyhatch

import (
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/caller"
)

// addCallers adds the callers' interface and the connections to sidecars.
func (e *Entry) addCallers() {
	settings := e.Settings.GetCaller()
	handler := &caller.Handler{
		Grants:       e.view,
		Runner:       e.pool,
		Decisions:    e.Decisions,
		Metrics:      e.Metrics,
		MaxBodyBytes: settings.GetMaxBodyBytes(),
		Timeout:      settings.GetTimeout().AsDuration(),
	}
	handler.Open()
	e.AddRoutes(handler.Routes()...)
	e.notFound = http.HandlerFunc(handler.NotFound)
	e.notAllowed = http.HandlerFunc(handler.NotAllowed)
}
