package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// learnInterval is the time between two tries to learn what was kept before.
const learnInterval = time.Second

// Restore brings back the claims that the process before this one kept, from the
// sidecars that kept them too. It returns once nothing is left to learn.
func (c *Claims) Restore(ctx context.Context) error {
	ticker := time.NewTicker(learnInterval)
	defer ticker.Stop()
	for !c.isFirm(time.Now()) {
		if err := c.learn(ctx, time.Now()); err != nil {
			klog.V(1).Infof("backend: claims of %s are not all known: %v", c.Server, err)
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

// learn asks each partner once. It waits until the fleet that this process
// knows is as new as the one by which claims were kept before.
func (c *Claims) learn(ctx context.Context, now time.Time) error {
	if now.Sub(c.Started) < claim.MaxFleetLag {
		return eris.New("the fleet may be an old one")
	}
	partners, isWhole := claim.Partners(c.Server, c.Members.Fleet(c.Pool), now, c.Retention)
	if !isWhole {
		return eris.New("a server that kept claims too is gone")
	}
	for _, partner := range partners {
		if err := c.learnFrom(ctx, partner); err != nil {
			return err
		}
	}
	c.learned.Store(true)
	klog.Infof("backend: claims of %s are known again from %d sidecars", c.Server, len(partners))
	return nil
}

func (c *Claims) learnFrom(ctx context.Context, partner string) error {
	reply, err := c.Peers.Recall(ctx, partner, peerpb.RecallRequest_builder{Pool: c.Pool, Server: c.Server}.Build())
	if err != nil {
		return err
	}
	if reply.HasRefusal() || !reply.GetWhole() {
		return eris.Errorf("%s doesn't know all of its claims", partner)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, kept := range reply.GetClaims() {
		if _, _, err := c.keep(kept.GetClaim(), claim.NewRecord(kept.GetId(), kept.GetServer(), kept.GetDigest())); err != nil {
			return err
		}
	}
	return nil
}

// all returns the claims that are kept here.
func (c *Claims) all(now time.Time) *peerpb.RecallReply {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reply := peerpb.RecallReply_builder{Whole: c.isFirm(now)}.Build()
	for key, record := range c.journal.All(now) {
		kept := peerpb.KeptClaim_builder{Claim: key, Id: record.ID(), Server: record.Server(), Digest: record.Digest()}.Build()
		reply.SetClaims(append(reply.GetClaims(), kept))
	}
	return reply
}
