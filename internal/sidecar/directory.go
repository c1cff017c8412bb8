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

// maxDirectoryAge is the maximum age of the list of servers. Once the entry has received a
// drain, the draining server gets no new work after at most this time.
const maxDirectoryAge = 100 * time.Millisecond

// server is a backend server as seen by this entry, with the address of its sidecar.
type server struct {
	*route.Server
	address     string
	incarnation uint64
}

// directory holds the known backend servers by pool.
type directory struct {
	members *member.Members
	chooser *route.Chooser
	// closeUnused is called with the current addresses on each refresh.
	closeUnused func(map[string]bool)

	mutex   sync.Mutex
	servers map[string]*server
	pools   map[string][]*route.Server
	readAt  time.Time
}

// begin records the start of a request at a server.
func (d *directory) begin(s *server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.Begin()
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

// find returns a server by name, or nil if it is not known.
func (d *directory) find(name string) *server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh(time.Now())
	return d.servers[name]
}

// finish records the end of a request at a server.
func (d *directory) finish(s *server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.Finish()
}

// refresh reads the processes again if the list is outdated.
func (d *directory) refresh(now time.Time) {
	if d.servers != nil && now.Sub(d.readAt) < maxDirectoryAge {
		return
	}
	d.readAt = now
	previous := d.servers
	d.servers = map[string]*server{}
	d.pools = map[string][]*route.Server{}
	draining := map[string]map[string]bool{}
	addresses := map[string]bool{}
	for _, process := range d.members.Processes(peerpb.Role_ROLE_SIDECAR) {
		pool := process.GetPool()
		if draining[pool] == nil {
			draining[pool] = d.drainingServers(pool)
		}
		addresses[process.GetAddress()] = true
		if added := d.add(previous, process); added != nil {
			d.updateServer(added, process, draining[pool], now)
		}
	}
	d.closeUnused(addresses)
}

// add adds a process to the list. Two processes can serve the same backend server, for
// example after a replacement: the list keeps the process that started last, and add
// returns nil for the earlier process.
func (d *directory) add(previous map[string]*server, process *peerpb.Process) *server {
	name := process.GetServer()
	if other := d.servers[name]; other != nil {
		if other.incarnation >= process.GetIncarnation() {
			return nil
		}
		other.address, other.incarnation = process.GetAddress(), process.GetIncarnation()
		return other
	}
	next := &server{address: process.GetAddress(), incarnation: process.GetIncarnation()}
	if old := previous[name]; old != nil {
		next.Server = old.Server
	} else {
		next.Server = route.NewServer(name, process.GetRegion(), process.GetZone())
	}
	d.servers[name] = next
	d.pools[process.GetPool()] = append(d.pools[process.GetPool()], next.Server)
	return next
}

// updateServer sets whether a server gets new work, based on its process record, its load
// report and the fleet. A drain may appear first in any of the three.
func (d *directory) updateServer(s *server, process *peerpb.Process, draining map[string]bool, now time.Time) {
	load := d.members.Load(s.Name())
	s.SetEligibility(eligibilityOf(process.GetState()))
	if load.GetDraining() || draining[s.Name()] {
		s.SetEligibility(route.Closed)
	}
	s.UpdateReport(route.Report{
		Seq:     load.GetSeq(),
		Time:    now,
		Running: int64(load.GetRunning()),
		Queued:  int64(load.GetQueued()),
		Slots:   int64(load.GetSlots()),
		Version: load.GetVersion(),
	})
}

func eligibilityOf(state peerpb.State) route.Eligibility {
	switch state {
	case peerpb.State_STATE_LIVE:
		return route.Open
	case peerpb.State_STATE_SUSPECT:
		return route.Suspect
	default:
		return route.Closed
	}
}

func (d *directory) drainingServers(pool string) map[string]bool {
	draining := map[string]bool{}
	fact := d.members.Fact(member.FactFleet + pool)
	if fact == nil {
		return draining
	}
	fleet := &statepb.Fleet{}
	if err := proto.Unmarshal(fact.GetValue(), fleet); err != nil {
		return draining
	}
	for _, server := range fleet.GetServers() {
		if server.GetState() == "draining" || server.GetState() == "removed" {
			draining[server.GetId()] = true
		}
	}
	return draining
}
