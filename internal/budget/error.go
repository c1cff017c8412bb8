package budget

// Reason is why a request gets no memory.
type Reason int

// Reasons.
const (
	// Full means that other requests hold the memory; a later try may succeed.
	Full Reason = iota
	// TooLarge means that the request needs more than a request can get.
	TooLarge
	// Interrupted means that the request had to yield to others.
	Interrupted

	reasonCount
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"full", "too_large", "interrupted"}[r]
}

// Error means that a request gets no memory.
type Error struct {
	Reason Reason
}

// Error names the reason.
func (e *Error) Error() string { return "memory for the request: " + e.Reason.String() }
