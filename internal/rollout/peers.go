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
	keepTimeout  = 2 * time.Second
	fetchTimeout = 5 * time.Second
	// fetchSlots is the number of samples asked for in one call.
	fetchSlots = 64
	// keepTries is the number of entries that are asked to hold a sample.
	keepTries = 3
)

// Directory knows the other processes.
type Directory interface {
	Processes(role peerpb.Role) []*peerpb.Process
	Self() *peerpb.Process
}

// Peers speaks to the other entries. Exported fields are set before the first call.
type Peers struct {
	Directory Directory
	// Replicas holds this process's own samples.
	Replicas    *Replicas
	Credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

var _ Replicator = &Peers{}

// Replicate gives a sample to an entry in another zone, or to one in this zone if no
// other zone has one. Without any, the sample has one holder: losing it costs
// another run of its slot.
func (p *Peers) Replicate(ctx context.Context, sample *peerpb.Sample, forget []uint32) []string {
	p.Replicas.Put(sample, forget)
	request := peerpb.KeepSampleRequest_builder{Samples: []*peerpb.Sample{sample}, Forget: forget}.Build()
	for _, process := range p.candidates(sample.GetSlot()) {
		if err := p.keep(ctx, process, request); err != nil {
			klog.Warningf("sample: %s: %s doesn't hold it: %v", sample.GetRequest(), process.GetName(), err)
			continue
		}
		return []string{process.GetName()}
	}
	return nil
}

func (p *Peers) keep(ctx context.Context, process *peerpb.Process, request *peerpb.KeepSampleRequest) error {
	client, err := p.Client(process.GetAddress())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_, err = client.Keep(ctx, request)
	return err
}

// Fetch returns what a process holds of the given slots.
func (p *Peers) Fetch(ctx context.Context, process, trainer string, step uint64, slots []uint32) ([]*peerpb.Sample, error) {
	if process == p.Directory.Self().GetName() {
		return p.Replicas.Fetch(trainer, step, slots), nil
	}
	for _, entry := range p.Directory.Processes(peerpb.Role_ROLE_ENTRY) {
		if entry.GetName() == process {
			return p.fetch(ctx, entry, trainer, step, slots)
		}
	}
	return nil, refusal.NotRun(0, "no_process", "%s is gone", process)
}

func (p *Peers) fetch(ctx context.Context, process *peerpb.Process, trainer string, step uint64, slots []uint32) ([]*peerpb.Sample, error) {
	client, err := p.Client(process.GetAddress())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var samples []*peerpb.Sample
	for len(slots) > 0 {
		count := min(len(slots), fetchSlots)
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

// Client returns a client of the entry at an address.
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

// candidates returns the entries to ask, those in other zones first, another
// one first for each slot.
func (p *Peers) candidates(slot uint32) []*peerpb.Process {
	self := p.Directory.Self()
	var far, near []*peerpb.Process
	for _, process := range p.Directory.Processes(peerpb.Role_ROLE_ENTRY) {
		switch {
		case process.GetName() == self.GetName() || process.GetState() != peerpb.State_STATE_LIVE:
		case process.GetZone() != self.GetZone():
			far = append(far, process)
		default:
			near = append(near, process)
		}
	}
	found := append(rotate(far, slot), rotate(near, slot)...)
	return found[:min(len(found), keepTries)]
}

func rotate(processes []*peerpb.Process, by uint32) []*peerpb.Process {
	if len(processes) == 0 {
		return nil
	}
	start := int(by) % len(processes)
	return append(append([]*peerpb.Process{}, processes[start:]...), processes[:start]...)
}
