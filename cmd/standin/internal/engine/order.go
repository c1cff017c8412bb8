package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

type orderRequest struct {
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Fence   uint64 `json:"fence"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	if !answer.Read(w, r, &order) {
		return
	}
	if fence, ok := e.acceptFence(order.Fence); !ok {
		answer.JSON(w, http.StatusConflict, map[string]uint64{"fence": fence})
		return
	}
	if err := e.loadWeights(r.Context(), order); err != nil {
		answer.Error(w, http.StatusInternalServerError, err.Error())
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.FailSwaps > 0 {
		e.faults.FailSwaps--
		answer.Error(w, http.StatusInternalServerError, "swap failed")
		return
	}
	e.version = order.Version
	answer.JSON(w, http.StatusOK, map[string]uint64{"version": e.version})
}

// acceptFence keeps the highest fencing token; it rejects a lower one unless IgnoreFences is set.
func (e *Engine) acceptFence(fence uint64) (uint64, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if fence < e.fence && !e.faults.IgnoreFences {
		return e.fence, false
	}
	e.fence = max(e.fence, fence)
	return e.fence, true
}

// loadWeights downloads the weights and waits for the swap time.
func (e *Engine) loadWeights(ctx context.Context, order orderRequest) error {
	if e.Weights != "" {
		if err := e.fetchWeights(ctx, order); err != nil {
			return err
		}
	}
	timer := time.NewTimer(e.SwapTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (e *Engine) fetchWeights(ctx context.Context, order orderRequest) error {
	address := fmt.Sprintf("%s/weights/%s/%d", e.Weights, order.Model, order.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return err
	}
	response, err := listen.Client("weights").DoRequest(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answers %d", response.StatusCode)
	}
	return nil
}
