package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// keeperTimeout bounds a call to a keeper: many times the duration of a disk sync.
	keeperTimeout = 300 * time.Millisecond
	// fetchTimeout bounds a fetch from the keepers. A keeper started together with this
	// process needs some tenths of a second to read its disk, and sending the partial
	// texts of several batches over a narrow link takes as long again. Generating the
	// longest texts again takes several times the timeout.
	fetchTimeout = 800 * time.Millisecond
	// keeperPollInterval is the interval between checks whether a keeper is known.
	keeperPollInterval = 50 * time.Millisecond
	// keeperCooldown is how long a keeper that did not answer is skipped: about the
	// time until the lease of a dead keeper expires.
	keeperCooldown = 3 * time.Second
	// fetchLinger is how long to wait for further keepers after the first has returned
	// texts: each keeper of a batch has all texts since the batch last changed keepers.
	fetchLinger = 100 * time.Millisecond
)

// keeperClient is a client of a keeper, with its name and zone.
type keeperClient struct {
	peerpb.KeeperClient

	name string
	zone string
}

// Keepers replicates partial texts to keepers, which run on hosts with disks. Exported
// fields are set before the first call.
type Keepers struct {
	Hosts *Hosts
	Zone  string
	// PreferOtherZones prefers keepers in other zones than Zone, so that an owner and
	// its texts are not lost with the same zone.
	PreferOtherZones bool
	// Losses is the number of hosts that may be lost at the same time. Texts have
	// Losses+1 replicas, so that they survive the loss of all gateways and of Losses
	// disks.
	Losses int
	// IsEmptying reports whether a keeper is being emptied and must get no more texts.
	IsEmptying func(keeper string) bool

	mutex sync.Mutex
	// holders are the names of the keepers that have all texts of a batch, by batch.
	holders map[string][]string
	// failedAt is the time of the last failed call to a keeper, by name.
	failedAt map[string]clock.Boot
}

var _ batch.Keeper = &Keepers{}

var errNoKeeper = eris.New("gateway: append texts: no keeper is known")

// Append replicates events to the keepers of a batch. Each keeper must hold all texts
// of the batch: if a keeper is added, Append returns ErrKeeperChanged, and the caller must
// append all events again.
//
// Append skips a keeper for keeperCooldown after a failed call, since other keepers can
// store the texts before the lease of the failed keeper expires.
func (k *Keepers) Append(ctx context.Context, id string, parts []*statepb.Part) error {
	chosen := k.choose(id)
	if len(chosen) == 0 {
		return errNoKeeper
	}
	if k.recordChosen(id, chosen) {
		return batch.ErrKeeperChanged
	}
	appendCtx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	errs := make([]error, len(chosen))
	var group sync.WaitGroup
	for i, keeper := range chosen {
		group.Go(func() {
			_, err := keeper.Append(appendCtx, peerpb.AppendRequest_builder{Batch: id, Parts: parts}.Build())
			errs[i] = eris.Wrap(err, "append texts to keeper "+keeper.name)
		})
	}
	group.Wait()
	if ctx.Err() != nil {
		// The batch has ended; the errors do not mean that its keepers have failed.
		return ctx.Err()
	}
	return k.recordAppend(id, chosen, errs)
}

// recordAppend records which keepers have all texts of a batch after an append. It
// returns an error if no keeper has them.
func (k *Keepers) recordAppend(id string, chosen []keeperClient, errs []error) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var succeeded []string
	for i, keeper := range chosen {
		if errs[i] == nil {
			succeeded = append(succeeded, keeper.name)
			continue
		}
		k.failedAt[keeper.name] = clock.Now()
	}
	if len(succeeded) == 0 {
		return errors.Join(errs...)
	}
	if len(succeeded) < len(chosen) {
		klog.InfoS("batch: only some keepers stored the texts", "batch", id, "keepers", succeeded, "err", errors.Join(errs...))
	}
	k.holders[id] = succeeded
	return nil
}

// clients returns clients of the keepers in order of preference.
func (k *Keepers) clients() []keeperClient {
	return k.Hosts.keeperClients(func(zone string) bool { return (zone == k.Zone) != k.PreferOtherZones })
}

// recordChosen records the keepers of a batch. It reports whether a new keeper is among
// them, which lacks texts that the previous keepers have.
func (k *Keepers) recordChosen(id string, chosen []keeperClient) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.initMaps()
	previous := k.holders[id]
	names := make([]string, 0, len(chosen))
	for _, keeper := range chosen {
		names = append(names, keeper.name)
	}
	k.holders[id] = names
	return len(previous) > 0 && slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(previous, name) })
}

// choose returns the keepers of a batch without those that failed recently. If all have
// failed, it returns the most preferred keeper.
//
// While one of its keepers answers, a batch gets no new keeper: sending all its texts
// again whenever a keeper starts or stops would saturate the owner's link.
func (k *Keepers) choose(id string) []keeperClient {
	clients := slices.DeleteFunc(k.clients(), func(keeper keeperClient) bool { return k.IsEmptying(keeper.name) })
	answering := slices.DeleteFunc(slices.Clone(clients), func(keeper keeperClient) bool { return k.hasFailedRecently(keeper.name) })
	if len(answering) == 0 {
		return clients[:min(len(clients), 1)]
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	current := slices.DeleteFunc(slices.Clone(answering), func(keeper keeperClient) bool { return !slices.Contains(k.holders[id], keeper.name) })
	if len(current) > 0 {
		return current
	}
	return spreadByZone(answering, 1+k.Losses)
}

// spreadByZone returns up to count keepers: first one per zone, then the others, both
// in the given order.
func spreadByZone(keepers []keeperClient, count int) []keeperClient {
	seenZones := map[string]bool{}
	var spread, remaining []keeperClient
	for _, keeper := range keepers {
		if seenZones[keeper.zone] {
			remaining = append(remaining, keeper)
			continue
		}
		seenZones[keeper.zone] = true
		spread = append(spread, keeper)
	}
	spread = append(spread, remaining...)
	return spread[:min(len(spread), count)]
}

func (k *Keepers) hasFailedRecently(name string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	at, isKnown := k.failedAt[name]
	return isKnown && clock.Now().Sub(at) < keeperCooldown
}

func (k *Keepers) initMaps() {
	if k.holders == nil {
		k.holders = map[string][]string{}
		k.failedAt = map[string]clock.Boot{}
	}
}

// Fetch returns the partial texts of a batch from all keepers.
//
// After a restart of all processes, gateways are ready before keepers have read their
// disks; after a store outage, gateways may regain their leases before keepers do.
// Fetch therefore also waits for keepers that refuse connections, and while no keeper
// is known.
func (k *Keepers) Fetch(ctx context.Context, id string) []*statepb.Partial {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var mutex sync.Mutex
	var found []*statepb.Partial
	var group sync.WaitGroup
	clients := k.clients()
	for len(clients) == 0 && pause.For(ctx, keeperPollInterval) {
		clients = k.clients()
	}
	for _, client := range clients {
		group.Go(func() {
			reply, err := client.Texts(ctx, peerpb.TextsRequest_builder{Batch: id}.Build(), grpc.WaitForReady(true))
			if err != nil {
				klog.InfoS("batch: fetching texts from a keeper failed", "batch", id, "keeper", client.name, "err", err.Error())
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			found = append(found, reply.GetPartials()...)
			if len(found) > 0 {
				time.AfterFunc(fetchLinger, cancel)
			}
		})
	}
	group.Wait()
	return found
}

// Drop deletes the texts of a batch at its keepers.
func (k *Keepers) Drop(ctx context.Context, id string) {
	k.mutex.Lock()
	holders := k.holders[id]
	delete(k.holders, id)
	k.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	for _, client := range k.clients() {
		if !slices.Contains(holders, client.name) {
			continue
		}
		if _, err := client.Drop(ctx, peerpb.DropRequest_builder{Batches: []string{id}}.Build()); err != nil {
			klog.V(1).InfoS("batch: dropping texts at a keeper failed", "batch", id, "keeper", client.name, "err", err.Error())
		}
	}
}
