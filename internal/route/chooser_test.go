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
	seen := map[string]int{}
	for range 2 {
		// Another entry that has heard nothing of the first agrees with it.
		chooser := newChooser()
		for i := range 50 {
			seen[chooser.Choose(servers, route.Request{Prefix: route.Hash([]byte("assistant"))}).Server.Name()]++
			chooser.Choose(servers, route.Request{Prefix: uint64(i + 1)})
		}
	}
	must.LessEq(t, 9, len(seen))
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
	// Every caller of one assistant waits behind a queue while other engines
	// idle: its prefix keeps the requests at two servers.
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
	behind := 0
	for range 20 {
		if chooser.Choose(servers, request).Server.Load() >= 40 {
			behind++
		}
	}
	must.LessEq(t, 5, behind)
}

func TestChooseCountsOwnSends(t *testing.T) {
	// A report says that one server is empty. Until the next report, all
	// requests of the entry would go there.
	servers := newServers(2, 1)
	load(servers[0], 0)
	load(servers[1], 3)
	chooser := newChooser()
	for range 200 {
		chooser.Choose(servers, route.Request{}).Server.Begin()
	}
	must.Between(t, 90, servers[0].Inflight(), 120)
}

func TestChooseStanding(t *testing.T) {
	tests := map[string]struct {
		standings [3]route.Eligibility
		chosen    string
		reason    route.Reason
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
				server.SetEligibility(test.standings[i])
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
	away := 0
	for i := range 50 {
		if newChooserFor(uint64(i)).Choose(servers, route.Request{}).Reason == route.ReasonOtherZone {
			away++
		}
	}
	must.Positive(t, away)
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
	began := time.Now()
	for i := 0; b.Loop(); i++ {
		choice := chooser.Choose(servers, route.Request{Prefix: uint64(i%500 + 1)})
		choice.Server.Begin()
		choice.Server.Finish()
	}
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "decisions/s")
}

func TestChooseSpreadsPopularPrefix(t *testing.T) {
	// A third of all requests start with the same instructions. Kept at two of
	// 930 servers they wait for minutes, and the load reports that would tell
	// so come seconds later.
	servers := newServers(930, 7)
	chooser := newChooser()
	seen := map[string]bool{}
	for i := range 3000 {
		request := route.Request{Prefix: uint64(i + 1)}
		if i%3 == 0 {
			request.Prefix = route.Hash([]byte("popular"))
		}
		choice := chooser.Choose(servers, request)
		if i%3 == 0 {
			seen[choice.Server.Name()] = true
		}
	}
	must.Greater(t, 300, len(seen))
}

func TestChooseDistrustsOldReports(t *testing.T) {
	// Many entries read in the same old report that one server is the emptier,
	// and all send there until the next one comes: its queue grows by all of
	// them while the other server idles.
	now := time.Unix(1_000_000, 0)
	servers := newServers(2, 1)
	servers[0].UpdateReport(route.Report{Seq: 2, Time: now, Running: 2, Slots: 16})
	servers[1].UpdateReport(route.Report{Seq: 2, Time: now, Running: 6, Slots: 16})
	first := func(age time.Duration) int {
		chooser := newChooser()
		count := 0
		for range 100 {
			if chooser.Choose(servers, route.Request{Now: now.Add(age)}).Server == servers[0] {
				count++
			}
		}
		return count
	}
	must.Eq(t, 100, first(0))
	servers[0].Begin()
	must.Less(t, 10, first(time.Minute))
}
