package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// HeaderIdempotency carries the caller's idempotency key: two requests of an
// account to one service with the same one run at most once.
const HeaderIdempotency = "Idempotency-Key"

const maxIdempotencyBytes = 255

// claim returns the claim of a request that may not run twice; empty if the
// caller gave no idempotency key. It is a digest of account, key and service,
// so that no account can touch another's claims.
func (c *call) claim(service string) (string, error) {
	key := c.request.Header.Get(HeaderIdempotency)
	if key == "" || isIdempotent(c.request.Method) {
		return "", nil
	}
	if len(key) > maxIdempotencyBytes {
		return "", malformed("%s is longer than %d bytes", HeaderIdempotency, maxIdempotencyBytes)
	}
	return claimOf(c.grant.Account(), key, service), nil
}

// claimOf keeps the parts apart by a byte that no name holds.
func claimOf(account, key, service string) string {
	digest := sha256.New()
	for _, part := range []string{account, key, service} {
		_, _ = io.WriteString(digest, part)
		_, _ = digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}
