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

// exchangeInterval is the time between two exchanges of demands with the other entries.
const exchangeInterval = 500 * time.Millisecond

// Peers exchanges demands with the other entries.
type Peers interface {
	Demands(now time.Time) []*peerpb.Demand
	OfferDemands(demands []*peerpb.Demand, now time.Time)
	Processes(role peerpb.Role) []*peerpb.Process
	Self() *peerpb.Process
}

var _ Peers = &member.Members{}

// Admission enforces the limits of plans. Exported fields are set before Run.
type Admission struct {
	Peers Peers

	mutex   sync.Mutex
	limiter limit.Limiter
}

// Admit checks an account's request with an estimated number of tokens against
// the limits of its plan. The caller must call done once with the tokens that the
// request used.
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

// Run exchanges demands with the other entries until the context ends.
func (a *Admission) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
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
	received := a.Peers.Demands(now)
	a.mutex.Lock()
	a.limiter.Self = a.Peers.Self().GetName()
	a.limiter.Entries = entries
	a.limiter.Receive(received, now)
	own := a.limiter.Demands(now)
	a.mutex.Unlock()
	a.Peers.OfferDemands(own, now)
}

func (a *Admission) finish(account string, limits limit.Limits, tokens, used int64) {
	if limits == (limit.Limits{}) {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limiter.Finish(account, tokens, used)
}
