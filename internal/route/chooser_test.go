package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

func newServers(n, zones int) []*route.Server {
	servers := make([]*route.Server, n)
	for i := range servers {
		servers[i] = route.NewServer(fmt.Sprintf("server-%d", i), "region", fmt.Sprintf("zone-%d", i%zones))
		servers[i].UpdateReport(route.Report{Seq: 1, Running: int64(i % 5), Slots: 16})
	}
	return servers
}

func newChooser() *route.Chooser {
	return &route.Chooser{Region: "region", Zone: "zone-0", Random: rand.New(rand.NewPCG(1, 2))}
}

func load(server *route.Server, running int64) {
	server.UpdateReport(route.Report{Seq: 2, Running: running, Slots: 16})
}

func TestChooseKeepsPrefixTogether(t *testing.T) {
	servers := newServers(9, 4)
	chosen := map[string]int{}
	for range 2 {
		// A second entry chooses the same server as the first without communication.
		chooser := newChooser()
		for i := range 50 {
			chosen[chooser.Choose(servers, route.Request{Prefix: route.Hash([]byte("assistant"))}).Server.Name()]++
			chooser.Choose(servers, route.Request{Prefix: uint64(i + 1)})
		}
	}
	must.LessEq(t, 9, len(chosen))
	rare := map[string]bool{}
	chooser := newChooser()
	for i := range 500 {
		chooser.Choose(servers, route.Request{Prefix: uint64(i + 1)})
	}
	for range 20 {
		rare[chooser.Choose(servers, route.Request{Prefix: route.Hash([]byte("rare"))}).Server.Name()] = true
	}
	must.LessEq(t, 2, len(rare))
}

func TestChooseLeavesLoadedPrefixServers(t *testing.T) {
	// Guards against requests of one prefix queueing at its two servers while other servers are
	// idle.
	servers := newServers(9, 1)
	chooser := newChooser()
	for i := range 500 {
		chooser.Choose(servers, route.Request{Prefix: uint64(i + 1)})
	}
	request := route.Request{Prefix: route.Hash([]byte("rare"))}
	for range 20 {
		if choice := chooser.Choose(servers, request); choice.Reason == route.ReasonPrefix {
			load(choice.Server, 40)
		}
	}
	queued := 0
	for range 20 {
		if chooser.Choose(servers, request).Server.Load() >= 40 {
			queued++
		}
	}
	must.LessEq(t, 5, queued)
}

func TestChooseCountsOwnSends(t *testing.T) {
	// Guards against sending all requests between two reports to the server
	// that the first one shows as idle.
	servers := newServers(2, 1)
	load(servers[0], 0)
	load(servers[1], 3)
	chooser := newChooser()
	for range 200 {
		chooser.Choose(servers, route.Request{}).Server.Begin()
	}
	must.Between(t, 90, servers[0].Inflight(), 120)
}

func TestChooseEligibility(t *testing.T) {
	tests := map[string]struct {
		eligibilities [3]route.Eligibility
		chosen        string
		reason        route.Reason
	}{
		"closed ones get nothing":      {[3]route.Eligibility{route.Closed, route.Open, route.Closed}, "server-1", route.ReasonRandom},
		"suspect ones come last":       {[3]route.Eligibility{route.Suspect, route.Open, route.Suspect}, "server-1", route.ReasonRandom},
		"suspect where none is open":   {[3]route.Eligibility{route.Suspect, route.Closed, route.Closed}, "server-0", route.ReasonSuspect},
		"none":                         {[3]route.Eligibility{route.Closed, route.Closed, route.Closed}, "", route.ReasonNone},
		"this zone first":              {[3]route.Eligibility{route.Open, route.Open, route.Open}, "server-0", route.ReasonZone},
		"another where it has nothing": {[3]route.Eligibility{route.Closed, route.Closed, route.Open}, "server-2", route.ReasonRandom},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := newServers(3, 3)
			for i, server := range servers {
				server.SetEligibility(test.eligibilities[i])
			}
			choice := newChooser().Choose(servers, route.Request{})
			must.Eq(t, test.reason, choice.Reason)
			if test.chosen != "" {
				must.Eq(t, test.chosen, choice.Server.Name())
			}
		})
	}
}

func TestChooseZoneIsLoaded(t *testing.T) {
	servers := newServers(4, 2)
	load(servers[0], 40)
	load(servers[2], 40)
	otherZone := 0
	for i := range 50 {
		if newChooserFor(uint64(i)).Choose(servers, route.Request{}).Reason == route.ReasonOtherZone {
			otherZone++
		}
	}
	must.Positive(t, otherZone)
}

func newChooserFor(seed uint64) *route.Chooser {
	return &route.Chooser{Region: "region", Zone: "zone-0", Random: rand.New(rand.NewPCG(seed, 5))}
}

func TestChooseVersionAndTried(t *testing.T) {
	servers := newServers(3, 1)
	for i, server := range servers {
		server.UpdateReport(route.Report{Seq: 2, Slots: 16, Version: uint64(i + 1)})
	}
	chooser := newChooser()
	for range 20 {
		choice := chooser.Choose(servers, route.Request{Version: 2, Tried: map[string]bool{"server-2": true}})
		must.Eq(t, "server-1", choice.Server.Name())
	}
}

func ExampleChooser() {
	servers := []*route.Server{
		route.NewServer("s1", "uy-sur", "zone-a"),
		route.NewServer("s2", "uy-sur", "zone-b"),
	}
	servers[1].SetEligibility(route.Closed)
	chooser := &route.Chooser{Region: "uy-sur", Zone: "zone-b"}
	choice := chooser.Choose(servers, route.Request{Prefix: route.Hash([]byte("You draft case studies."))})
	fmt.Println(choice.Server.Name())
	// Output: s1
}

func BenchmarkChoose930(b *testing.B) {
	servers := newServers(930, 7)
	chooser := newChooser()
	chooser.Choose(servers, route.Request{Prefix: 1})
	b.ReportAllocs()
	start := time.Now()
	for i := 0; b.Loop(); i++ {
		choice := chooser.Choose(servers, route.Request{Prefix: uint64(i%500 + 1)})
		choice.Server.Begin()
		choice.Server.Finish()
	}
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "decisions/s")
}

func TestChooseSpreadsPopularPrefix(t *testing.T) {
	// A third of all requests share a prefix. If only two of 930 servers ran these requests, they
	// would queue for minutes, and the load reports that show the queue arrive seconds late.
	servers := newServers(930, 7)
	chooser := newChooser()
	chosen := map[string]bool{}
	for i := range 3000 {
		request := route.Request{Prefix: uint64(i + 1)}
		if i%3 == 0 {
			request.Prefix = route.Hash([]byte("popular"))
		}
		choice := chooser.Choose(servers, request)
		if i%3 == 0 {
			chosen[choice.Server.Name()] = true
		}
	}
	must.Greater(t, 300, len(chosen))
}

func TestChooseDistrustsOldReports(t *testing.T) {
	// Guards against herding: many entries see in the same old report that one
	// server is less loaded, and all send there until the next report while the
	// other server is idle.
	now := time.Unix(1_000_000, 0)
	servers := newServers(2, 1)
	servers[0].UpdateReport(route.Report{Seq: 2, Time: now, Running: 2, Slots: 16})
	servers[1].UpdateReport(route.Report{Seq: 2, Time: now, Running: 6, Slots: 16})
	countFirst := func(age time.Duration) int {
		chooser := newChooser()
		count := 0
		for range 100 {
			if chooser.Choose(servers, route.Request{Now: now.Add(age)}).Server == servers[0] {
				count++
			}
		}
		return count
	}
	must.Eq(t, 100, countFirst(0))
	servers[0].Begin()
	must.Less(t, 10, countFirst(time.Minute))
}
