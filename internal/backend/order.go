package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	pathOrders = "/v1/orders"
	pathLoad   = "/v1/load"
	// pollInterval is the time between two requests for the engine's load report.
	pollInterval = time.Second
	// maxLoadLag is the maximum lag of an engine's load report. A version that an answer
	// showed within that time takes precedence over the load report.
	maxLoadLag = 5 * time.Second
)

// versionOrder is the body of an order to load a weight version.
type versionOrder struct {
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Fence   uint64 `json:"fence"`
}

// versionReport holds the versions in an engine's load report or in its reply to an order.
type versionReport struct {
	Weights uint64 `json:"weight_version"`
	Version uint64 `json:"version"`
}

// Load orders the engine to load a weight version. It returns the version that the engine
// reports afterwards, which differs from the ordered version if the engine did not load it.
func (e *Engine) Load(ctx context.Context, order *peerpb.OrderRequest, timeout time.Duration) (uint64, error) {
	body, err := json.Marshal(versionOrder{Action: "version", Model: order.GetModel(), Version: order.GetVersion(), Fence: order.GetFence()})
	if err != nil {
		return e.Version(), refusal.NotRun(http.StatusBadRequest, "bad_order", "%v", err)
	}
	header := http.Header{"Content-Type": {"application/json"}, "User-Agent": {userAgent}}
	answer, err := e.exchange(ctx, call{method: http.MethodPost, path: pathOrders, header: header, body: body, readTimeout: timeout})
	if err != nil {
		return e.Version(), err
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusOK:
		return e.readLoadedVersion(answer)
	case http.StatusConflict:
		return e.Version(), refusal.NotRun(http.StatusConflict, "old_fence", "%s has seen a newer fence than %d", e.Name, order.GetFence())
	default:
		return e.Version(), refusal.Unknown(http.StatusBadGateway, "swap_failed", "%s answered %d", e.Name, answer.StatusCode)
	}
}

// Watch polls the engine's version until the context ends: an idle engine reports its
// version nowhere else.
func (e *Engine) Watch(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		e.pollVersion(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollVersion requests the engine's load report and stores its version.
func (e *Engine) pollVersion(ctx context.Context) {
	answer, err := e.exchange(ctx, call{method: http.MethodGet, path: pathLoad, header: http.Header{"User-Agent": {userAgent}}, readTimeout: e.ReadTimeout})
	if err != nil {
		klog.V(1).Infof("backend: cannot poll the load report of %s: %v", e.Name, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	report, err := decodeVersionReport(answer)
	if err != nil {
		klog.Warningf("backend: cannot decode the load report of %s: %v", e.Name, err)
		return
	}
	if time.Since(time.Unix(0, e.versionSeenAt.Load())) > maxLoadLag {
		e.setVersion(report.Weights)
	}
}

// readLoadedVersion stores and returns the version in the engine's reply to an order.
func (e *Engine) readLoadedVersion(answer *watchedResponse) (uint64, error) {
	report, err := decodeVersionReport(answer)
	if err != nil {
		return e.Version(), refusal.Unknown(http.StatusBadGateway, "swap_unread", "%s answered an order with what can't be read", e.Name)
	}
	e.setVersion(report.Version)
	e.versionSeenAt.Store(time.Now().UnixNano())
	return e.Version(), nil
}

func decodeVersionReport(answer *watchedResponse) (versionReport, error) {
	var report versionReport
	err := answer.decode(&report)
	return report, err
}
