package entry

import (
	"context"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// holder is the request elsewhere that has a claim.
type holder struct {
	server string
	id     string
	digest string
}

// inquiry asks sidecars to keep one request's claim.
type inquiry struct {
	claims  *Claims
	request *peerpb.RunRequest
	epoch   uint64
	// holder is set once a sidecar knows the claim.
	holder *holder
}

// ask asks a server's sidecar, which may be this one, to keep the claim.
func (i *inquiry) ask(ctx context.Context, server string) claim.Answer {
	c := i.claims
	if server == c.Server {
		return firmness(c.isFirm(time.Now()))
	}
	reply, err := c.Peers.Claim(ctx, server, peerpb.ClaimRequest_builder{
		Claim:  i.request.GetClaim(),
		Server: c.Server,
		Pool:   c.Pool,
		Epoch:  i.epoch,
		Id:     i.request.GetId(),
		Digest: digest(i.request),
	}.Build())
	switch {
	case err != nil || reply.HasRefusal():
		return claim.NoAnswer
	case !reply.GetRecorded() && !c.isOwnVoid(i.request.GetClaim(), reply):
		i.holder = &holder{server: reply.GetServer(), id: reply.GetId(), digest: reply.GetDigest()}
		return claim.AlreadyKnown
	default:
		return firmness(c.hasAllMemory(reply.GetSince()))
	}
}
