package backend

import (
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// A caller puts another host into the path for a plain service. Whatever the path, the
// request goes to the backend server and carries no userinfo.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"/records/1", "//evil/x", "http://evil/", "/a?b=c#d", "/%2f%2fevil", "*", "", "/\\evil", "/a b", "//u:p@evil"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, path string) {
		target, err := targetURL(&url.URL{Scheme: "http", Host: "127.0.0.1:8080"}, path)
		if err != nil {
			return
		}
		must.Eq(t, "127.0.0.1:8080", target.Host)
		must.Eq(t, "http", target.Scheme)
		must.Nil(t, target.User)
		must.True(t, strings.HasPrefix(target.String(), "http://127.0.0.1:8080/"))
	})
}

// An engine sends malformed events. Reading terminates, and only the end marker completes
// an answer.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"data: [DONE]\n\n", "data: {}\n", "data:", "data: {\"choices\":[{}]}\n\ndata: [DONE]", "event: x\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, watchdog := newWatchdog(t.Context(), time.Minute)
		defer watchdog.stop()
		events := newEngineEvents(strings.NewReader(text), watchdog)
		for {
			event, err := events.next()
			if err != nil {
				must.True(t, !errors.Is(err, errDone) || strings.Contains(text, doneMarker))
				return
			}
			event.toChunk()
			event.fillEnd(&peerpb.End{})
		}
	})
}

// A caller's body may have any fields. The engine must receive only allowed fields.
func FuzzPrompt(f *testing.F) {
	for _, seed := range []string{`{"model":"m","user":"u"}`, `{"MODEL":1,"Prompt":"x"}`, `[]`, `{"resume_tokens":[1]}`, `{"a":{"model":1}}`} {
		f.Add([]byte(seed))
	}
	allowed := append([]string{"stream", "priority"}, promptFields...)
	f.Fuzz(func(t *testing.T, body []byte) {
		prompt, err := newPrompt(peerpb.RunRequest_builder{Body: body}.Build())
		if err != nil {
			return
		}
		encoded, err := prompt.encode()
		must.NoError(t, err)
		var sent map[string]json.RawMessage
		must.NoError(t, json.Unmarshal(encoded, &sent))
		for name := range sent {
			must.True(t, slices.Contains(allowed, name))
		}
		must.Eq(t, "true", string(sent["stream"]))
	})
}
