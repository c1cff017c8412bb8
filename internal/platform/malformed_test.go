package platform_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Guards against a malformed answer of the platform that is taken for a value, a write, a refused write or an accepted
// order.
func TestMalformedAnswers(t *testing.T) {
	proceed := func() error { return nil }
	for call, test := range map[string]struct {
		status int
		body   string
		call   func(client *platform.Client) error
	}{
		"value":          {http.StatusOK, `{"key":"k","data":"dg==","revision":8}`, func(c *platform.Client) error { _, err := c.Get(t.Context(), "k"); return err }},
		"no value":       {http.StatusNotFound, `{}`, func(c *platform.Client) error { _, err := c.Get(t.Context(), "k"); return err }},
		"write":          {http.StatusOK, `{"revision":9}`, func(c *platform.Client) error { _, err := c.CompareAndSwap(t.Context(), "k", 8, nil, 0); return err }},
		"rejected write": {http.StatusConflict, `{"revision":9}`, func(c *platform.Client) error { _, err := c.CompareAndSwap(t.Context(), "k", 8, nil, 0); return err }},
		"servers":        {http.StatusOK, `[{"id":"s1","pool":"p"}]`, func(c *platform.Client) error { _, err := c.Servers(t.Context(), "z"); return err }},
		"order":          {http.StatusOK, `{}`, func(c *platform.Client) error { return c.Order(t.Context(), platform.Order{ID: "o"}, proceed) }},
		"usage":          {http.StatusOK, `{}`, func(c *platform.Client) error { return c.Report(t.Context(), platform.Usage{}, proceed) }},
	} {
		for name, text := range listentest.MalformedAnswers(test.status, "Content-Type: application/json\r\n", test.body) {
			t.Run(call+", "+name, func(t *testing.T) {
				server := listentest.StartRaw(t, func(*http.Request) string { return text })
				err := test.call(platform.NewClient("http://"+server.Address, time.Minute))
				var unavailable *platform.UnavailableError
				must.True(t, errors.As(err, &unavailable), must.Sprint(err))
				must.Eq(t, 0, unavailable.Status)
				must.Eq(t, 1, server.Requests())
			})
		}
	}
}
