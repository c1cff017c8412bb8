package backend

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/url"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// separators end the words of a path, a query or a header in which a key may stand.
const separators = " ,;=&:/?@#\"'"

// Keys knows the callers' keys by their hashes.
type Keys interface {
	// IsKey reports whether a hash is that of a key, granted or withdrawn.
	IsKey(hash string) bool
}

// holdsKey reports whether a path, query or header of a request holds a key.
//
// The entry takes the caller's key away and a plain service only gets allowed
// headers. A caller can still put a key where a service's own words go: into the
// query, the path or an allowed header. The service would then see it. Words are
// compared by hash, so this process needs to know no key.
func holdsKey(request *peerpb.RunRequest, keys Keys) bool {
	if keys == nil {
		return false
	}
	if textHoldsKey(request.GetPath(), keys) {
		return true
	}
	for _, header := range request.GetHeaders() {
		if textHoldsKey(header.GetValue(), keys) {
			return true
		}
	}
	return false
}

func textHoldsKey(text string, keys Keys) bool {
	words := wordsOf(text)
	if unescaped, err := url.QueryUnescape(text); err == nil && unescaped != text {
		words = append(words, wordsOf(unescaped)...)
	}
	for _, word := range words {
		if isKey(word, keys) {
			return true
		}
		if decoded, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(word, "=")); err == nil && anyIsKey(wordsOf(string(decoded)), keys) {
			return true
		}
	}
	return false
}

func anyIsKey(words []string, keys Keys) bool {
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

// wordsOf returns a text and its words.
func wordsOf(text string) []string {
	isSeparator := func(r rune) bool { return strings.ContainsRune(separators, r) }
	return append(strings.FieldsFunc(text, isSeparator), strings.TrimSpace(text))
}
