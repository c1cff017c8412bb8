package sidecar

import (
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// lockedBudget is a retry budget shared by all requests.
type lockedBudget struct {
	mutex  sync.Mutex
	budget route.Budget
}

func (b *lockedBudget) addRequest(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.CountRequest(now)
}

func (b *lockedBudget) allowRetry(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.AllowRetry(now)
}
