package caller_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
)

// waitUnchanged waits until a count stays the same for 200 ms.
func waitUnchanged(count *atomic.Int64) {
	for last := int64(-1); last != count.Load(); {
		last = count.Load()
		time.Sleep(200 * time.Millisecond)
	}
}

func TestWithdrawnKey(t *testing.T) {
	// Guards against calls that continue after their key is withdrawn: the key is
	// withdrawn while one caller streams a long response and another has stopped
	// reading. Both calls must end at once, and new requests must be refused.
	started := make(chan struct{}, 2)
	ended := make(chan error, 2)
	var frames atomic.Int64
	run := func(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
		if request.GetKind() == peerpb.Kind_KIND_PLAIN {
			head := peerpb.Head_builder{Status: 200}.Build()
			_ = sink(peerpb.Frame_builder{Head: head}.Build())
			started <- struct{}{}
			for {
				frames.Add(1)
				if err := sink(chunk(strings.Repeat("x", 1<<20))); err != nil {
					ended <- err
					return nil, err
				}
			}
		}
		_ = sink(chunk("Hel"))
		started <- struct{}{}
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	}
	server := serve(t, run)
	stream := server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p","stream":true}`)
	<-started
	unread := server.send(t, "GET", "/services/ledger/records", goodKey, "")
	<-started
	waitUnchanged(&frames)
	server.setConfig(t, config(true), 2)
	for range 2 {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("a call of the withdrawn key did not end")
		}
	}
	body := text(t, stream)
	must.StrContains(t, body, `"code":"key_withdrawn"`)
	must.StrNotContains(t, body, "[DONE]")
	_, err := io.ReadAll(unread.Body)
	must.Error(t, err)
	mustRefuse(t, server.send(t, "GET", "/v1/models", goodKey, ""), 401, "unknown_key", "not-run")
}

func TestIsolated(t *testing.T) {
	// Guards against accepting withdrawn keys: a process that is partitioned from the
	// store and its peers must accept no new work and set Retry-After.
	server := serve(t, respondWith("never"))
	server.isolated.Store(true)
	response := server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p"}`)
	mustRefuse(t, response, 503, "isolated", "not-run")
	must.Eq(t, "5", response.Header.Get("Retry-After"))
	must.SliceEmpty(t, server.runner.requests())
}

func TestLimits(t *testing.T) {
	// Guards against queueing requests beyond the plan's concurrency limit: the
	// excess request must be refused at once, with Retry-After.
	release := make(chan struct{})
	started := make(chan struct{})
	server := serve(t, func(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
		started <- struct{}{}
		<-release
		return respondWith("done")(ctx, request, sink)
	})
	config := config(false)
	config.GetPlans()[0].SetConcurrency(1)
	server.setConfig(t, config, 2)
	answered := make(chan *http.Response, 1)
	go func() {
		answered <- server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p"}`)
	}()
	<-started
	response := server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p"}`)
	mustRefuse(t, response, 429, "limit_concurrency", "not-run")
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	close(release)
	must.Eq(t, 200, (<-answered).StatusCode)
}
