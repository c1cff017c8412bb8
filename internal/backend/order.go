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
	// watchInterval is the time between two looks at what the engine shows.
	watchInterval = time.Second
	// loadLag is how far an engine's load report may lag. What its answers
	// showed since then counts more.
	loadLag = 5 * time.Second
)

// versionOrder is the body of an order to load a weight version.
type versionOrder struct {
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Fence   uint64 `json:"fence"`
}

// shown is what an engine says of itself: in its load report, and after an order.
type shown struct {
	Weights uint64 `json:"weight_version"`
	Version uint64 `json:"version"`
}

// Load orders the engine to load a weight version and returns the version that
// it shows afterwards, which is another one if it didn't obey.
func (e *Engine) Load(ctx context.Context, order *peerpb.OrderRequest, timeout time.Duration) (uint64, error) {
	body, err := json.Marshal(versionOrder{Action: "version", Model: order.GetModel(), Version: order.GetVersion(), Fence: order.GetFence()})
	if err != nil {
		return e.Version(), refusal.NotRun(http.StatusBadRequest, "bad_order", "%v", err)
	}
	header := http.Header{"Content-Type": {"application/json"}, "User-Agent": {userAgent}}
	answer, err := e.exchange(ctx, call{method: http.MethodPost, path: pathOrders, header: header, body: body, silence: timeout})
	if err != nil {
		return e.Version(), err
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusOK:
		return e.loaded(answer)
	case http.StatusConflict:
		return e.Version(), refusal.NotRun(http.StatusConflict, "old_fence", "%s has seen a newer fence than %d", e.Name, order.GetFence())
	default:
		return e.Version(), refusal.Unknown(http.StatusBadGateway, "swap_failed", "%s answered %d", e.Name, answer.StatusCode)
	}
}

// Watch looks at what the engine shows until the context ends: an engine that
// runs nothing shows its version nowhere else.
func (e *Engine) Watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		e.look(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// look asks the engine which version it shows.
func (e *Engine) look(ctx context.Context) {
	answer, err := e.exchange(ctx, call{method: http.MethodGet, path: pathLoad, header: http.Header{"User-Agent": {userAgent}}, silence: e.ReadTimeout})
	if err != nil {
		klog.V(1).Infof("backend: %s: %v", e.Name, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	load, err := readShown(answer)
	if err != nil {
		klog.Warningf("backend: load of %s can't be read: %v", e.Name, err)
		return
	}
	if time.Since(time.Unix(0, e.shownAt.Load())) > loadLag {
		e.show(load.Weights)
	}
}

// loaded reads the version that the engine says it has after an order.
func (e *Engine) loaded(answer *answer) (uint64, error) {
	after, err := readShown(answer)
	if err != nil {
		return e.Version(), refusal.Unknown(http.StatusBadGateway, "swap_unread", "%s answered an order with what can't be read", e.Name)
	}
	e.show(after.Version)
	e.shownAt.Store(time.Now().UnixNano())
	return e.Version(), nil
}

func readShown(answer *answer) (shown, error) {
	var read shown
	err := json.NewDecoder(http.MaxBytesReader(nil, answer.Body, maxEventBytes)).Decode(&read)
	return read, err
}
