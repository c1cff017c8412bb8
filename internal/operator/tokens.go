package operator

import (
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

const hashLength = 64

// Tokens identifies operators by the hashes of their tokens.
type Tokens struct {
	names  []string
	hashes []string
}

// ParseTokens parses items of the form NAME:HASH.
func ParseTokens(items []string) (*Tokens, error) {
	tokens := &Tokens{}
	var errs []error
	for _, item := range items {
		name, hash, found := strings.Cut(item, ":")
		hash = strings.ToLower(hash)
		if !found || name == "" || len(hash) != hashLength || strings.Trim(hash, "0123456789abcdef") != "" {
			errs = append(errs, &settings.Error{
				File: "settings", Section: "operator", Key: "tokens",
				Problem: "an item is not NAME:HASH with a SHA-256 of 64 hexadecimal digits",
			})
			continue
		}
		tokens.names = append(tokens.names, name)
		tokens.hashes = append(tokens.hashes, hash)
	}
	return tokens, errors.Join(errs...)
}

// Name returns the operator whose token the request carries, or "". All hashes
// are compared in constant time, so that the response time reveals nothing about a token.
func (t *Tokens) Name(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return ""
	}
	given := []byte(lists.HashKey(token))
	match := -1
	for i, hash := range t.hashes {
		same := subtle.ConstantTimeCompare(given, []byte(hash))
		match = subtle.ConstantTimeSelect(same, i, match)
	}
	if match < 0 {
		return ""
	}
	return t.names[match]
}
