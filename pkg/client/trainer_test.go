package client_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/pkg/client"
)

// Guards against stale samples: a trainer announces new weights and pulls at once,
// through a process that doesn't know the weights yet. The pull must send the
// version.
func TestPullNamesVersion(t *testing.T) {
	var versions []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			versions = append(versions, r.URL.Query().Get("version"))
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	trainer := client.Trainer{Client: client.Client{Address: server.URL, Key: "a-key"}, Name: "drafter"}
	for _, version := range []uint64{0, 8, 7} {
		if version > 0 {
			must.NoError(t, trainer.Announce(t.Context(), "assistant", version))
		}
		_, err := trainer.Pull(t.Context(), 0, 1, 0)
		must.NoError(t, err)
	}
	must.Eq(t, []string{"", "8", "8"}, versions)
}
