package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// oddElements are entries of a list that can't be used.
var oddElements = []string{
	strings.Repeat("[", 5000) + strings.Repeat("]", 5000), "null", "{}", "[]", "7", `"x"`,
	`{"id":7,"address":7,"key":"odd","value":"{"}`, `{"id":[],"address":{},"key":"odd","revision":1e30}`, `{"id":1e999,"address":-1,"key":"odd","lease":-1}`,
}

// newClient returns a client of a platform that answers each call with a text.
func newClient(t *testing.T, text string) *platform.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	t.Cleanup(server.Close)
	return platform.NewClient(server.URL, time.Second)
}

// Guards against an entry that can't be decoded and hides the entries beside it.
func TestOddElements(t *testing.T) {
	surround := func(good string) string {
		return "[" + strings.Join(oddElements, ",") + "," + good + "," + oddElements[0] + "]"
	}
	t.Run("of the hosts", func(t *testing.T) {
		hosts, err := newClient(t, surround(`{"name":"h1","address":"a:1"}`)).Hosts(t.Context())
		must.NoError(t, err)
		must.Eq(t, []platform.Host{{Name: "h1", Address: "a:1"}}, hosts)
	})
	t.Run("of the servers", func(t *testing.T) {
		servers, err := newClient(t, surround(`{"id":"s1","pool":"p"},{"id":"s2","pool":7}`)).Servers(t.Context(), "z")
		must.NoError(t, err)
		must.Eq(t, []platform.Server{{ID: "s1", Pool: "p"}, {ID: "s2", IsUnreadable: true}}, servers)
	})
	text := `{"revision":9,"values":` + surround(`{"key":"k","value":"dg==","revision":8}`) + "}"
	want := platform.ListReply{Revision: 9, Values: []platform.Value{{Key: "k", Data: []byte("v"), Revision: 8}}, Unreadable: []string{"odd", "odd", "odd"}}
	t.Run("of the values", func(t *testing.T) {
		list, err := newClient(t, text).List(t.Context(), "k")
		must.NoError(t, err)
		must.Eq(t, want, list)
	})
	t.Run("of the changes", func(t *testing.T) {
		list, err := newClient(t, text).Watch(t.Context(), "k", 1, time.Second)
		must.NoError(t, err)
		must.Eq(t, want, list)
	})
}
