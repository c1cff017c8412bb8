package sidecar

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// directoryAge is how old the list of servers may get; a leaving server gets
// no new work this long after its mark has come here.
const directoryAge = 100 * time.Millisecond

// server is a backend server as this entry sees it, and the address of its sidecar.
type server struct {
	*route.Server
	address     string
	incarnation uint64
}

// directory holds the backend servers known, by pool.
type directory struct {
	members *member.Members
	chooser *route.Chooser
	// retain is called with the addresses present, each time the list is read.
	retain func(map[string]bool)

	mutex   sync.Mutex
	servers map[string]*server
	pools   map[string][]*route.Server
	read    time.Time
}

// begin counts a request sent to a server.
func (d *directory) begin(one *server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	one.Begin()
}

// choose returns the server of a pool for a request, or nil.
func (d *directory) choose(pool string, request route.Request) (*server, route.Reason) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	request.Now = time.Now()
	d.refresh(request.Now)
	choice := d.chooser.Choose(d.pools[pool], request)
	if choice.Server == nil {
		return nil, choice.Reason
	}
	return d.servers[choice.Server.Name()], choice.Reason
}

// find returns a server by its name if it may be asked, or nil.
func (d *directory) find(name string) *server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh(time.Now())
	return d.servers[name]
}

// finish counts the end of a request.
func (d *directory) finish(one *server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	one.Finish()
}

// refresh reads the processes anew if the list is old.
func (d *directory) refresh(now time.Time) {
	if d.servers != nil && now.Sub(d.read) < directoryAge {
		return
	}
	d.read = now
	known := d.servers
	d.servers = map[string]*server{}
	d.pools = map[string][]*route.Server{}
	leaving := map[string]map[string]bool{}
	present := map[string]bool{}
	for _, process := range d.members.Processes(peerpb.Role_ROLE_SIDECAR) {
		pool := process.GetPool()
		if leaving[pool] == nil {
			leaving[pool] = d.leaving(pool)
		}
		present[process.GetAddress()] = true
		if one := d.add(known, process); one != nil {
			d.mark(one, process, leaving[pool], now)
		}
	}
	d.retain(present)
}

// add takes a process into the list. Where two processes name one backend
// server, as after a replacement, the one that started last counts; add returns
// nil for the other.
func (d *directory) add(known map[string]*server, process *peerpb.Process) *server {
	name := process.GetServer()
	if other := d.servers[name]; other != nil {
		if other.incarnation >= process.GetIncarnation() {
			return nil
		}
		other.address, other.incarnation = process.GetAddress(), process.GetIncarnation()
		return other
	}
	next := &server{address: process.GetAddress(), incarnation: process.GetIncarnation()}
	if one := known[name]; one != nil {
		next.Server = one.Server
	} else {
		next.Server = route.NewServer(name, process.GetRegion(), process.GetZone())
	}
	d.servers[name] = next
	d.pools[process.GetPool()] = append(d.pools[process.GetPool()], next.Server)
	return next
}

// mark sets whether a server gets new work: by its process's own record, by its
// load and by the fleet's orders, of which any may be the first to say that it leaves.
func (d *directory) mark(one *server, process *peerpb.Process, leaving map[string]bool, now time.Time) {
	load := d.members.Load(one.Name())
	one.SetEligibility(standing(process.GetState()))
	if load.GetDraining() || leaving[one.Name()] {
		one.SetEligibility(route.Closed)
	}
	one.UpdateReport(route.Report{
		Seq:     load.GetSeq(),
		Time:    now,
		Running: int64(load.GetRunning()),
		Queued:  int64(load.GetQueued()),
		Slots:   int64(load.GetSlots()),
		Version: load.GetVersion(),
	})
}

func standing(state peerpb.State) route.Eligibility {
	switch state {
	case peerpb.State_STATE_LIVE:
		return route.Open
	case peerpb.State_STATE_SUSPECT:
		return route.Suspect
	default:
		return route.Closed
	}
}

func (d *directory) leaving(pool string) map[string]bool {
	leaving := map[string]bool{}
	fact := d.members.Fact(member.FactFleet + pool)
	if fact == nil {
		return leaving
	}
	fleet := &statepb.Fleet{}
	if err := proto.Unmarshal(fact.GetValue(), fleet); err != nil {
		return leaving
	}
	for _, one := range fleet.GetServers() {
		if one.GetState() == "draining" || one.GetState() == "removed" {
			leaving[one.GetId()] = true
		}
	}
	return leaving
}
