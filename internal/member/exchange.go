package member

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const exchangeTimeout = time.Second

// Exchanger exchanges with other processes what each knows.
// Exported fields are set before Run.
type Exchanger struct {
	peerpb.UnimplementedMemberServer

	Members     *Members
	Seeds       []string
	Interval    time.Duration
	Credentials credentials.TransportCredentials
	// Hosts returns the platform's lagging host list; nil uses the seeds alone.
	Hosts func(ctx context.Context) ([]platform.Host, error)
	// Decisions are shown to operators who ask; nil shows none.
	Decisions *decision.Log

	connections map[string]*grpc.ClientConn
	hosts       []string
}

var _ peerpb.MemberServer = &Exchanger{}

// Exchange answers another process's exchange.
func (e *Exchanger) Exchange(_ context.Context, gossip *peerpb.Gossip) (*peerpb.Gossip, error) {
	e.Members.merge(gossip)
	return e.Members.gossip(gossip.GetDigest()), nil
}

// Run exchanges with one process each interval until the context ends.
func (e *Exchanger) Run(ctx context.Context) error {
	e.connections = map[string]*grpc.ClientConn{}
	ticker := time.NewTicker(e.Interval)
	defer ticker.Stop()
	for {
		e.refreshHosts(ctx)
		if address := e.pick(); address != "" {
			e.exchangeWith(ctx, address)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *Exchanger) refreshHosts(ctx context.Context) {
	if e.Hosts == nil {
		return
	}
	hosts, err := e.Hosts(ctx)
	if err != nil {
		return
	}
	e.hosts = e.hosts[:0]
	for _, host := range hosts {
		e.hosts = append(e.hosts, host.Address)
	}
}

func (e *Exchanger) pick() string {
	self := e.Members.Self().GetAddress()
	var addresses []string
	for _, role := range []peerpb.Role{peerpb.Role_ROLE_ENTRY, peerpb.Role_ROLE_SIDECAR} {
		for _, process := range e.Members.Processes(role) {
			addresses = append(addresses, process.GetAddress())
		}
	}
	addresses = append(addresses, e.Seeds...)
	addresses = append(addresses, e.hosts...)
	others := addresses[:0]
	for _, address := range addresses {
		if address != self {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

func (e *Exchanger) exchangeWith(ctx context.Context, address string) {
	connection := e.connections[address]
	if connection == nil {
		dialed, err := listen.Dial(address, e.Credentials)
		if err != nil {
			klog.Warningf("member: %v", err)
			return
		}
		connection = dialed
		e.connections[address] = connection
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := peerpb.NewMemberClient(connection).Exchange(ctx, e.Members.gossip(nil))
	if err != nil {
		klog.V(1).Infof("member: no answer from %s: %v", address, err)
		return
	}
	e.Members.merge(answer)
}

func (m *Members) gossip(digest []*peerpb.Fact) *peerpb.Gossip {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := map[string]uint64{}
	for _, fact := range digest {
		known[fact.GetName()] = fact.GetRevision()
	}
	gossip := &peerpb.Gossip{}
	gossip.SetSender(m.self)
	gossip.SetDemands(m.demands.newest(time.Now(), sentDemands))
	for _, process := range m.processes {
		gossip.SetProcesses(append(gossip.GetProcesses(), process))
	}
	for name, fact := range m.facts {
		gossip.SetDigest(append(gossip.GetDigest(), peerpb.Fact_builder{Name: name, Revision: fact.GetRevision()}.Build()))
		if known[name] < fact.GetRevision() {
			gossip.SetFacts(append(gossip.GetFacts(), fact))
		}
	}
	for _, withdrawal := range m.withdrawals {
		gossip.SetWithdrawals(append(gossip.GetWithdrawals(), withdrawal))
	}
	for _, load := range m.loads {
		gossip.SetLoads(append(gossip.GetLoads(), load))
	}
	return gossip
}

func (m *Members) merge(gossip *peerpb.Gossip) {
	m.mutex.Lock()
	for _, process := range append(gossip.GetProcesses(), gossip.GetSender()) {
		m.mergeProcess(process)
	}
	m.mutex.Unlock()
	for _, fact := range gossip.GetFacts() {
		m.Offer(fact)
	}
	for _, withdrawal := range gossip.GetWithdrawals() {
		m.Withdraw(withdrawal)
	}
	for _, load := range gossip.GetLoads() {
		m.OfferLoad(load)
	}
	m.OfferDemands(gossip.GetDemands(), time.Now())
}

func (m *Members) mergeProcess(process *peerpb.Process) {
	m.ancestry.note(m.self, process)
	known := m.processes[process.GetName()]
	if known != nil && !isNewer(process, known) {
		return
	}
	m.processes[process.GetName()] = process
	klog.Infof("member: %s at %s is %s", process.GetName(), process.GetAddress(), process.GetState())
}

// SetAddress sets the peer address in this process's own record.
func (m *Members) SetAddress(address string) {
	m.change(func(self *peerpb.Process) { self.SetAddress(address) })
}

// SetState sets the state in this process's own record.
func (m *Members) SetState(state peerpb.State) {
	m.change(func(self *peerpb.Process) { self.SetState(state) })
}

func (m *Members) change(change func(*peerpb.Process)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next, ok := proto.Clone(m.self).(*peerpb.Process)
	if !ok {
		return
	}
	change(next)
	next.SetVersion(next.GetVersion() + 1)
	m.self = next
	m.processes[next.GetName()] = next
}

func isNewer(process, known *peerpb.Process) bool {
	if process.GetIncarnation() != known.GetIncarnation() {
		return process.GetIncarnation() > known.GetIncarnation()
	}
	return process.GetVersion() > known.GetVersion()
}
