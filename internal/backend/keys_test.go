package backend_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	secret       = "member-secret-1"
	secretBase64 = "bWVtYmVyOm1lbWJlci1zZWNyZXQtMQ==" // member:member-secret-1
)

// singleKey recognizes the hash of secret.
type singleKey struct{}

func (singleKey) IsKey(hash string) bool {
	sum := sha256.Sum256([]byte(secret))
	return hash == hex.EncodeToString(sum[:])
}

func withHeader(name, value string) func(*peerpb.RunRequest) {
	return func(request *peerpb.RunRequest) {
		request.SetHeaders([]*peerpb.Header{peerpb.Header_builder{Name: name, Value: value}.Build()})
	}
}

func withPath(path string) func(*peerpb.RunRequest) {
	return func(request *peerpb.RunRequest) { request.SetPath(path) }
}

// A caller puts its key anywhere in a request: headers of any name, cookies, the query,
// the path, userinfo. The raw bytes that the backend server receives must not contain the
// key, whether the request is run without it or refused.
func TestNoKeyReachesBackend(t *testing.T) {
	tests := map[string]struct {
		change func(*peerpb.RunRequest)
		// sent is the number of requests that reach the backend server.
		sent int
	}{
		"authorization":        {withHeader("Authorization", "Bearer "+secret), 0},
		"basic":                {withHeader("Authorization", "Basic "+secretBase64), 0},
		"proxy":                {withHeader("Proxy-Authorization", "Bearer "+secret), 0},
		"own header":           {withHeader("X-Api-Key", secret), 0},
		"cookie":               {withHeader("Cookie", "session=1; key="+secret), 0},
		"trailer":              {withHeader("Trailer", secret), 0},
		"referer":              {withHeader("Referer", "http://x/?key="+secret), 0},
		"allowed header":       {withHeader("Accept-Language", "en, "+secret), 0},
		"query":                {withPath("/records/1?api_key=" + secret), 0},
		"escaped query":        {withPath("/records/1?api_key=member%2Dsecret%2D1"), 0},
		"second in query":      {withPath("/records/1?a=b&access_token=" + secret), 0},
		"path":                 {withPath("/records/" + secret), 0},
		"userinfo":             {withPath("//user:" + secret + "@127.0.0.1/records/1"), 0},
		"absolute":             {withPath("http://user:" + secret + "@127.0.0.1/"), 0},
		"fragment":             {withPath("/records/1#" + secret), 0},
		"split header":         {withHeader("Accept", "a\r\nAuthorization: Bearer "+secret), 0},
		"unknown, no key":      {withHeader("X-Api-Key", "of another system"), 1},
		"authorization, other": {withHeader("Authorization", "Bearer other"), 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, reply{text: jsonHead + "Content-Length: 2\r\n\r\n{}"})
			plain := newPlain(server.url())
			plain.Keys = singleKey{}
			request := posting()
			test.change(request)
			_, _, _, err := run(plain, request)
			must.Len(t, test.sent, server.requests(), must.Sprint(err))
			mustContainNone(t, server.requests(), secret, secretBase64, "of another system", "Bearer")
		})
	}
}

// Like TestNoKeyReachesBackend, but without the check by hash: the list of allowed headers
// alone must keep out every other header.
func TestHeadersAreBuiltFromAllowed(t *testing.T) {
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key", "Proxy-Authorization", "Trailer", "Referer", "Idempotency-Key", "X-Forwarded-For", "Te", "Connection", "Host"} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, reply{text: jsonHead + "Content-Length: 2\r\n\r\n{}"})
			request := posting()
			withHeader(name, secret)(request)
			_, _, _, err := run(newPlain(server.url()), request)
			must.NoError(t, err)
			mustContainNone(t, server.requests(), secret)
		})
	}
}

// A caller puts its key into fields of a prompt's body that are not allowed. The engine
// must not receive the key.
func TestPromptIsBuiltFromAllowed(t *testing.T) {
	server := newFakeServer(t, reply{text: chunked(oneToken, finish, done) + lastChunk})
	request := generation()
	request.SetBody([]byte(`{"model":"m","prompt":"p","user":"` + secret + `","api_key":"` + secret + `","metadata":{"k":"` + secret + `"}}`))
	withHeader("Authorization", "Bearer "+secret)(request)
	_, _, _, err := run(newEngine(server.url()), request)
	must.NoError(t, err)
	must.Len(t, 1, server.requests())
	mustContainNone(t, server.requests(), secret)
}

func mustContainNone(t *testing.T, requests []string, words ...string) {
	t.Helper()
	for _, raw := range requests {
		for _, word := range words {
			must.StrNotContains(t, raw, word)
		}
	}
}
