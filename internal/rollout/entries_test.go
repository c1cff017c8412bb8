package rollout

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// fakeDirectory holds the processes that all entry processes see, and the holder of the duty.
type fakeDirectory struct {
	mutex     sync.Mutex
	processes map[string]*peerpb.Process
	holder    string
}

// entry is one entry process of a deployment, run in the test's process and connected
// to the others by gRPC.
type entry struct {
	name      string
	directory *fakeDirectory
	service   *Service
	client    *Client
	peers     *Peers
	runner    *fakeRunner
	kill      context.CancelFunc
}

// directoryView is the directory as one entry process sees it.
type directoryView struct {
	*fakeDirectory
	name string
}

var _ Directory = directoryView{}

func (v directoryView) Processes(peerpb.Role) []*peerpb.Process {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var found []*peerpb.Process
	for _, name := range []string{"a", "b", "c"} {
		if process := v.processes[name]; process != nil {
			found = append(found, process)
		}
	}
	return found
}

func (v directoryView) Self() *peerpb.Process {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.processes[v.name]
}

func (d *fakeDirectory) locate(string) (*Location, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	process := d.processes[d.holder]
	if process == nil {
		return nil, false
	}
	return NewLocation(d.holder, process.GetAddress()), true
}

func (d *fakeDirectory) elect(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.holder = name
}

func newEntry(t *testing.T, directory *fakeDirectory, name, zone string, store Store) *entry {
	t.Helper()
	created := &entry{name: name, directory: directory, runner: &fakeRunner{version: 1}}
	replicas := &Replicas{}
	created.peers = &Peers{Directory: directoryView{fakeDirectory: directory, name: name}, Replicas: replicas}
	created.client = &Client{Locate: directory.locate, Peers: created.peers, HolderTimeout: 10 * time.Second}
	created.service = &Service{
		NewHolder: func(string) *Holder {
			return newTestHolder(name, store, created.runner, created.peers)
		},
		Replicas: replicas,
		Locate:   directory.locate,
		Process:  name,
		IsListed: func(string) bool { return true },
	}
	created.start(t, zone)
	return created
}

func (e *entry) start(t *testing.T, zone string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	listening := make(chan string, 1)
	server := &listen.GRPC{
		Address:     "127.0.0.1:0",
		Register:    func(registrar grpc.ServiceRegistrar) { peerpb.RegisterStepServer(registrar, e.service) },
		OnListening: func(address string) { listening <- address },
	}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Run(ctx, 0) })
	group.Go(func() { _ = e.service.Run(ctx) })
	e.directory.mutex.Lock()
	e.directory.processes[e.name] = peerpb.Process_builder{
		Name: e.name, Zone: zone, Address: <-listening, State: peerpb.State_STATE_LIVE, Role: peerpb.Role_ROLE_ENTRY,
	}.Build()
	e.directory.mutex.Unlock()
	e.kill = func() {
		cancel()
		group.Wait()
		e.directory.mutex.Lock()
		delete(e.directory.processes, e.name)
		e.directory.mutex.Unlock()
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

// lead makes an entry process the holder.
func (e *entry) lead(t *testing.T, fence uint64) {
	t.Helper()
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() { _ = e.service.Lead(ctx, "drafts", fence) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	e.directory.elect(e.name)
}

func newEntries(t *testing.T, store Store) []*entry {
	t.Helper()
	directory := &fakeDirectory{processes: map[string]*peerpb.Process{}}
	var entries []*entry
	for name, zone := range map[string]string{"a": "1", "b": "2", "c": "1"} {
		entries = append(entries, newEntry(t, directory, name, zone, store))
	}
	return entries
}

func byName(entries []*entry, name string) *entry {
	for _, candidate := range entries {
		if candidate.name == name {
			return candidate
		}
	}
	return nil
}

// A trainer sends the same pull through several entry processes at once. All must
// return the same samples.
func TestPullThroughSeveralEntries(t *testing.T) {
	entries := newEntries(t, newFakeStore())
	byName(entries, "a").lead(t, 1)
	_, err := byName(entries, "b").client.Open(t.Context(), openRequest(1, 2, 8, 1))
	must.NoError(t, err)
	await(t, func() bool {
		reply, err := byName(entries, "c").client.Pull(t.Context(), pullRequest(0, 16, time.Second))
		return err == nil && reply.GetDone()
	})
	replies := make([]*peerpb.PullReply, len(entries))
	var group sync.WaitGroup
	for i, target := range entries {
		group.Go(func() { replies[i], _ = target.client.Pull(t.Context(), pullRequest(0, 16, time.Second)) })
	}
	group.Wait()
	mustDeliverOnce(t, replies[0].GetSamples(), 16, 0)
	mustEqualSamples(t, replies[0].GetSamples(), replies[1].GetSamples())
	mustEqualSamples(t, replies[0].GetSamples(), replies[2].GetSamples())
}

// The entry process that holds the step dies while a trainer pulls through another
// one. The pull must wait for the successor and return the same samples, which an
// entry process in another zone holds.
func TestHolderEntryDies(t *testing.T) {
	entries := newEntries(t, newFakeStore())
	holder, other, successor := byName(entries, "a"), byName(entries, "b"), byName(entries, "c")
	holder.lead(t, 1)
	_, err := other.client.Open(t.Context(), openRequest(1, 2, 4, 1))
	must.NoError(t, err)
	await(t, func() bool {
		reply, err := other.client.Pull(t.Context(), pullRequest(0, 16, time.Second))
		return err == nil && reply.GetDone()
	})
	before, err := other.client.Pull(t.Context(), pullRequest(0, 16, time.Second))
	must.NoError(t, err)
	must.Len(t, 8, other.service.Replicas.Fetch("drafts", 1, []uint32{0, 1, 2, 3, 4, 5, 6, 7}))
	holder.kill()
	pulled := make(chan *peerpb.PullReply, 1)
	go func() {
		reply, _ := other.client.Pull(t.Context(), pullRequest(0, 16, time.Second))
		pulled <- reply
	}()
	successor.lead(t, 2)
	mustEqualSamples(t, before.GetSamples(), (<-pulled).GetSamples())
	must.Eq(t, 0, successor.runner.runs)
}
