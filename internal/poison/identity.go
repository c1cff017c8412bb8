package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// fingerprintBytes is the length of a fingerprint before its encoding: long enough that different requests don't share one
// in practice.
const fingerprintBytes = 16

// Identity is what the copies of a request have in common. Each copy has an ID of its own.
type Identity struct {
	// Account is the client account; "" for requests without one.
	Account string
	Method  string
	// Host may have a port; its case doesn't matter.
	Host string
	// Target is the path and query.
	Target string
	Body   []byte
}

// fingerprint returns a short name of the identity that can be part of a store key.
func (i *Identity) fingerprint() string {
	hash := sha256.New()
	host, _, _ := strings.Cut(i.Host, ":")
	for _, field := range [][]byte{[]byte(i.Account), []byte(i.Method), []byte(strings.ToLower(host)), []byte(i.Target), i.Body} {
		// The lengths keep apart identities whose fields give the same bytes when joined.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = hash.Write(field)
	}
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
