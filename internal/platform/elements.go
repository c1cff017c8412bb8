package platform

import (
	"encoding/json"

	"k8s.io/klog/v2"
)

// DecodeElements decodes the elements of a JSON array. It logs an element that can't be decoded and
// passes it to onUnreadable, which may be nil; the other elements hold.
//
// The platform's lists have many writers. Decoded as a whole, a list with one odd entry would have no
// entries.
func DecodeElements[T any](operation string, array json.RawMessage, onUnreadable func(element json.RawMessage)) []T {
	var whole []T
	if len(array) == 0 || json.Unmarshal(array, &whole) == nil {
		return whole
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(array, &elements); err != nil {
		klog.InfoS("platform: a list can't be decoded", "operation", operation, "list", excerpt(array), "err", err.Error())
	}
	decoded := make([]T, 0, len(elements))
	for _, element := range elements {
		var next T
		if err := json.Unmarshal(element, &next); err != nil {
			klog.InfoS("platform: an entry can't be decoded and is left out", "operation", operation, "entry", excerpt(element), "err", err.Error())
			if onUnreadable != nil {
				onUnreadable(element)
			}
			continue
		}
		decoded = append(decoded, next)
	}
	return decoded
}

// maxExcerptBytes bounds what the log shows of an entry.
const maxExcerptBytes = 200

func excerpt(text []byte) string { return string(text[:min(len(text), maxExcerptBytes)]) }

// ElementKey returns the key of an element that can't be decoded as a whole, or "".
func ElementKey(element json.RawMessage) string { return elementText(element, "key") }

// elementText returns a text of an element that can't be decoded as a whole, or "".
func elementText(element json.RawMessage, field string) string {
	var fields map[string]json.RawMessage
	var text string
	if json.Unmarshal(element, &fields) != nil || json.Unmarshal(fields[field], &text) != nil {
		return ""
	}
	return text
}
