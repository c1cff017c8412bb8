package member

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// alonePause is the first pause of a process that knows no other.
	alonePause = 200 * time.Millisecond
	// hostPause is the pause between two readings of the host list, and the
	// longest one of a process that knows no other.
	hostPause = 10 * time.Second
	// hostReaders is the number of entries of a zone that read the host list
	// regularly; the list's calls must not grow with the processes.
	hostReaders = 1
	// joinRounds bounds the exchanges in which a new process fetches its table.
	joinRounds = 64
	// seedsAtOnce bounds the addresses tried in one round.
	seedsAtOnce = 3
)

// join makes contact with the seeds and the hosts of the platform's list: at
// once at the start and, more and more rarely, while no other process is
// known. Afterwards one entry of each zone goes on to look for hosts that
// nobody knows. The list lags and decides nothing: it only gives addresses.
func (e *Exchanger) join(ctx context.Context) {
	gap := alonePause
	for {
		if e.isAlone() || e.Members.IsResponsible("hosts", hostReaders) {
			e.contact(ctx)
		}
		if e.isAlone() {
			gap = min(2*gap, hostPause)
		} else {
			gap = hostPause
		}
		if !pause.For(ctx, gap/2+rand.N(gap)) {
			return
		}
	}
}

func (e *Exchanger) isAlone() bool {
	return len(e.neighbours()) == 0
}

// contact exchanges with a few addresses of processes that are not known.
func (e *Exchanger) contact(ctx context.Context) {
	unknown := e.unknown(append(e.hosts(ctx), e.Seeds...))
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, address := range unknown[:min(seedsAtOnce, len(unknown))] {
		e.fetchTable(ctx, address)
	}
}

// fetchTable exchanges until both tables are equal or the rounds are over.
func (e *Exchanger) fetchTable(ctx context.Context, address string) {
	for range joinRounds {
		if err := e.exchange(ctx, address); err != nil {
			klog.Warningf("member: no answer from %s, which is a seed or in the host list: %v", address, err)
			return
		}
		if !e.Members.TableDiffers() {
			return
		}
	}
}

func (e *Exchanger) hosts(ctx context.Context) []string {
	if e.Hosts == nil {
		return nil
	}
	listed, err := e.Hosts(ctx)
	if err != nil {
		klog.V(1).Infof("member: host list: %v", err)
		return nil
	}
	var addresses []string
	for _, host := range listed {
		addresses = append(addresses, host.Address)
	}
	return addresses
}

func (e *Exchanger) unknown(addresses []string) []string {
	known := map[string]bool{e.Members.Self().GetAddress(): true, "": true}
	for _, role := range []peerpb.Role{peerpb.Role_ROLE_ENTRY, peerpb.Role_ROLE_SIDECAR} {
		for _, process := range e.Members.Processes(role) {
			known[process.GetAddress()] = true
		}
	}
	var found []string
	for _, address := range addresses {
		if !known[address] {
			known[address] = true
			found = append(found, address)
		}
	}
	return found
}
