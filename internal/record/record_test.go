package record

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

var errUnavailable = &platform.UnavailableError{Operation: "test", Cause: errors.New("unavailable")}

// fakeStore holds one value. Writes can fail, or take effect without a reply.
type fakeStore struct {
	value platform.Value
	// nextOutcome is the outcome of the next write: "lost" takes effect but its
	// reply is lost, "unavailable" fails without effect; "" succeeds.
	nextOutcome string
}

var _ Store = &fakeStore{}

func (s *fakeStore) Get(context.Context, string) (platform.Value, error) {
	if s.value.Revision == 0 {
		return platform.Value{}, &platform.NotFoundError{Key: "k"}
	}
	return s.value, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, _ string, expect uint64, data []byte, _ uint64) (uint64, error) {
	outcome := s.nextOutcome
	s.nextOutcome = ""
	if outcome == "unavailable" {
		return 0, errUnavailable
	}
	if expect != s.value.Revision {
		return 0, &platform.ConflictError{Key: "k", Revision: s.value.Revision}
	}
	s.value = platform.Value{Data: data, Revision: s.value.Revision + 1}
	if outcome == "lost" {
		return 0, errUnavailable
	}
	return s.value.Revision, nil
}

func mustWrite(t *testing.T, record *Record, data string) {
	t.Helper()
	must.NoError(t, record.Write(t.Context(), []byte(data)))
}

func mustBeOverwritten(t *testing.T, err error) {
	t.Helper()
	var overwritten *OverwrittenError
	must.True(t, errors.As(err, &overwritten))
}

func TestWrite(t *testing.T) {
	t.Run("the only writer", func(t *testing.T) {
		store := &fakeStore{}
		record := &Record{Store: store, Key: "k"}
		mustWrite(t, record, "a")
		mustWrite(t, record, "b")
		must.Eq(t, "b", string(store.value.Data))
	})
	t.Run("an answer lost after the write took effect", func(t *testing.T) {
		store := &fakeStore{nextOutcome: "lost"}
		record := &Record{Store: store, Key: "k"}
		must.Error(t, record.Write(t.Context(), []byte("a")))
		must.False(t, record.IsSettled())
		mustWrite(t, record, "a")
		must.Eq(t, 1, store.value.Revision, must.Sprint("not written twice"))
		mustWrite(t, record, "b")
	})
	t.Run("a write that took no effect", func(t *testing.T) {
		store := &fakeStore{nextOutcome: "unavailable"}
		record := &Record{Store: store, Key: "k"}
		must.Error(t, record.Write(t.Context(), []byte("a")))
		mustWrite(t, record, "a")
		must.Eq(t, 1, store.value.Revision)
	})
	t.Run("a write that lands after it was given up", func(t *testing.T) {
		store := &fakeStore{nextOutcome: "unavailable"}
		record := &Record{Store: store, Key: "k"}
		must.Error(t, record.Write(t.Context(), []byte("a")))
		must.NoError(t, record.resolveUnacknowledged(t.Context()))
		store.value = platform.Value{Data: []byte("a"), Revision: 1}
		mustWrite(t, record, "a")
		must.Eq(t, 1, record.Revision())
	})
	t.Run("another process has written", func(t *testing.T) {
		store := &fakeStore{}
		record := &Record{Store: store, Key: "k"}
		mustWrite(t, record, "a")
		store.value = platform.Value{Data: []byte("other"), Revision: 2}
		mustBeOverwritten(t, record.Write(t.Context(), []byte("b")))
	})
	t.Run("another process has written while the answer was lost", func(t *testing.T) {
		store := &fakeStore{nextOutcome: "lost"}
		record := &Record{Store: store, Key: "k"}
		must.Error(t, record.Write(t.Context(), []byte("a")))
		store.value = platform.Value{Data: []byte("other"), Revision: 2}
		mustBeOverwritten(t, record.Write(t.Context(), []byte("a")))
	})
}
