package rollout

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	replicateTimeout = 2 * time.Second
	fetchTimeout     = 5 * time.Second
	// maxFetchSlots is the maximum number of samples per fetch call.
	maxFetchSlots = 64
	// maxReplicaCandidates is the maximum number of entry processes that are asked to
	// hold a sample.
	maxReplicaCandidates = 3
)

// Directory lists the other processes.
type Directory interface {
	Processes(role peerpb.Role) []*peerpb.Process
	Self() *peerpb.Process
}

// Peers calls the other entry processes. Exported fields must be set before the first call.
type Peers struct {
	Directory Directory
	// Replicas holds this process's own samples.
	Replicas    *Replicas
	Credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

var _ Replicator = &Peers{}

// Replicate copies a sample to an entry process in another zone, or in this zone if
// no other zone has one. If no other entry process stores a copy, only this process
// holds the sample; if it is lost, its slot runs again.
func (p *Peers) Replicate(ctx context.Context, sample *peerpb.Sample, forget []uint32) []string {
	p.Replicas.Put(sample, forget)
	request := peerpb.KeepSampleRequest_builder{Samples: []*peerpb.Sample{sample}, Forget: forget}.Build()
	for _, process := range p.candidates(sample.GetSlot()) {
		if err := p.replicateTo(ctx, process, request); err != nil {
			klog.Warningf("sample: %s: copying to %s failed: %v", sample.GetRequest(), process.GetName(), err)
			continue
		}
		return []string{process.GetName()}
	}
	return nil
}

func (p *Peers) replicateTo(ctx context.Context, process *peerpb.Process, request *peerpb.KeepSampleRequest) error {
	client, err := p.Client(process.GetAddress())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	_, err = client.Keep(ctx, request)
	return err
}

// Fetch returns the samples of the given slots that a process holds.
func (p *Peers) Fetch(ctx context.Context, process, trainer string, step uint64, slots []uint32) ([]*peerpb.Sample, error) {
	if process == p.Directory.Self().GetName() {
		return p.Replicas.Fetch(trainer, step, slots), nil
	}
	for _, entry := range p.Directory.Processes(peerpb.Role_ROLE_ENTRY) {
		if entry.GetName() == process {
			return p.fetchFrom(ctx, entry, trainer, step, slots)
		}
	}
	return nil, refusal.NotRun(0, "no_process", "%s is gone", process)
}

func (p *Peers) fetchFrom(ctx context.Context, process *peerpb.Process, trainer string, step uint64, slots []uint32) ([]*peerpb.Sample, error) {
	client, err := p.Client(process.GetAddress())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var samples []*peerpb.Sample
	for len(slots) > 0 {
		count := min(len(slots), maxFetchSlots)
		request := peerpb.FetchRequest_builder{Trainer: trainer, Step: step, Slots: slots[:count]}.Build()
		reply, err := client.Fetch(ctx, request)
		if err != nil {
			return samples, err
		}
		samples = append(samples, reply.GetSamples()...)
		slots = slots[count:]
	}
	return samples, nil
}

// Client returns a client of the entry process at an address.
func (p *Peers) Client(address string) (peerpb.StepClient, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connection := p.connections[address]
	if connection == nil {
		dialed, err := listen.Dial(address, p.Credentials)
		if err != nil {
			return nil, err
		}
		if p.connections == nil {
			p.connections = map[string]*grpc.ClientConn{}
		}
		p.connections[address] = dialed
		connection = dialed
	}
	return peerpb.NewStepClient(connection), nil
}

// candidates returns the entry processes to copy a slot's sample to, those in other
// zones first. The order within and outside this zone rotates by slot.
func (p *Peers) candidates(slot uint32) []*peerpb.Process {
	self := p.Directory.Self()
	var otherZone, sameZone []*peerpb.Process
	for _, process := range p.Directory.Processes(peerpb.Role_ROLE_ENTRY) {
		switch {
		case process.GetName() == self.GetName() || process.GetState() != peerpb.State_STATE_LIVE:
		case process.GetZone() != self.GetZone():
			otherZone = append(otherZone, process)
		default:
			sameZone = append(sameZone, process)
		}
	}
	found := append(rotate(otherZone, slot), rotate(sameZone, slot)...)
	return found[:min(len(found), maxReplicaCandidates)]
}

func rotate(processes []*peerpb.Process, by uint32) []*peerpb.Process {
	if len(processes) == 0 {
		return nil
	}
	start := int(by) % len(processes)
	return append(append([]*peerpb.Process{}, processes[start:]...), processes[:start]...)
}
