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

// awaitStill waits until a count has not moved for a while.
func awaitStill(count *atomic.Int64) {
	for last := int64(-1); last != count.Load(); {
		last = count.Load()
		time.Sleep(200 * time.Millisecond)
	}
}

func TestWithdrawnKey(t *testing.T) {
	// A franchise leaves and its key is withdrawn while one of its assistants
	// streams a long answer, and another of its callers has stopped reading.
	// Both must end at once, and new requests be refused.
	begun := make(chan struct{}, 2)
	ended := make(chan error, 2)
	var taken atomic.Int64
	play := func(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
		if request.GetKind() == peerpb.Kind_KIND_PLAIN {
			head := peerpb.Head_builder{Status: 200}.Build()
			_ = sink(peerpb.Frame_builder{Head: head}.Build())
			begun <- struct{}{}
			for {
				taken.Add(1)
				if err := sink(chunk(strings.Repeat("x", 1<<20))); err != nil {
					ended <- err
					return nil, err
				}
			}
		}
		_ = sink(chunk("Hel"))
		begun <- struct{}{}
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	}
	server := serve(t, play)
	stream := server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p","stream":true}`)
	<-begun
	unread := server.send(t, "GET", "/services/ledger/records", goodKey, "")
	<-begun
	awaitStill(&taken)
	server.force(t, config(true), 2)
	for range 2 {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("a call of the withdrawn key runs on")
		}
	}
	answer := text(t, stream)
	must.StrContains(t, answer, `"code":"key_withdrawn"`)
	must.StrNotContains(t, answer, "[DONE]")
	_, err := io.ReadAll(unread.Body)
	must.Error(t, err)
	mustRefuse(t, server.send(t, "GET", "/v1/models", goodKey, ""), 401, "unknown_key", "not-run")
}

func TestIsolated(t *testing.T) {
	// A process is cut off from the store and its peers. Keys may have been
	// withdrawn since: it takes no new work and says when to come back.
	server := serve(t, playText("never"))
	server.isolated.Store(true)
	response := server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p"}`)
	mustRefuse(t, response, 503, "isolated", "not-run")
	must.Eq(t, "5", response.Header.Get("Retry-After"))
	must.SliceEmpty(t, server.runner.requests())
}

func TestLimits(t *testing.T) {
	// An account sends more at a time than its plan allows. The request too
	// many is refused at once, with the time to come back, and is not held.
	release := make(chan struct{})
	begun := make(chan struct{})
	server := serve(t, func(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
		begun <- struct{}{}
		<-release
		return playText("done")(ctx, request, sink)
	})
	config := config(false)
	config.GetPlans()[0].SetConcurrency(1)
	server.force(t, config, 2)
	answered := make(chan *http.Response, 1)
	go func() {
		answered <- server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p"}`)
	}()
	<-begun
	response := server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p"}`)
	mustRefuse(t, response, 429, "limit_concurrency", "not-run")
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	close(release)
	must.Eq(t, 200, (<-answered).StatusCode)
}
