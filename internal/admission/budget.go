package admission

const (
	// maxRetryTokens bounds the retries that a gateway saves up.
	maxRetryTokens = 10.0
	// retryTokensPerTry lets retries add a tenth to the load at most.
	retryTokensPerTry = 0.1
)

// Budget bounds the retries of a gateway while a pool is overloaded. The zero value is full.
type Budget struct {
	spent float64
}

// RecordTry accrues tokens for a request's first try.
func (b *Budget) RecordTry() { b.spent = max(0, b.spent-retryTokensPerTry) }

// Take takes a token, if there is one.
func (b *Budget) Take() bool {
	if b.spent+1 > maxRetryTokens {
		return false
	}
	b.spent++
	return true
}

// Tokens returns the tokens left.
func (b *Budget) Tokens() float64 { return maxRetryTokens - b.spent }
