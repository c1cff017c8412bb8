package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// keepTime bounds the wait for a keeper: many syncs of its disk.
	keepTime = 300 * time.Millisecond
	// fetchTime bounds the wait for what keepers have: some tenths of a second until
	// one that was started with this process has read its disk, and as much until
	// the texts of several batches have come, megabytes at 60 Mbit/s. Made anew, the
	// longest text takes 6 s.
	fetchTime = 800 * time.Millisecond
	// keeperLook is the wait between two looks whether a keeper is known.
	keeperLook = 50 * time.Millisecond
	// restTime is the wait for other keepers once one has given texts: it has all
	// that was kept of a batch since its owner last changed its keeper.
	restTime = 100 * time.Millisecond
)

// namedKeeper is a client of a keeper.
type namedKeeper struct {
	peerpb.KeeperClient

	name string
}

// Keepers keeps texts that aren't whole on hosts with disks. Exported fields are
// set before the first call.
type Keepers struct {
	Hosts *Hosts
	Zone  string
	// Retired reports whether a keeper is to be emptied: it gets no more texts.
	Retired func(keeper string) bool

	mutex sync.Mutex
	// used is the keeper that has the texts of a batch.
	used map[string]string
}

var _ batch.Keeper = &Keepers{}

// errNoKeeper says that no keeper is known.
var errNoKeeper = eris.New("gateway: no keeper is known")

// errChanged says that a batch's texts go to another keeper from now on.
var errChanged = eris.New("gateway: another keeper is used from now on")

// Append keeps events with one keeper, which has all of a batch's texts. After
// a change of the keeper, everything is to be appended anew.
func (k *Keepers) Append(ctx context.Context, batch string, parts []*statepb.Part) error {
	clients := slices.DeleteFunc(k.Hosts.keeperClients(k.Zone), func(one namedKeeper) bool { return k.Retired(one.name) })
	if len(clients) == 0 {
		return errNoKeeper
	}
	chosen := clients[0]
	k.mutex.Lock()
	if k.used == nil {
		k.used = map[string]string{}
	}
	used := k.used[batch]
	k.used[batch] = chosen.name
	k.mutex.Unlock()
	if used != "" && used != chosen.name {
		return errChanged
	}
	ctx, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	_, err := chosen.Append(ctx, peerpb.AppendRequest_builder{Batch: batch, Parts: parts}.Build())
	return eris.Wrap(err, "append at "+chosen.name)
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
	clients := k.Hosts.keeperClients(k.Zone)
	for len(clients) == 0 && pause.For(ctx, keeperLook) {
		clients = k.Hosts.keeperClients(k.Zone)
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

// Drop forgets a batch at its keeper.
func (k *Keepers) Drop(ctx context.Context, batch string) {
	k.mutex.Lock()
	used := k.used[batch]
	delete(k.used, batch)
	k.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	for _, client := range k.Hosts.keeperClients(k.Zone) {
		if client.name != used {
			continue
		}
		if _, err := client.Drop(ctx, peerpb.DropRequest_builder{Batches: []string{batch}}.Build()); err != nil {
			klog.V(1).InfoS("batch: not dropped by its keeper", "batch", batch, "keeper", used, "err", err.Error())
		}
	}
}
