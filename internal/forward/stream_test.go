package forward_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const secondEvent = "id: 2\ndata: y\n\n"

// readEvents returns the events of an answer and how it ended; nil means that it ended as complete.
func readEvents(answer *forward.Answer) (text string, err error) {
	for {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += string(event)
	}
}

// Guards against a stream that ends as complete before its last event, because the server that should go on with it
// answers with a failure.
func TestFailedResumptionIsNotTheEnd(t *testing.T) {
	failures := map[string]http.HandlerFunc{
		"500":                   reply(http.StatusInternalServerError, ""),
		"500 with a body":       reply(http.StatusInternalServerError, "text"),
		"500 with a large body": reply(http.StatusInternalServerError, largeBody),
		"503 that may have run": reply(http.StatusServiceUnavailable, ""),
		"504":                   reply(http.StatusGatewayTimeout, ""),
		"404":                   reply(http.StatusNotFound, ""),
		"204":                   reply(http.StatusNoContent, ""),
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Run("another server has the rest", func(t *testing.T) {
				s := newService(t, sendPart(firstEvent, crash), failure, reply(http.StatusOK, secondEvent))
				mustReadStream(t, s, resumable, firstEvent+secondEvent)
			})
			t.Run("no event was sent before", func(t *testing.T) {
				s := newService(t, sendPart("", crash), failure, reply(http.StatusOK, firstEvent+secondEvent))
				mustReadStream(t, s, resumable, firstEvent+secondEvent)
			})
			t.Run("no attempt is left", func(t *testing.T) {
				lastAttempt := resumable
				lastAttempt.MaxAttempts = 2
				s := newService(t, sendPart(firstEvent, crash), failure, reply(http.StatusOK, secondEvent))
				text, err := readStream(t, s, lastAttempt)
				must.Error(t, err)
				must.Eq(t, firstEvent, text)
				s.mustSend(2)
			})
		})
	}
}

// readStream sends the request and returns the events of its answer and how it ended.
func readStream(t *testing.T, s *service, route table.Route) (string, error) {
	t.Helper()
	answer, err := s.run(t.Context(), route)
	must.NoError(t, err)
	text, err := readEvents(answer)
	answer.Finish()
	s.mustHaveFreeSlots()
	return text, err
}

// mustReadStream checks that a stream of three attempts is whole.
func mustReadStream(t *testing.T, s *service, route table.Route, want string) {
	t.Helper()
	text, err := readStream(t, s, route)
	must.NoError(t, err)
	must.Eq(t, want, text)
	s.mustSend(3)
}
