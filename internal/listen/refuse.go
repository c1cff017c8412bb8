package listen

import (
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

func refuseNoMemory() error {
	return refusal.NotRun(http.StatusServiceUnavailable, "no_memory", "other requests hold the memory of this process").WithRetryAfter(noMemoryRetryAfter)
}
