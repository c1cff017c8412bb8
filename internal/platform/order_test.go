package platform_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Guards against an order from a process that lost its duty: it checks its term,
// is suspended while it waits for a connection, and sends the order on resuming,
// so two processes order servers of one zone. The guard must run after that wait,
// and the receiver must get no order.
func TestOrderCallsGuardLast(t *testing.T) {
	var orders atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			orders.Add(1)
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	client := platform.NewClient(server.URL, time.Second)
	errTermEnded := errors.New("term has ended")

	must.ErrorIs(t, client.Order(t.Context(), platform.Order{ID: "o1"}, func() error { return errTermEnded }), errTermEnded)
	must.NoError(t, client.Order(t.Context(), platform.Order{ID: "o2"}, func() error { return nil }))
	must.Eq(t, 1, orders.Load())
}
