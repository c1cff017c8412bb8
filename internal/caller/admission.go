package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/limit"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// tellInterval is the time between two tellings of demands.
const tellInterval = 500 * time.Millisecond

// Peers are the other entries, to which demands are told.
type Peers interface {
	Demands(now time.Time) []*peerpb.Demand
	OfferDemands(demands []*peerpb.Demand, now time.Time)
	Processes(role peerpb.Role) []*peerpb.Process
	Self() *peerpb.Process
}

var _ Peers = &member.Members{}

// Admission keeps the limits of plans. Exported fields are set before Run.
type Admission struct {
	Peers Peers

	mutex   sync.Mutex
	limiter limit.Limiter
}

// Admit decides on a request that takes about so many tokens. done is called
// once with the tokens that it used.
func (a *Admission) Admit(account string, plan *listpb.Plan, tokens int64) (done func(used int64), err error) {
	limits := limit.Limits{Rate: plan.GetRate(), Concurrency: plan.GetConcurrency(), Tokens: plan.GetTokens()}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	verdict := a.limiter.Admit(account, limits, tokens, time.Now())
	if verdict.Limit != "" {
		code := "limit_" + verdict.Limit
		return nil, refusal.NotRun(http.StatusTooManyRequests, code, "the plan's limit on %s is used up", verdict.Limit).WithRetryAfter(verdict.Wait)
	}
	return func(used int64) { a.finish(account, limits, tokens, used) }, nil
}

// Run tells the demands and takes those of others until the context ends.
func (a *Admission) Run(ctx context.Context) error {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		a.exchange(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (a *Admission) exchange(now time.Time) {
	entries := len(a.Peers.Processes(peerpb.Role_ROLE_ENTRY))
	heard := a.Peers.Demands(now)
	a.mutex.Lock()
	a.limiter.Self = a.Peers.Self().GetName()
	a.limiter.Entries = entries
	a.limiter.Receive(heard, now)
	told := a.limiter.Demands(now)
	a.mutex.Unlock()
	a.Peers.OfferDemands(told, now)
}

func (a *Admission) finish(account string, limits limit.Limits, tokens, used int64) {
	if limits == (limit.Limits{}) {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limiter.Finish(account, tokens, used)
}
