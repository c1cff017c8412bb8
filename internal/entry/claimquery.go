package entry

import (
	"context"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// claimHolder is a request at another sidecar that holds a claim.
type claimHolder struct {
	server string
	id     string
	digest string
}

// claimQuery asks sidecars to record one request's claim.
type claimQuery struct {
	claims  *Claims
	request *peerpb.RunRequest
	epoch   uint64
	// holder is set if a sidecar reports that another request holds the claim.
	holder *claimHolder
}

// ask asks a server's sidecar, which may be this one, to record the claim.
func (q *claimQuery) ask(ctx context.Context, server string) claim.Answer {
	c := q.claims
	if server == c.Server {
		return keptAnswer(c.isComplete(time.Now()))
	}
	reply, err := c.Peers.Claim(ctx, server, peerpb.ClaimRequest_builder{
		Claim:  q.request.GetClaim(),
		Server: c.Server,
		Pool:   c.Pool,
		Epoch:  q.epoch,
		Id:     q.request.GetId(),
		Digest: digest(q.request),
	}.Build())
	switch {
	case err != nil || reply.HasRefusal():
		return claim.NoAnswer
	case !reply.GetRecorded() && !c.isOwnVoid(q.request.GetClaim(), reply):
		q.holder = &claimHolder{server: reply.GetServer(), id: reply.GetId(), digest: reply.GetDigest()}
		return claim.AlreadyKnown
	default:
		return keptAnswer(c.isCompleteSince(reply.GetSince()))
	}
}
