package bramleyhatch

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// Sidecar is the process beside a backend server.
// Exported fields are set before Run.
type Sidecar struct {
	Settings *settingspb.Sidecar

	*Process

	platform *platform.Client
	counter  *usage.Counter
}

// Run serves until the context ends and all running requests have ended.
func (s *Sidecar) Run(ctx context.Context) error {
	s.Process = newProcess(s.Settings.GetProcess(), s.Settings.GetSecure())
	if err := s.loadIdentity(); err != nil {
		return err
	}
	s.platform = newPlatform(s.Settings.GetPlatform())
	s.addMembers(peerpb.Role_ROLE_SIDECAR, s.Settings.GetBackend(), s.Settings.GetMember(), s.platform)
	s.addUsage()
	s.addBackend()
	return s.run(ctx, s.metricsListener())
}

// metricsListener returns the settings of the listener for health and metrics; nil means none.
func (s *Sidecar) metricsListener() *settingspb.Caller {
	address := s.Settings.GetBackend().GetMetrics()
	if address == "" {
		return nil
	}
	metrics := promhttp.HandlerFor(s.Metrics, metricsOptions)
	s.AddRoutes(
		rest.Route{Method: http.MethodGet, Path: "/healthz", Handler: answerOK},
		rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	)
	// The memory for requests is for those of entries.
	s.limits = controlLimits()
	return settingspb.Caller_builder{Listen: address}.Build()
}
