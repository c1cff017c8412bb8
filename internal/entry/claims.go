package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Peers reaches the sidecars of other backend servers.
type Peers interface {
	// Claim asks a server's sidecar to keep a claim.
	Claim(ctx context.Context, server string, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	// Join joins a run at a server's sidecar; it starts none.
	Join(ctx context.Context, server string, request *peerpb.RunRequest) (grpc.ServerStreamingClient[peerpb.Frame], error)
	// Recall asks a server's sidecar for the claims that it keeps.
	Recall(ctx context.Context, server string, request *peerpb.RecallRequest) (*peerpb.RecallReply, error)
}

// Membership is what is known of the pool's servers and of earlier processes.
type Membership interface {
	// Fleet returns the pool's servers, or nil if they are not known.
	Fleet(pool string) *statepb.Fleet
	// IsFirstProcess reports whether no earlier process stood beside this backend server.
	IsFirstProcess() bool
	// IsIsolated reports whether neither the store nor most processes answer.
	IsIsolated(now time.Time) bool
	// CountOthers returns the number of other sidecars of the pool that are known.
	CountOthers(pool string) int
}

// Claims keeps the claims of idempotency keys, as a home and as a witness.
// Exported fields are set before the first request.
type Claims struct {
	// Server is the identity of the backend server, Pool what it serves.
	Server string
	Pool   string

	Members Membership
	Peers   Peers
	// Retention is how long after a request its retries may come.
	Retention time.Duration
	// Started is when this process began to keep claims.
	Started time.Time
	// RunAlone says whether a claim runs while no other server can witness it.
	RunAlone bool

	mutex   sync.Mutex
	journal claim.Journal
	learned atomic.Bool
}

// hold keeps a request's claim or finds out which run has it. It returns nil
// and no refusal if the request itself has the claim, or a sidecar elsewhere.
func (c *Claims) hold(request *peerpb.RunRequest, find func(id string) *run) (*run, *refusal.Error) {
	if refused := c.checkNew(request); refused != nil {
		return nil, refused
	}
	record, isNew, err := c.keep(request.GetClaim(), claim.NewRecord(request.GetId(), c.Server, digest(request)))
	if err != nil {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "memory_full", "%v", err).WithRetryAfter(retryElsewhere)
	}
	known := find(record.ID())
	switch {
	case isNew:
		return nil, nil
	case record.Server() == c.Server && known != nil && known.isNotRun():
		c.journal.Renew(request.GetClaim(), request.GetId(), digest(request), time.Now())
		return nil, nil
	case isOther(record.Digest(), request):
		return nil, keyReused()
	case record.Server() != c.Server:
		return nil, nil
	case known == nil:
		return nil, refusal.Unknown(http.StatusBadGateway, "not_known", "the idempotency key was used and its answer is not known any more")
	default:
		return known, nil
	}
}

// checkNew refuses a new claim whose home is elsewhere before it waits in the queue.
func (c *Claims) checkNew(request *peerpb.RunRequest) *refusal.Error {
	fleet := c.Members.Fleet(c.Pool)
	if _, known := c.journal.Find(request.GetClaim()); known || fleet == nil {
		return nil
	}
	return c.checkHome(request, fleet)
}

// confirm asks the other sidecars that may know the claim, and its witness to
// keep it. It is called just before the request is passed on. It returns the
// holder if the claim is known elsewhere; the request then must not run here.
func (c *Claims) confirm(ctx context.Context, request *peerpb.RunRequest) (*holder, *refusal.Error) {
	if known := c.holder(request.GetClaim()); known != nil {
		return known, nil
	}
	inquiry := &inquiry{claims: c, request: request}
	refused := c.inquire(ctx, inquiry)
	switch {
	case inquiry.holder == nil:
		return nil, refused
	case isOther(inquiry.holder.digest, request):
		return nil, keyReused()
	default:
		return inquiry.holder, nil
	}
}

// holder returns the other server that has a claim by the journal here, or nil.
func (c *Claims) holder(key string) *holder {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record, known := c.journal.Find(key)
	if !known || record.Server() == c.Server {
		return nil
	}
	return &holder{server: record.Server(), id: record.ID()}
}

func (c *Claims) inquire(ctx context.Context, inquiry *inquiry) *refusal.Error {
	now := time.Now()
	if c.Members.IsIsolated(now) {
		return refusal.NotRun(http.StatusServiceUnavailable, "isolated", "the sidecar of %s is cut off and may know an old fleet", c.Server).WithRetryAfter(retryElsewhere)
	}
	if !c.isFirm(now) && now.Sub(c.Started) < claim.MaxFleetLag {
		return refusal.NotRun(http.StatusServiceUnavailable, "restarted", "the sidecar of %s has just started and learns what ran before", c.Server).WithRetryAfter(retryElsewhere)
	}
	fleet := c.Members.Fleet(c.Pool)
	if fleet == nil {
		return c.confirmWithoutFleet(now)
	}
	if refused := c.checkHome(inquiry.request, fleet); refused != nil {
		return refused
	}
	inquiry.epoch = fleet.GetEpoch()
	plan := claim.NewPlan(inquiry.request.GetClaim(), fleet, now, c.Retention)
	return c.refuse(plan.Check(func(server string) claim.Answer { return inquiry.ask(ctx, server) }))
}

// checkHome refuses a claim whose home is another server by this process's view.
// The entry's epoch need not be the same: whom to ask is decided by the view
// here, so an entry that is behind does no harm as long as it found the home.
func (c *Claims) checkHome(request *peerpb.RunRequest, fleet *statepb.Fleet) *refusal.Error {
	if home := claim.Home(request.GetClaim(), fleet); home != c.Server {
		return refusal.NotRun(http.StatusServiceUnavailable, "wrong_home", "requests with this idempotency key go to %q by epoch %d, sent by epoch %d", home, fleet.GetEpoch(), request.GetEpoch()).WithRetryAfter(retryElsewhere)
	}
	return nil
}

// confirmWithoutFleet decides while the pool's servers are not known.
func (c *Claims) confirmWithoutFleet(now time.Time) *refusal.Error {
	switch {
	case c.Members.CountOthers(c.Pool) > 0:
		return refusal.NotRun(http.StatusServiceUnavailable, "no_fleet", "the servers of %s are not known yet", c.Pool).WithRetryAfter(retryElsewhere)
	case !c.isFirm(now):
		return c.refuse(claim.Lost)
	default:
		return c.refuse(claim.NoOtherServer)
	}
}

func (c *Claims) refuse(verdict claim.Verdict) *refusal.Error {
	switch {
	case verdict == claim.Pass, verdict == claim.NoOtherServer && c.RunAlone:
		return nil
	case verdict == claim.Known:
		return refusal.Unknown(http.StatusConflict, "claimed_elsewhere", "the idempotency key was used for a request to another server")
	case verdict == claim.Lost:
		return refusal.Unknown(http.StatusServiceUnavailable, "claim_lost", "the servers that may have run a request with this idempotency key are gone")
	default:
		return refusal.NotRun(http.StatusServiceUnavailable, "no_witness", "no other server can witness the request").WithRetryAfter(retryElsewhere)
	}
}

// isOwnVoid reports whether a witness knows the claim from a request of this
// process that was proved not to have run.
func (c *Claims) isOwnVoid(key string, reply *peerpb.ClaimReply) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record, known := c.journal.Find(key)
	return known && reply.GetServer() == c.Server && record.IsVoid(reply.GetId())
}

// witness keeps a claim for another server's request. A claim that a request
// here has given up without having run is taken over.
func (c *Claims) witness(request *peerpb.ClaimRequest, find func(id string) *run) *peerpb.ClaimReply {
	if request.GetPool() != c.Pool {
		return refuseClaim("wrong_pool", "%s serves %s", c.Server, c.Pool)
	}
	if epoch := c.Members.Fleet(c.Pool).GetEpoch(); request.GetEpoch() < epoch {
		return refuseClaim("wrong_epoch", "sent by epoch %d, now is %d", request.GetEpoch(), epoch)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record, isNew, err := c.keep(request.GetClaim(), claim.NewRecord(request.GetId(), request.GetServer(), request.GetDigest()))
	if err != nil {
		return refuseClaim("memory_full", "%v", err)
	}
	if known := find(record.ID()); !isNew && record.Server() == c.Server && known != nil && known.isNotRun() {
		record, isNew = c.journal.Replace(request.GetClaim(), claim.NewRecord(request.GetId(), request.GetServer(), request.GetDigest()), time.Now()), true
	}
	reply := peerpb.ClaimReply_builder{Recorded: isNew, Id: record.ID(), Server: record.Server(), Digest: record.Digest()}.Build()
	if !c.isFirm(time.Now()) {
		reply.SetSince(uint64(c.Started.UnixNano()))
	}
	return reply
}

func (c *Claims) keep(key string, record claim.Record) (claim.Record, bool, error) {
	c.journal.Retention = claim.Window(c.Retention)
	return c.journal.Add(key, record, time.Now())
}

// isFirm reports whether this process knows every claim that its backend
// server may have run within the window. One that was started again has lost
// those of the process before it until it has learned them from the others, or
// their time is over.
func (c *Claims) isFirm(now time.Time) bool {
	return c.learned.Load() || now.Sub(c.Started) >= claim.Window(c.Retention) || c.Members.IsFirstProcess()
}

// hasAllMemory reads the start of a witness's memory; 0 is that of its server.
func (c *Claims) hasAllMemory(since uint64) bool {
	return since == 0 || time.Since(time.Unix(0, int64(since))) >= claim.Window(c.Retention)
}

func firmness(isFirm bool) claim.Answer {
	if isFirm {
		return claim.Kept
	}
	return claim.KeptAfterRestart
}

func refuseClaim(code, format string, arguments ...any) *peerpb.ClaimReply {
	refused := refusal.NotRun(http.StatusServiceUnavailable, code, format, arguments...)
	return peerpb.ClaimReply_builder{Refusal: refused.ToMessage()}.Build()
}

// digest tells requests under one idempotency key apart.
func digest(request *peerpb.RunRequest) string {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(request.GetMethod()), []byte(request.GetPath()), request.GetBody()} {
		length := sha256.Sum256(part)
		_, _ = sum.Write(length[:])
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// isOther reports whether a known digest is that of another request; one that
// isn't known tells nothing.
func isOther(known string, request *peerpb.RunRequest) bool {
	return known != "" && known != digest(request)
}

func keyReused() *refusal.Error {
	return refusal.NotRun(http.StatusUnprocessableEntity, "key_reused", "the idempotency key was used for another request")
}

func isClaimed(request *peerpb.RunRequest) bool {
	return request.GetClaim() != "" && !request.GetIdempotent()
}
