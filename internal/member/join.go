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
	// minJoinBackoff is the initial retry delay while no other process is known.
	minJoinBackoff = 200 * time.Millisecond
	// hostListInterval is the delay between two reads of the host list, and the maximum
	// backoff while no other process is known.
	hostListInterval = 10 * time.Second
	// hostListReaders is the number of entries per zone that read the host list
	// regularly. It is fixed so that the number of reads doesn't grow with the number
	// of processes.
	hostListReaders = 1
	// maxJoinRounds bounds the exchanges in which a new process fetches its table.
	maxJoinRounds = 64
	// maxContacts bounds the addresses contacted in one round.
	maxContacts = 3
)

// join contacts the seeds and the platform's listed hosts, at start and with
// backoff while no other process is known. Afterwards one entry per zone keeps
// looking for unknown hosts. The host list may be outdated, so it only supplies
// addresses and never determines a process's state.
func (e *Exchanger) join(ctx context.Context) {
	delay := minJoinBackoff
	for {
		if e.isAlone() || e.Members.IsResponsible("hosts", hostListReaders) {
			e.contactUnknown(ctx)
		}
		if e.isAlone() {
			delay = min(2*delay, hostListInterval)
		} else {
			delay = hostListInterval
		}
		if !pause.For(ctx, delay/2+rand.N(delay)) {
			return
		}
	}
}

func (e *Exchanger) isAlone() bool {
	return len(e.neighbours()) == 0
}

// contactUnknown exchanges with a few addresses of unknown processes.
func (e *Exchanger) contactUnknown(ctx context.Context) {
	unknown := e.unknownAddresses(append(e.hostAddresses(ctx), e.Seeds...))
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, address := range unknown[:min(maxContacts, len(unknown))] {
		e.syncTable(ctx, address)
	}
}

// syncTable exchanges until both tables are equal or maxJoinRounds is reached.
func (e *Exchanger) syncTable(ctx context.Context, address string) {
	for range maxJoinRounds {
		if err := e.exchange(ctx, address); err != nil {
			klog.Warningf("member: no answer from %s, a seed or listed host: %v", address, err)
			return
		}
		if !e.Members.TableDiffers() {
			return
		}
	}
}

func (e *Exchanger) hostAddresses(ctx context.Context) []string {
	if e.Hosts == nil {
		return nil
	}
	listed, err := e.Hosts(ctx)
	if err != nil {
		klog.V(1).Infof("member: reading the host list failed: %v", err)
		return nil
	}
	var addresses []string
	for _, host := range listed {
		addresses = append(addresses, host.Address)
	}
	return addresses
}

func (e *Exchanger) unknownAddresses(addresses []string) []string {
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
