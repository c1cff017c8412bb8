package gateway

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// loadsKept is how many loads are kept for owners that have not heard of them
// yet: those of some seconds, after which registrations tell.
const loadsKept = 64

// Weights tells the owners of batches which samplers have loaded which version,
// and asks them what waits. Exported fields are set before the first call. It is
// safe for concurrent use.
//
// Registrations tell of loads too, up to 0.8 s later: they come through a watch
// that is paused between two looks, and to most gateways through another one.
type Weights struct {
	Hosts *Hosts
	// Own is this gateway's server.
	Own *Server

	mutex sync.Mutex
	// loads are the last ones, first is the number of the oldest of them.
	loads []*peerpb.Loaded
	first int
	// told is the number of the next load to tell each owner.
	told map[string]int
}

// Loaded notes that a load has ended.
func (w *Weights) Loaded(load *peerpb.Loaded) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.loads = append(w.loads, load)
	if excess := len(w.loads) - loadsKept; excess > 0 {
		w.loads = w.loads[excess:]
		w.first += excess
	}
}

// Exchange tells owners of the loads that they have not heard of, and returns how
// many generations wait by model, of the models whose owners have answered.
func (w *Weights) Exchange(ctx context.Context, owners []string) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var mutex sync.Mutex
	waiting := map[string]int{}
	var group sync.WaitGroup
	for _, owner := range owners {
		group.Go(func() {
			reply := w.tell(ctx, owner)
			mutex.Lock()
			defer mutex.Unlock()
			for _, model := range reply.GetModels() {
				waiting[model.GetModel()] += int(model.GetWaiting())
			}
		})
	}
	group.Wait()
	return waiting
}

// tell tells one owner; nil says that it did not answer.
func (w *Weights) tell(ctx context.Context, owner string) *peerpb.WeightsReply {
	loads, next := w.untold(owner)
	request := peerpb.WeightsRequest_builder{Loads: loads}.Build()
	if owner == w.Hosts.Name {
		// The own answer can't fail.
		reply, _ := w.Own.Weights(ctx, request)
		w.heard(owner, next)
		return reply
	}
	client := w.Hosts.Client(owner)
	if client == nil {
		return nil
	}
	reply, err := client.Weights(ctx, request)
	if err != nil {
		klog.V(1).InfoS("weight: an owner does not answer, it is told again", "host", owner, "err", err.Error())
		return nil
	}
	w.heard(owner, next)
	return reply
}

// untold returns the loads that an owner has not heard of, and the number of the
// next one. An owner that is met first is told all that are kept.
func (w *Weights) untold(owner string) ([]*peerpb.Loaded, int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	from := max(w.told[owner]-w.first, 0)
	return w.loads[from:len(w.loads):len(w.loads)], w.first + len(w.loads)
}

// heard notes that an owner has heard of all loads before a number.
func (w *Weights) heard(owner string, next int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.told == nil {
		w.told = map[string]int{}
	}
	w.told[owner] = max(w.told[owner], next)
}
