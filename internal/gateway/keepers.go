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
	// keepTime bounds the wait for a keeper: many syncs of its disk.
	keepTime = 300 * time.Millisecond
	// fetchTime bounds the wait for what keepers have: some tenths of a second until
	// one that was started with this process has read its disk, and as much until
	// the texts of several batches have come over a narrow link. Made anew, the longest
	// texts take several times as long.
	fetchTime = 800 * time.Millisecond
	// keeperLook is the wait between two looks whether a keeper is known.
	keeperLook = 50 * time.Millisecond
	// keeperAgain is how long a keeper that did not answer is passed over: about the
	// time until the lease of one that is gone has ended.
	keeperAgain = 3 * time.Second
	// restTime is the wait for other keepers once one has given texts: it has all
	// that was kept of a batch since its owner last changed its keeper.
	restTime = 100 * time.Millisecond
)

// namedKeeper is a client of a keeper.
type namedKeeper struct {
	peerpb.KeeperClient

	name string
	zone string
}

// Keepers keeps texts that aren't whole on hosts with disks. Exported fields are
// set before the first call.
type Keepers struct {
	Hosts *Hosts
	Zone  string
	// PreferOtherZones keeps texts in other zones than Zone where there are keepers, so that a zone
	// that is lost doesn't take an owner and its texts.
	PreferOtherZones bool
	// Losses is how many hosts may be lost at once. Texts are kept by one keeper more,
	// so that they outlive all gateways and that many disks.
	Losses int
	// Retired reports whether a keeper is to be emptied: it gets no more texts.
	Retired func(keeper string) bool

	mutex sync.Mutex
	// used are the keepers that have all texts of batches.
	used map[string][]string
	// silent is when a keeper did not answer last.
	silent map[string]clock.Boot
}

var _ batch.Keeper = &Keepers{}

// errNoKeeper says that no keeper is known.
var errNoKeeper = eris.New("gateway: no keeper is known")

// Append keeps events with some keepers, each of which has all of a batch's texts.
// Where another one is to have them too, everything is to be appended anew.
//
// A keeper that did not answer is passed over for a while, since the others are there
// before its lease has ended.
func (k *Keepers) Append(ctx context.Context, id string, parts []*statepb.Part) error {
	chosen := k.choose(id)
	if len(chosen) == 0 {
		return errNoKeeper
	}
	if k.isChanged(id, chosen) {
		return batch.ErrKeeperChanged
	}
	within, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	errs := make([]error, len(chosen))
	var asking sync.WaitGroup
	for i, one := range chosen {
		asking.Go(func() {
			_, err := one.Append(within, peerpb.AppendRequest_builder{Batch: id, Parts: parts}.Build())
			errs[i] = eris.Wrap(err, "append at "+one.name)
		})
	}
	asking.Wait()
	if ctx.Err() != nil {
		// The batch is over, which says nothing of its keepers.
		return ctx.Err()
	}
	return k.appended(id, chosen, errs)
}

// appended notes which keepers have all texts of a batch now. It returns an error if
// none has.
func (k *Keepers) appended(id string, chosen []namedKeeper, errs []error) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var have []string
	for i, one := range chosen {
		if errs[i] == nil {
			have = append(have, one.name)
			continue
		}
		k.silent[one.name] = clock.Now()
	}
	if len(have) == 0 {
		return errors.Join(errs...)
	}
	if len(have) < len(chosen) {
		klog.InfoS("batch: texts not kept by all keepers", "batch", id, "keepers", have, "err", errors.Join(errs...))
	}
	k.used[id] = have
	return nil
}

// clients returns clients of the keepers, those that are to be used first.
func (k *Keepers) clients() []namedKeeper {
	return k.Hosts.keeperClients(func(zone string) bool { return (zone == k.Zone) != k.PreferOtherZones })
}

// isChanged notes the keepers of a batch, and reports whether one of them lacks texts
// that others have.
func (k *Keepers) isChanged(id string, chosen []namedKeeper) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.prepare()
	used := k.used[id]
	names := make([]string, 0, len(chosen))
	for _, one := range chosen {
		names = append(names, one.name)
	}
	k.used[id] = names
	return len(used) > 0 && slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(used, name) })
}

// choose returns the keepers to use for a batch, of those that answer. If none answers,
// the first one is tried.
//
// As long as one of its keepers answers, a batch gets no other: all its texts again for
// each keeper that comes and goes would fill the owner's link.
func (k *Keepers) choose(id string) []namedKeeper {
	clients := slices.DeleteFunc(k.clients(), func(one namedKeeper) bool { return k.Retired(one.name) })
	answering := slices.DeleteFunc(slices.Clone(clients), func(one namedKeeper) bool { return k.isSilent(one.name) })
	if len(answering) == 0 {
		return clients[:min(len(clients), 1)]
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	using := slices.DeleteFunc(slices.Clone(answering), func(one namedKeeper) bool { return !slices.Contains(k.used[id], one.name) })
	if len(using) > 0 {
		return using
	}
	return spread(answering, 1+k.Losses)
}

// spread returns so many keepers, of different zones first and else in their order.
func spread(keepers []namedKeeper, count int) []namedKeeper {
	seen := map[string]bool{}
	var spread, rest []namedKeeper
	for _, one := range keepers {
		if seen[one.zone] {
			rest = append(rest, one)
			continue
		}
		seen[one.zone] = true
		spread = append(spread, one)
	}
	spread = append(spread, rest...)
	return spread[:min(len(spread), count)]
}

func (k *Keepers) isSilent(name string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	at, isKnown := k.silent[name]
	return isKnown && clock.Now().Sub(at) < keeperAgain
}

func (k *Keepers) prepare() {
	if k.used == nil {
		k.used = map[string][]string{}
		k.silent = map[string]clock.Boot{}
	}
}

// Fetch asks all keepers what they have of a batch.
//
// Where all processes were ended at once, gateways are back before keepers have
// read their disks; where the store was away, they may have their leases back
// first. So keepers that refuse connections, or of which none is known, are
// waited for as well.
func (k *Keepers) Fetch(ctx context.Context, batch string) []*statepb.Partial {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	var mutex sync.Mutex
	var found []*statepb.Partial
	var asking sync.WaitGroup
	clients := k.clients()
	for len(clients) == 0 && pause.For(ctx, keeperLook) {
		clients = k.clients()
	}
	for _, client := range clients {
		asking.Go(func() {
			reply, err := client.Texts(ctx, peerpb.TextsRequest_builder{Batch: batch}.Build(), grpc.WaitForReady(true))
			if err != nil {
				klog.InfoS("batch: a keeper did not answer", "batch", batch, "keeper", client.name, "err", err.Error())
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			found = append(found, reply.GetPartials()...)
			if len(found) > 0 {
				time.AfterFunc(restTime, cancel)
			}
		})
	}
	asking.Wait()
	return found
}

// Drop forgets a batch at its keepers.
func (k *Keepers) Drop(ctx context.Context, batch string) {
	k.mutex.Lock()
	used := k.used[batch]
	delete(k.used, batch)
	k.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	for _, client := range k.clients() {
		if !slices.Contains(used, client.name) {
			continue
		}
		if _, err := client.Drop(ctx, peerpb.DropRequest_builder{Batches: []string{batch}}.Build()); err != nil {
			klog.V(1).InfoS("batch: not dropped by its keeper", "batch", batch, "keeper", client.name, "err", err.Error())
		}
	}
}
