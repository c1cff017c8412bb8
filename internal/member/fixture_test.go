package member_test

import (
	"cmp"
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const waitTimeout = 20 * time.Second

// node is a process's membership with real connections on loopback.
type node struct {
	*member.Members
	exchanger *member.Exchanger
	address   string
	// stop makes the process leave in an orderly way; kill ends it without a message.
	stop func()
	kill func()
}

func entryRecord(name string, incarnation uint64) *peerpb.Process {
	return peerpb.Process_builder{
		Name:        name,
		Incarnation: incarnation,
		Role:        peerpb.Role_ROLE_ENTRY,
		State:       peerpb.State_STATE_LIVE,
		Region:      "r",
		Zone:        "a",
	}.Build()
}

func startNode(t testing.TB, name string, incarnation uint64, seeds ...string) *node {
	t.Helper()
	return startNodeWith(t, name, incarnation, &member.Exchanger{Seeds: seeds})
}

func startNodeWith(t testing.TB, name string, incarnation uint64, exchanger *member.Exchanger) *node {
	t.Helper()
	members := member.NewMembers(entryRecord(name, incarnation))
	exchanger.Members = members
	exchanger.Interval = 20 * time.Millisecond
	exchanger.SuspectTimeout = cmp.Or(exchanger.SuspectTimeout, 200*time.Millisecond)
	n := &node{Members: members, exchanger: exchanger}
	serving, stopServing := context.WithCancel(context.Background())
	running, stopRunning := context.WithCancel(context.Background())
	listening := make(chan string, 1)
	server := &listen.GRPC{
		Address:     "127.0.0.1:0",
		Register:    func(registrar grpc.ServiceRegistrar) { peerpb.RegisterMemberServer(registrar, exchanger) },
		OnListening: func(address string) { listening <- address },
	}
	served, ran := make(chan error, 1), make(chan error, 1)
	go func() { served <- server.Run(serving, 0) }()
	n.address = <-listening
	members.SetAddress(n.address)
	go func() { ran <- exchanger.Run(running) }()
	n.stop = func() {
		stopRunning()
		<-ran
		stopServing()
		<-served
		ran, served = closedChannel(), closedChannel()
	}
	n.kill = func() {
		stopServing()
		<-served
		stopRunning()
		<-ran
		ran, served = closedChannel(), closedChannel()
	}
	t.Cleanup(func() { n.kill() })
	return n
}

func closedChannel() chan error {
	done := make(chan error)
	close(done)
	return done
}

func startNodes(t *testing.T, names ...string) []*node {
	t.Helper()
	var nodes []*node
	for _, name := range names {
		var seeds []string
		if len(nodes) > 0 {
			seeds = append(seeds, nodes[0].address)
		}
		nodes = append(nodes, startNode(t, name, 1, seeds...))
	}
	for _, n := range nodes {
		waitUntil(t, func() bool { return len(n.Processes(peerpb.Role_ROLE_ENTRY)) == len(names) })
	}
	return nodes
}

func waitUntil(t *testing.T, state func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(state), wait.Timeout(waitTimeout), wait.Gap(5*time.Millisecond)))
}

func waitForState(t *testing.T, n *node, name string, state peerpb.State) {
	t.Helper()
	waitUntil(t, func() bool {
		found := findEntry(n.Members, name)
		if state == peerpb.State_STATE_FAILED || state == peerpb.State_STATE_LEFT {
			return found == nil
		}
		return found.GetState() == state
	})
}

func findEntry(members *member.Members, name string) *peerpb.Process {
	for _, process := range members.Processes(peerpb.Role_ROLE_ENTRY) {
		if process.GetName() == name {
			return process
		}
	}
	return nil
}

func newFact(revision uint64) *peerpb.Fact {
	return peerpb.Fact_builder{Name: member.FactConfig, Revision: revision, Value: []byte{byte(revision)}}.Build()
}

func hostList(hosts ...platform.Host) func(context.Context) ([]platform.Host, error) {
	return func(context.Context) ([]platform.Host, error) { return hosts, nil }
}
