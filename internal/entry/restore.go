package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// restoreInterval is the time between attempts to restore claims.
const restoreInterval = time.Second

// Restore fetches the claims of the previous process from the sidecars that also recorded
// them. It returns when ctx is done.
func (c *Claims) Restore(ctx context.Context) error {
	ticker := time.NewTicker(restoreInterval)
	defer ticker.Stop()
	for !c.isComplete(time.Now()) {
		if err := c.restore(ctx, time.Now()); err != nil {
			klog.V(1).Infof("backend: claims of %s are not yet restored: %v", c.Server, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	<-ctx.Done()
	return nil
}

// restore asks each partner, a sidecar that may have recorded the same claims, once. It
// fails until claim.MaxFleetLag after the start: only then is the local fleet at least as
// new as the fleet that the previous process used for its claims.
func (c *Claims) restore(ctx context.Context, now time.Time) error {
	if now.Sub(c.Started) < claim.MaxFleetLag {
		return eris.New("the local fleet may still be out of date")
	}
	partners, isComplete := claim.Partners(c.Server, c.Members.Fleet(c.Pool), now, c.retryPeriod())
	if !isComplete {
		return eris.New("a server that recorded the same claims has been removed")
	}
	for _, partner := range partners {
		if err := c.restoreFrom(ctx, partner); err != nil {
			return err
		}
	}
	c.restored.Store(true)
	klog.Infof("backend: claims of %s restored from %d sidecars", c.Server, len(partners))
	return nil
}

func (c *Claims) restoreFrom(ctx context.Context, partner string) error {
	reply, err := c.Peers.Recall(ctx, partner, peerpb.RecallRequest_builder{Pool: c.Pool, Server: c.Server}.Build())
	if err != nil {
		return err
	}
	if reply.HasRefusal() || !reply.GetWhole() {
		return eris.Errorf("recall claims from the sidecar of %s: its own claims are incomplete", partner)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, kept := range reply.GetClaims() {
		if _, _, err := c.recordClaim(kept.GetClaim(), claim.NewRecord(kept.GetId(), kept.GetServer(), kept.GetDigest())); err != nil {
			return err
		}
	}
	return nil
}

// newRecallReply returns the claims recorded here.
func (c *Claims) newRecallReply(now time.Time) *peerpb.RecallReply {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reply := peerpb.RecallReply_builder{Whole: c.isComplete(now)}.Build()
	for key, record := range c.journal.All(now) {
		kept := peerpb.KeptClaim_builder{Claim: key, Id: record.ID(), Server: record.Server(), Digest: record.Digest()}.Build()
		reply.SetClaims(append(reply.GetClaims(), kept))
	}
	return reply
}
