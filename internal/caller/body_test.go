package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// mustRefuseOrPass checks that a body is refused as not run with status 400, or
// that only the known fields are forwarded.
func mustRefuseOrPass(t *testing.T, body any, err error, known ...string) {
	t.Helper()
	var refused *refusal.Error
	if errors.As(err, &refused) {
		must.Eq(t, http.StatusBadRequest, refused.Status)
		must.True(t, refusal.IsNotRun(err))
		return
	}
	must.NoError(t, err)
	text, err := json.Marshal(body)
	must.NoError(t, err)
	var fields map[string]any
	must.NoError(t, json.Unmarshal(text, &fields))
	for field := range fields {
		must.SliceContains(t, known, field)
	}
}

func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p"}`,
		`{"model":"m","prompt":"p","max_tokens":5,"temperature":0.5,"seed":1,"stop":["a","b"],"stream":true,"n":1}`,
		`{"model":"m","prompt":"p","stop":"a","api_key":"secret","user":"u"}`,
		`{"model":"m","prompt":["p"]}`, `{"model":"m","prompt":"p"}{}`, `[]`, `null`, `{"max_tokens":-1}`, "{\"prompt\":\"\xff\"}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		completion, _, err := parseCompletion(body)
		mustRefuseOrPass(t, completion, err, "prompt", "model", "max_tokens", "temperature", "seed", "stop")
	})
}

func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"p"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}]}`,
		`{"model":"m","messages":[{"role":"robot","content":"p"}]}`, `{"model":"m","messages":[]}`, `{"messages":null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, _, err := parseChat(body)
		mustRefuseOrPass(t, chat, err, "messages", "model", "max_tokens", "temperature", "seed", "stop")
	})
}

func FuzzSplitService(f *testing.F) {
	for _, seed := range []string{"/services/ledger/records/1?x=1", "/services/ledger", "/services/", "/services/a/../b", "/services/a/%2e%2e/b", "/services//x", "/services/a//b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		address, err := url.ParseRequestURI(text)
		if err != nil || !isService(address.Path) {
			return
		}
		service, target, err := splitService(address)
		if err != nil {
			must.True(t, refusal.IsNotRun(err))
			return
		}
		must.NotEq(t, "", service)
		must.False(t, strings.Contains(service, "/"))
		parsed, err := url.ParseRequestURI(target)
		must.NoError(t, err)
		must.Eq(t, path.Clean(parsed.Path), strings.TrimSuffix(parsed.Path, "/")+map[bool]string{true: "/"}[parsed.Path == "/"])
	})
}

// Common client libraries send a message's content as a list of parts, and the
// token limit as max_completion_tokens.
func TestParseChatForms(t *testing.T) {
	tests := map[string]struct {
		body      string
		text      content
		maxTokens int64
	}{
		"single string":         {`{"model":"m","messages":[{"role":"user","content":"ab"}],"max_tokens":3}`, "ab", 3},
		"parts":                 {`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "ab", 0},
		"max_completion_tokens": {`{"model":"m","messages":[{"role":"user","content":"ab"}],"max_completion_tokens":4}`, "ab", 4},
		"null content":          {`{"model":"m","messages":[{"role":"assistant","content":null}]}`, "", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			chat, _, err := parseChat([]byte(test.body))
			must.NoError(t, err)
			must.Eq(t, test.text, chat.Messages[0].Content)
			must.Eq(t, test.maxTokens, chat.MaxTokens)
		})
	}
	_, _, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`))
	must.True(t, refusal.IsNotRun(err))
	must.StrContains(t, err.Error(), "content")
}
