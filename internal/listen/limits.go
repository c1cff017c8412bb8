package listen

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
)

const (
	defaultMaxConns       = 4096
	defaultMaxHeaderBytes = 64 << 10
	defaultBudgetBytes    = 256 << 20
	defaultWriteTimeout   = 30 * time.Second
	// receiveBufferBytes bounds the bytes of a connection that have arrived and were not read. The system doubles it
	// for its own overhead.
	receiveBufferBytes = 32 << 10
	// ConnBytes is the memory of a connection beside its requests: buffers, goroutine and unread bytes.
	ConnBytes = 24<<10 + receiveBufferBytes
	// headCost is the memory of a head for each of its bytes while it is received: a line of three bytes becomes an
	// entry of a map, which is copied.
	headCost = 32
	// requestBytes is the memory of a request beside its head and body: stacks, and a connection to a backend server.
	requestBytes = 48 << 10
)

// Limits bound what the clients of an HTTP server make the process hold.
type Limits struct {
	// Budget is the memory of all requests together; nil means 256 MB.
	Budget *budget.Budget
	// MaxConns is the largest number of connections; 0 means 4096.
	MaxConns int
	// MaxHeaderBytes returns the largest size of a head, and HeaderTimeout the time in which it has to arrive; 0 means
	// the default of 64 KB or 10 s. Both may be nil.
	MaxHeaderBytes func() int64
	HeaderTimeout  func() time.Duration
	// WriteTimeout bounds the time for which 64 KB of an answer wait for a client that doesn't read, and, beside a second
	// for each 8 KB, that of a whole answer; 0 means 30 s.
	WriteTimeout time.Duration
}

func (l *Limits) withDefaults() Limits {
	limits := *l
	if limits.Budget == nil {
		limits.Budget = &budget.Budget{Bytes: defaultBudgetBytes}
	}
	if limits.MaxConns == 0 {
		limits.MaxConns = defaultMaxConns
	}
	if limits.WriteTimeout == 0 {
		limits.WriteTimeout = defaultWriteTimeout
	}
	return limits
}

func (l *Limits) maxHeaderBytes() int64 {
	if l.MaxHeaderBytes != nil {
		if limit := l.MaxHeaderBytes(); limit > 0 {
			return limit
		}
	}
	return defaultMaxHeaderBytes
}

func (l *Limits) headerTimeout() time.Duration {
	if l.HeaderTimeout != nil {
		if timeout := l.HeaderTimeout(); timeout > 0 {
			return timeout
		}
	}
	return headerTimeout
}
