package client_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/pkg/client"
)

// Guards against a malformed response that a program takes for the answer to its request.
func TestMalformedResponses(t *testing.T) {
	answers := listentest.MalformedAnswers(http.StatusOK, "", `{"hours":1}`)
	for _, name := range []string{
		"status 000", "status 099", "status 101", "status 600", "status 999", "status with a plus", "status with a minus",
		"blank in a name", "blank after a name", "blank in a trailer's name", "blank after a trailer's name",
	} {
		t.Run(name, func(t *testing.T) {
			server := listentest.StartRaw(t, func(*http.Request) string { return answers[name] })
			var reply struct{ Hours int }
			err := (&client.Client{Address: "http://" + server.Address}).Get(t.Context(), "ledger", "/records/1", &reply)
			var malformed *client.MalformedResponseError
			must.True(t, errors.As(err, &malformed), must.Sprint(err))
			must.Eq(t, 0, reply.Hours)
		})
	}
}
