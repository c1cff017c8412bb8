package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// Guards against a server that gets no work since this process had no memory for its answer, and against one that keeps
// getting work although it sends malformed answers.
func TestFailuresOfServers(t *testing.T) {
	for code, isFailure := range map[string]bool{backend.CodeMalformed: true, backend.CodeNoAnswerMemory: false} {
		t.Run(code, func(t *testing.T) {
			servers := &roster.Roster{Wire: platform.Wire{}}
			for _, id := range []string{"s1", "s2"} {
				servers.Set(roster.Entry{ID: id, Pool: poolName, Address: "127.0.0.1:1", Slots: 4, StartedAtMillis: 1})
			}
			forward.RecordFailure(t.Context(), servers, servers.Find("s1"), refusal.Unknown(http.StatusBadGateway, code, "failed"))
			must.Eq(t, isFailure, !isChosen(servers, "s1"))
		})
	}
}

// isChosen reports whether one of two servers without load is among the next two that are chosen.
func isChosen(servers *roster.Roster, name string) bool {
	for range 2 {
		if server, _ := servers.Choose(poolName, nil); server.Name() == name {
			return true
		}
	}
	return false
}

// Guards against a server that keeps getting work although it cuts answers that are passed on while they are read, and
// against one that gets none since a caller left or reads slowly.
func TestFailuresWithinBodiesThatArePassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		route table.Route
		body  string
	}{
		"large body":                     {idempotent, largeBody},
		"stream that may not be resumed": {stream, firstEvent},
	} {
		for how, end := range map[string]struct {
			reply     http.HandlerFunc
			isLeft    bool
			isFailure bool
		}{
			"cut by the server":  {crash, false, true},
			"whole":              {finish, false, false},
			"left by the caller": {hold, true, false},
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				s := newService(t, sendPart(test.body, end.reply), finish)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				answer, err := s.run(ctx, test.route)
				must.NoError(t, err)
				if end.isLeft {
					cancel()
				}
				must.Eq(t, how != "whole", readAll(answer) != nil)
				answer.Finish()
				must.Eq(t, end.isFailure, !isChosen(s.forwarder.Roster, s.reachedServers()[0]))
			})
		}
	}
	t.Run("the request's time ends", func(t *testing.T) {
		s := newService(t, sendPart(largeBody, hold), finish)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		answer, err := s.run(ctx, idempotent)
		must.NoError(t, err)
		must.Error(t, readAll(answer))
		answer.Finish()
		must.True(t, isChosen(s.forwarder.Roster, s.reachedServers()[0]))
	})
	t.Run("read slowly by the caller", func(t *testing.T) {
		s := newService(t, sendPart(largeBody, hold), finish)
		answer, err := s.run(t.Context(), idempotent)
		must.NoError(t, err)
		answer.SetReadTimeout(time.Millisecond)
		must.Error(t, readAll(answer))
		answer.Finish()
		must.True(t, isChosen(s.forwarder.Roster, s.reachedServers()[0]))
	})
}
