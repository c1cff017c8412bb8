package batch

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Guards against a final refusal of a batch that exists: a gateway that has just started
// serves trainers before its watch has shown any key, so only the store can tell that a
// batch doesn't exist.
func TestReadBeforeWatch(t *testing.T) {
	setUp := func(t *testing.T) (*platformtest.Store, *Board) {
		t.Helper()
		store := &platformtest.Store{}
		must.NoError(t, startProcess(t, store, "g1", "g1").AcceptOwn(t.Context(), newBatch(10)))
		p := &process{routes: &routes{route: knownRoute, known: true}}
		return store, newBoard(store, "g2", p, "g1", "g2")
	}
	mustRefuse := func(t *testing.T, status int, err error) {
		t.Helper()
		must.Error(t, err)
		must.Eq(t, status, refusal.Of(err).Status)
		must.True(t, refusal.IsNotRun(err))
		must.Eq(t, status == http.StatusServiceUnavailable, refusal.Of(err).RetryAfter > 0)
	}
	t.Run("a stored batch is read and ended", func(t *testing.T) {
		_, board := setUp(t)
		_, isOwn, err := board.ReadOwned(t.Context(), "b1", "", 0, time.Millisecond)
		must.NoError(t, err)
		must.False(t, isOwn)
		page, err := board.ReadStored(t.Context(), "b1", "", 0)
		must.NoError(t, err)
		must.Eq(t, 1, page.Total)
		must.NoError(t, board.End(t.Context(), "b1", ""))
	})
	t.Run("503 while the store is unavailable", func(t *testing.T) {
		store, board := setUp(t)
		store.SetUnavailable(true)
		_, err := board.ReadStored(t.Context(), "b1", "", 0)
		mustRefuse(t, http.StatusServiceUnavailable, err)
		_, err = board.Find(t.Context(), "b1", "")
		mustRefuse(t, http.StatusServiceUnavailable, err)
		mustRefuse(t, http.StatusServiceUnavailable, board.End(t.Context(), "b1", ""))
	})
	t.Run("404 once the store says so", func(t *testing.T) {
		_, board := setUp(t)
		_, err := board.ReadStored(t.Context(), "b2", "", 0)
		mustRefuse(t, http.StatusNotFound, err)
		mustRefuse(t, http.StatusNotFound, board.End(t.Context(), "b2", ""))
	})
}

// Guards against a page that lacks outcomes and looks whole: the store's answer holds a chunk that can't be
// decoded.
func TestUnreadableChunk(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
	listFirst(t, p)
	store.SetUnreadable(chunkKey("b1", 0), true)
	_, err := p.ReadStored(t.Context(), "b1", "", 0)
	must.Eq(t, http.StatusServiceUnavailable, refusal.Of(err).Status)
	t.Run("is removed with its batch", func(t *testing.T) {
		must.NoError(t, p.End(t.Context(), "b1", ""))
		await(t, func() bool { return p.isEnded("b1") })
		p.passRetention()
		await(t, func() bool {
			_, err := store.Get(t.Context(), chunkKey("b1", 0))
			var missing *platform.NotFoundError
			return errors.As(err, &missing)
		})
	})
}
