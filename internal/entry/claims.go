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

// Peers calls the sidecars of other backend servers.
type Peers interface {
	// Claim asks a server's sidecar to record a claim.
	Claim(ctx context.Context, server string, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	// Join streams a run that exists at a server's sidecar; it never starts one.
	Join(ctx context.Context, server string, request *peerpb.RunRequest) (grpc.ServerStreamingClient[peerpb.Frame], error)
	// Recall returns the claims recorded at a server's sidecar.
	Recall(ctx context.Context, server string, request *peerpb.RecallRequest) (*peerpb.RecallReply, error)
}

// Membership describes the pool's servers and earlier processes of this sidecar.
type Membership interface {
	// Fleet returns the pool's servers, or nil if they are unknown.
	Fleet(pool string) *statepb.Fleet
	// IsFirstProcess reports whether this is the first sidecar process of the backend server.
	IsFirstProcess() bool
	// IsIsolated reports whether neither the store nor a majority of processes answers.
	IsIsolated(now time.Time) bool
	// CountOthers returns the number of other known sidecars of the pool.
	CountOthers(pool string) int
}

// Claims records the claims of idempotency keys, as a home and as a witness (see
// package claim). Exported fields must be set before the first request.
type Claims struct {
	// Server is the ID of the backend server, Pool the pool that it serves.
	Server string
	Pool   string

	Members Membership
	Peers   Peers
	// Retention is how long after a request retries of it may arrive.
	Retention time.Duration
	// Started is when this process began to record claims.
	Started time.Time
	// RunAlone allows a request with a claim to run while the pool has no other server
	// that could witness the claim.
	RunAlone bool

	mutex    sync.Mutex
	journal  claim.Journal
	restored atomic.Bool
}

// retryPeriod returns how long after it was recorded a claim may meet a retry. It is at least the time that a run may
// take: a claim that ended before its run would let a retry run beside it.
func (c *Claims) retryPeriod() time.Duration { return max(c.Retention, maxRunTime) }

// acquire records a request's claim or returns the local run that holds it. It returns
// nil and no refusal if the request itself or another sidecar holds the claim.
func (c *Claims) acquire(request *peerpb.RunRequest, findRun func(id string) *run) (*run, *refusal.Error) {
	if refused := c.checkNewClaim(request); refused != nil {
		return nil, refused
	}
	record, isNew, err := c.recordClaim(request.GetClaim(), claim.NewRecord(request.GetId(), c.Server, digest(request)))
	if err != nil {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "memory_full", "%v", err).WithRetryAfter(retryDelay)
	}
	existing := findRun(record.ID())
	switch {
	case isNew:
		return nil, nil
	case record.Server() == c.Server && existing != nil && existing.isNotRun():
		c.journal.Renew(request.GetClaim(), request.GetId(), digest(request), time.Now())
		return nil, nil
	case isDifferentRequest(record.Digest(), request):
		return nil, refuseReusedKey()
	case record.Server() != c.Server:
		return nil, nil
	case existing == nil:
		return nil, refusal.Unknown(http.StatusBadGateway, "not_known", "the idempotency key was used and its answer is not known any more")
	default:
		return existing, nil
	}
}

// checkNewClaim refuses a new claim whose home is another server, before the request is queued.
func (c *Claims) checkNewClaim(request *peerpb.RunRequest) *refusal.Error {
	fleet := c.Members.Fleet(c.Pool)
	if _, known := c.journal.Find(request.GetClaim()); known || fleet == nil {
		return nil
	}
	return c.checkHome(request, fleet)
}

// confirm asks the sidecars that may know the claim, and its witness, to record it. It is
// called just before the request is forwarded. It returns the holder if another sidecar
// knows the claim; the request must then not run here.
func (c *Claims) confirm(ctx context.Context, request *peerpb.RunRequest) (*claimHolder, *refusal.Error) {
	if remote := c.remoteHolder(request.GetClaim()); remote != nil {
		return remote, nil
	}
	query := &claimQuery{claims: c, request: request}
	refused := c.queryPeers(ctx, query)
	switch {
	case query.holder == nil:
		return nil, refused
	case isDifferentRequest(query.holder.digest, request):
		return nil, refuseReusedKey()
	default:
		return query.holder, nil
	}
}

// remoteHolder returns the other server that holds a claim according to the local
// journal, or nil.
func (c *Claims) remoteHolder(key string) *claimHolder {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record, known := c.journal.Find(key)
	if !known || record.Server() == c.Server {
		return nil
	}
	return &claimHolder{server: record.Server(), id: record.ID()}
}

func (c *Claims) queryPeers(ctx context.Context, query *claimQuery) *refusal.Error {
	now := time.Now()
	if c.Members.IsIsolated(now) {
		return refusal.NotRun(http.StatusServiceUnavailable, "isolated", "the sidecar of %s is cut off and may know an old fleet", c.Server).WithRetryAfter(retryDelay)
	}
	if !c.isComplete(now) && now.Sub(c.Started) < claim.MaxFleetLag {
		return refusal.NotRun(http.StatusServiceUnavailable, "restarted", "the sidecar of %s has just started and learns what ran before", c.Server).WithRetryAfter(retryDelay)
	}
	fleet := c.Members.Fleet(c.Pool)
	if fleet == nil {
		return c.confirmWithoutFleet(now)
	}
	if refused := c.checkHome(query.request, fleet); refused != nil {
		return refused
	}
	query.epoch = fleet.GetEpoch()
	plan := claim.NewPlan(query.request.GetClaim(), fleet, now, c.retryPeriod())
	return c.toRefusal(plan.Check(func(server string) claim.Answer { return query.ask(ctx, server) }))
}

// checkHome refuses a claim whose home in this process's fleet is another server. The
// entry's epoch may differ: the local fleet decides which sidecars to ask, so an entry
// with an older fleet is safe if it found the right home.
func (c *Claims) checkHome(request *peerpb.RunRequest, fleet *statepb.Fleet) *refusal.Error {
	if home := claim.Home(request.GetClaim(), fleet); home != c.Server {
		return refusal.NotRun(http.StatusServiceUnavailable, "wrong_home", "requests with this idempotency key go to %q by epoch %d, sent by epoch %d", home, fleet.GetEpoch(), request.GetEpoch()).WithRetryAfter(retryDelay)
	}
	return nil
}

// confirmWithoutFleet decides whether a request may run while the pool's servers are
// unknown.
func (c *Claims) confirmWithoutFleet(now time.Time) *refusal.Error {
	switch {
	case c.Members.CountOthers(c.Pool) > 0:
		return refusal.NotRun(http.StatusServiceUnavailable, "no_fleet", "the servers of %s are not known yet", c.Pool).WithRetryAfter(retryDelay)
	case !c.isComplete(now):
		return c.toRefusal(claim.Lost)
	default:
		return c.toRefusal(claim.NoOtherServer)
	}
}

func (c *Claims) toRefusal(verdict claim.Verdict) *refusal.Error {
	switch {
	case verdict == claim.Pass, verdict == claim.NoOtherServer && c.RunAlone:
		return nil
	case verdict == claim.Known:
		return refusal.Unknown(http.StatusConflict, "claimed_elsewhere", "the idempotency key was used for a request to another server")
	case verdict == claim.Lost:
		return refusal.Unknown(http.StatusServiceUnavailable, "claim_lost", "the servers that may have run a request with this idempotency key are gone")
	default:
		return refusal.NotRun(http.StatusServiceUnavailable, "no_witness", "no other server can witness the request").WithRetryAfter(retryDelay)
	}
}

// isOwnVoid reports whether a witness names a request of this process as the claim's
// holder, and that request is known not to have run.
func (c *Claims) isOwnVoid(key string, reply *peerpb.ClaimReply) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record, known := c.journal.Find(key)
	return known && reply.GetServer() == c.Server && record.IsVoid(reply.GetId())
}

// witnessClaim records a claim for another server's request. It takes over a claim
// whose local request ended without having run.
func (c *Claims) witnessClaim(request *peerpb.ClaimRequest, findRun func(id string) *run) *peerpb.ClaimReply {
	if request.GetPool() != c.Pool {
		return refuseClaim("wrong_pool", "%s serves %s", c.Server, c.Pool)
	}
	if epoch := c.Members.Fleet(c.Pool).GetEpoch(); request.GetEpoch() < epoch {
		return refuseClaim("wrong_epoch", "sent by epoch %d, now is %d", request.GetEpoch(), epoch)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record, isNew, err := c.recordClaim(request.GetClaim(), claim.NewRecord(request.GetId(), request.GetServer(), request.GetDigest()))
	if err != nil {
		return refuseClaim("memory_full", "%v", err)
	}
	if known := findRun(record.ID()); !isNew && record.Server() == c.Server && known != nil && known.isNotRun() {
		record, isNew = c.journal.Replace(request.GetClaim(), claim.NewRecord(request.GetId(), request.GetServer(), request.GetDigest()), time.Now()), true
	}
	reply := peerpb.ClaimReply_builder{Recorded: isNew, Id: record.ID(), Server: record.Server(), Digest: record.Digest()}.Build()
	if !c.isComplete(time.Now()) {
		reply.SetSince(uint64(c.Started.UnixNano()))
	}
	return reply
}

func (c *Claims) recordClaim(key string, record claim.Record) (claim.Record, bool, error) {
	c.journal.Retention = claim.Window(c.retryPeriod())
	return c.journal.Add(key, record, time.Now())
}

// isComplete reports whether this process knows every claim that its backend server may
// have run within the window. A restarted process lacks its predecessor's claims until it
// has restored them from other sidecars or they have expired.
func (c *Claims) isComplete(now time.Time) bool {
	return c.restored.Load() || now.Sub(c.Started) >= claim.Window(c.retryPeriod()) || c.Members.IsFirstProcess()
}

// isCompleteSince reports whether a witness that has recorded claims since a
// time knows every claim of the window; 0 means since its server began.
func (c *Claims) isCompleteSince(since uint64) bool {
	return since == 0 || time.Since(time.Unix(0, int64(since))) >= claim.Window(c.retryPeriod())
}

func keptAnswer(isComplete bool) claim.Answer {
	if isComplete {
		return claim.Kept
	}
	return claim.KeptAfterRestart
}

func refuseClaim(code, format string, arguments ...any) *peerpb.ClaimReply {
	refused := refusal.NotRun(http.StatusServiceUnavailable, code, format, arguments...)
	return peerpb.ClaimReply_builder{Refusal: refused.ToMessage()}.Build()
}

// digest returns a hash that distinguishes requests with the same idempotency key.
func digest(request *peerpb.RunRequest) string {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(request.GetMethod()), []byte(request.GetPath()), request.GetBody()} {
		partSum := sha256.Sum256(part)
		_, _ = sum.Write(partSum[:])
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// isDifferentRequest reports whether knownDigest is set and differs from the request's
// digest.
func isDifferentRequest(knownDigest string, request *peerpb.RunRequest) bool {
	return knownDigest != "" && knownDigest != digest(request)
}

func refuseReusedKey() *refusal.Error {
	return refusal.NotRun(http.StatusUnprocessableEntity, "key_reused", "the idempotency key was used for another request")
}

func isClaimed(request *peerpb.RunRequest) bool {
	return request.GetClaim() != "" && !request.GetIdempotent()
}
