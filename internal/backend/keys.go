package backend

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/url"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// separators delimit the words of a path, query or header that may be a key.
const separators = " ,;=&:/?@#\"'"

// Keys looks up callers' API keys by hash.
type Keys interface {
	// IsKey reports whether hash is the hash of a key, granted or withdrawn.
	IsKey(hash string) bool
}

// containsKey reports whether a request's path, query or headers contain an API key.
//
// The entry removes the caller's key, and a plain service only gets allowed headers. A
// caller can still put a key into the query, the path or an allowed header, which would
// disclose it to the service. Words are compared by hash, so this process needs no keys.
func containsKey(request *peerpb.RunRequest, keys Keys) bool {
	if keys == nil {
		return false
	}
	if textContainsKey(request.GetPath(), keys) {
		return true
	}
	for _, header := range request.GetHeaders() {
		if textContainsKey(header.GetValue(), keys) {
			return true
		}
	}
	return false
}

func textContainsKey(text string, keys Keys) bool {
	words := splitWords(text)
	if unescaped, err := url.QueryUnescape(text); err == nil && unescaped != text {
		words = append(words, splitWords(unescaped)...)
	}
	for _, word := range words {
		if isKey(word, keys) {
			return true
		}
		if decoded, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(word, "=")); err == nil && containsAnyKey(splitWords(string(decoded)), keys) {
			return true
		}
	}
	return false
}

func containsAnyKey(words []string, keys Keys) bool {
	for _, word := range words {
		if isKey(word, keys) {
			return true
		}
	}
	return false
}

func isKey(word string, keys Keys) bool {
	sum := sha256.Sum256([]byte(word))
	return keys.IsKey(hex.EncodeToString(sum[:]))
}

// splitWords returns the words of a text and the text itself.
func splitWords(text string) []string {
	isSeparator := func(r rune) bool { return strings.ContainsRune(separators, r) }
	return append(strings.FieldsFunc(text, isSeparator), strings.TrimSpace(text))
}
