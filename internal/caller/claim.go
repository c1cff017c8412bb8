package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// HeaderIdempotencyKey is the request header with the caller's idempotency key:
// requests of an account to a service with the same key run at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

const maxIdempotencyKeyBytes = 255

// claim returns the claim of a request that must not run twice, or "" if the
// request has no idempotency key or its method is idempotent. It is a digest of
// account, key and service, so that no account can affect another's claims.
func (c *call) claim(service string) (string, error) {
	key := c.request.Header.Get(HeaderIdempotencyKey)
	if key == "" || isIdempotent(c.request.Method) {
		return "", nil
	}
	if len(key) > maxIdempotencyKeyBytes {
		return "", invalidRequest("%s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return claimDigest(c.grant.Account(), key, service), nil
}

// claimDigest hashes the parts with a separator byte that no name contains.
func claimDigest(account, key, service string) string {
	digest := sha256.New()
	for _, part := range []string{account, key, service} {
		_, _ = io.WriteString(digest, part)
		_, _ = digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}
