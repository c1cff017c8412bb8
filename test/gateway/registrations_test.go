package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// oddRegistrations returns registrations by another writer, by what is odd about them. Each names a pool that
// is in use.
func oddRegistrations(pool string) map[string]string {
	with := func(field, value string) string {
		fields := map[string]string{
			"backend": `"` + pool + `"`, "address": `"127.0.0.1:9"`, "zone": `"z1"`, "version": `"v1"`, "slots": "4", "state": `"serving"`,
			"seq": "1", "cold-left-ms": "0", "born": "1", "models": `[{"name":"m","version":1,"loras":[]}]`,
		}
		fields[field] = value
		var parts []string
		for name, text := range fields {
			parts = append(parts, `"`+name+`":`+text)
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	const deep = 100_000
	return map[string]string{
		"nested arrays":           strings.Repeat("[", deep) + strings.Repeat("]", deep),
		"nested objects":          strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep),
		"nested field":            with("x", strings.Repeat("[", deep)+strings.Repeat("]", deep)),
		"nested models":           with("models", strings.Repeat("[", deep)+strings.Repeat("]", deep)),
		"array":                   "[]",
		"null":                    "null",
		"text":                    `"x"`,
		"number":                  "1e999",
		"not UTF-8":               "\xff\xfe",
		"empty":                   "",
		"slots over 64 bits":      with("slots", "92233720368547758080"),
		"slots of 64 bits":        with("slots", "9223372036854775807"),
		"slots below zero":        with("slots", "-4"),
		"start over 64 bits":      with("born", "1e30"),
		"start below zero":        with("born", "-9223372036854775808"),
		"cold for ever":           with("cold-left-ms", "1e308"),
		"cold over a float":       with("cold-left-ms", "1e999"),
		"version of 64 bits":      with("models", `[{"name":"m","version":18446744073709551615}]`),
		"version over 64 bits":    with("models", `[{"name":"m","version":18446744073709551616}]`),
		"port out of range":       with("address", `"127.0.0.1:70000"`),
		"port below zero":         with("address", `"127.0.0.1:-1"`),
		"port 0":                  with("address", `"127.0.0.1:0"`),
		"no port":                 with("address", `"127.0.0.1"`),
		"address with a zone":     with("address", `"[::1%lo]:80"`),
		"address of no host":      with("address", `"0.0.0.0:9"`),
		"address of a group":      with("address", `"224.0.0.1:9"`),
		"address of another type": with("address", "7"),
		"address with a user":     with("address", `"u@127.0.0.1:9"`),
		"state of another type":   with("state", "null"),
		"unknown state":           with("state", `"sleeping"`),
		"pool of another type":    with("backend", "[]"),
		"unknown pool":            with("backend", `"nobody"`),
		"models of another type":  with("models", `{"name":"m"}`),
		"model of another type":   with("models", "[7]"),
		"zone of another type":    with("zone", "{}"),
		"name that ends a line":   with("zone", `"z\r\nX: y"`),
	}
}

// Guards against a registration by another writer that ends a gateway, stops it following the others, or
// costs requests and items their servers.
func TestOddRegistrations(t *testing.T) {
	for _, pool := range []string{"app", "lm"} {
		for name, text := range oddRegistrations(pool) {
			t.Run(pool+"/"+name, func(t *testing.T) {
				t.Parallel()
				checkOddRegistration(t, func(t *testing.T, d *deployment) { d.PutText(t, "servers/odd", []byte(text)) })
			})
		}
	}
}

// Guards against an item of the store that can't be decoded and hides the items beside it, from a gateway
// that lists them at its start or follows their changes.
func TestUnreadableItems(t *testing.T) {
	for name, item := range map[string]string{
		"value that isn't base64":  `{"key":"servers/odd","value":"{","mod-rev":%d,"lease":0}`,
		"value of another type":    `{"key":"servers/odd","value":{"a":[1]},"mod-rev":%d,"lease":0}`,
		"lease over 64 bits":       `{"key":"servers/odd","value":"","mod-rev":%d,"lease":1e30}`,
		"lease below zero":         `{"key":"servers/odd","value":"","mod-rev":%d,"lease":-1}`,
		"revision below zero":      `{"key":"servers/odd","value":"","mod-rev":-%d,"lease":0}`,
		"revision of another type": `{"key":"servers/odd","value":"","mod-rev":"%d","lease":0}`,
		"key of another type":      `{"key":%d,"value":"","mod-rev":7,"lease":0}`,
		"array":                    `[%d]`,
		"null":                     `null`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkOddRegistration(t, func(t *testing.T, d *deployment) {
				if strings.Contains(item, "%d") {
					item = fmt.Sprintf(item, 9)
				}
				d.PutRawItem(t, "servers/odd", item)
			})
		})
	}
}

// checkOddRegistration checks that a gateway serves requests and batches beside an odd registration, which it
// lists at its start or hears of later.
func checkOddRegistration(t *testing.T, put func(t *testing.T, d *deployment)) {
	t.Helper()
	d := newDeployment(t)
	first := d.NewSampler(t, "a1", "app", "")
	d.NewSampler(t, "l1", "lm", "m")
	d.NewSampler(t, "sc1", "app", "")
	put(t, d)
	g := d.start(t, "g1")
	put(t, d)
	d.NewSampler(t, "a2", "app", "")
	first.Register(t, "draining")
	replies := make([]reply, 12)
	var sending sync.WaitGroup
	for i := range replies {
		sending.Go(func() { replies[i] = g.send(t, http.MethodPost, "/look/x", "key-acme", fmt.Sprintf("r%d", i), nil) })
	}
	sending.Wait()
	for _, got := range replies {
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
	}
	g.submit(t, 4)
	got := g.awaitResults(t, 4)
	for _, result := range got.Results {
		must.Eq(t, "completed", result.State)
	}
	select {
	case <-g.done:
		t.Fatal("the gateway has ended")
	default:
	}
}
