package claim_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const retryPeriod = 10 * time.Minute

// node models a sidecar.
type node struct {
	journal           *claim.Journal
	started           time.Time
	isJournalComplete bool
	isDown            bool
}

// world models a pool: sidecars with their journals, fleets that processes see
// with a lag, and the runs of the requests under one claim.
type world struct {
	*rapid.T

	now        time.Time
	fleets     []fleetVersion
	nodes      map[string]*node
	nextID     int
	claim      string
	claimStart time.Time
	runs       int
	sent       int
}

// fleetVersion is a fleet and when it took effect.
type fleetVersion struct {
	fleet *statepb.Fleet
	time  time.Time
}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, now: time.Unix(1_000_000, 0), nodes: map[string]*node{}}
	w.fleets = []fleetVersion{{fleet: &statepb.Fleet{}, time: w.now}}
	for range rapid.IntRange(1, 4).Draw(t, "servers") {
		w.Add(t)
	}
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "age")) * time.Second)
	w.renewClaim()
	return w
}

func (w *world) renewClaim() {
	w.claim = fmt.Sprintf("claim-%d", w.nextID)
	w.nextID++
	w.claimStart = w.now
	w.runs = 0
}

// change adds a fleet version. A fleet's times are whole seconds, so two changes
// are at least one second apart.
func (w *world) change(change func(*statepb.Fleet)) {
	w.now = w.now.Add(time.Second)
	fleet := proto.CloneOf(w.fleets[len(w.fleets)-1].fleet)
	change(fleet)
	fleet.SetEpoch(fleet.GetEpoch() + 1)
	w.fleets = append(w.fleets, fleetVersion{fleet: fleet, time: w.now})
}

// view returns the fleet as a process sees it, up to 8 s late.
func (w *world) view(label string) *statepb.Fleet {
	at := w.now.Add(-time.Duration(rapid.IntRange(0, 8).Draw(w.T, label)) * time.Second)
	found := w.fleets[0].fleet
	for _, version := range w.fleets {
		if !version.time.After(at) {
			found = version.fleet
		}
	}
	return found
}

// Add adds a server.
func (w *world) Add(t *rapid.T) {
	id := fmt.Sprintf("s%d", w.nextID)
	w.nextID++
	zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	w.change(func(fleet *statepb.Fleet) {
		w.nodes[id] = newNode(w.now, true)
		server := statepb.Server_builder{Id: id, Zone: zone, State: "live", Since: w.now.Unix(), Born: w.now.Unix()}.Build()
		fleet.SetServers(append(fleet.GetServers(), server))
	})
}

// Advance moves the clock forward.
func (w *world) Advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
	if w.now.Sub(w.claimStart) > retryPeriod {
		w.renewClaim()
	}
}

// Crash kills a sidecar, or restarts a killed one with an empty journal.
func (w *world) Crash(t *rapid.T) {
	id := w.draw(t)
	if id == "" {
		return
	}
	if w.nodes[id].isDown {
		w.nodes[id] = newNode(w.now, false)
		return
	}
	w.nodes[id].isDown = true
}

// Restart restarts a sidecar with an empty journal.
func (w *world) Restart(t *rapid.T) {
	if id := w.draw(t); id != "" {
		w.nodes[id] = newNode(w.now, false)
	}
}

// CopyClaims makes a restarted sidecar copy the claims that its partners keep.
func (w *world) CopyClaims(t *rapid.T) {
	id := w.draw(t)
	if id == "" || !w.nodes[id].isReady(w.now) {
		return
	}
	partners, isComplete := claim.Partners(id, w.view("view"), w.now, retryPeriod)
	for _, partner := range partners {
		isComplete = isComplete && w.copyClaimsFrom(w.nodes[id], w.nodes[partner])
	}
	w.nodes[id].isJournalComplete = w.nodes[id].isJournalComplete || isComplete
}

func (w *world) copyClaimsFrom(node, partner *node) bool {
	if partner.isDown || !partner.hasFullJournal(w.now) {
		return false
	}
	for key, record := range partner.journal.All(w.now) {
		_, _, _ = node.journal.Add(key, record, w.now)
	}
	return true
}

// Remove drains a server, or removes it and stops its sidecar.
func (w *world) Remove(t *rapid.T) {
	id := w.draw(t)
	if id == "" {
		return
	}
	state := rapid.SampledFrom([]string{"draining", "removed"}).Draw(t, "state")
	if state == "removed" {
		w.nodes[id].isDown = true
	}
	w.change(func(fleet *statepb.Fleet) {
		for _, server := range fleet.GetServers() {
			if server.GetId() == id {
				server.SetState(state)
				server.SetSince(w.now.Unix())
			}
		}
	})
}

// Send sends the request twice, interleaved: both reserve the claim before either
// asks the other sidecars.
func (w *world) Send(t *rapid.T) {
	first, second := w.begin(), w.begin()
	if rapid.Bool().Draw(t, "crossed") {
		first, second = second, first
	}
	second.finish()
	first.finish()
	if w.runs > 1 {
		t.Fatalf("%s ran %d times", w.claim, w.runs)
	}
}

func (w *world) draw(t *rapid.T) string {
	var present []string
	for _, server := range w.fleets[len(w.fleets)-1].fleet.GetServers() {
		if server.GetState() != "removed" {
			present = append(present, server.GetId())
		}
	}
	if len(present) == 0 {
		return ""
	}
	return rapid.SampledFrom(present).Draw(t, "server")
}

func newNode(now time.Time, isJournalComplete bool) *node {
	return &node{journal: &claim.Journal{Retention: claim.Window(retryPeriod)}, started: now, isJournalComplete: isJournalComplete}
}

func (n *node) hasFullJournal(now time.Time) bool {
	return n.isJournalComplete || now.Sub(n.started) >= claim.Window(retryPeriod)
}

// isReady reports whether the sidecar runs claims.
func (n *node) isReady(now time.Time) bool {
	return !n.isDown && (n.isJournalComplete || now.Sub(n.started) > claim.MaxFleetLag)
}

// attempt is one send of the request to its home as an entry sees it.
type attempt struct {
	*world

	id    string
	home  string
	fleet *statepb.Fleet
}

func (w *world) begin() *attempt {
	w.sent++
	a := &attempt{world: w, id: fmt.Sprintf("request-%d", w.sent), fleet: w.view("home's view")}
	home := claim.Home(w.claim, w.view("entry's view"))
	if home == "" || home != claim.Home(w.claim, a.fleet) || !w.nodes[home].isReady(w.now) {
		return a
	}
	if _, isNew, _ := w.nodes[home].journal.Add(w.claim, claim.NewRecord(a.id, home, ""), w.now); isNew {
		a.home = home
	}
	return a
}

func (a *attempt) finish() {
	if a.home == "" {
		return
	}
	switch claim.NewPlan(a.claim, a.fleet, a.now, retryPeriod).Check(a.ask) {
	case claim.Pass, claim.NoOtherServer:
		a.runs++
	default:
	}
}

func (a *attempt) ask(server string) claim.Answer {
	node := a.nodes[server]
	if node.isDown || a.fleet.GetEpoch() < a.view("witness's view").GetEpoch() && server != a.home {
		return claim.NoAnswer
	}
	if server != a.home {
		if _, isNew, _ := node.journal.Add(a.claim, claim.NewRecord(a.id, a.home, ""), a.now); !isNew {
			return claim.AlreadyKnown
		}
		if rapid.IntRange(0, 9).Draw(a.T, "lost reply") == 0 {
			return claim.NoAnswer
		}
	}
	if !node.hasFullJournal(a.now) {
		return claim.KeptAfterRestart
	}
	return claim.Kept
}

// Guards against a request that runs twice: its retry reaches another sidecar than
// the first send because servers joined, left or lost their journals in between,
// and that sidecar doesn't know the claim. In any order of such changes a claim
// runs at most once within the retry window.
func TestClaimRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"add":     w.Add,
			"advance": w.Advance,
			"crash":   w.Crash,
			"learn":   w.CopyClaims,
			"relearn": w.CopyClaims,
			"remove":  w.Remove,
			"send":    w.Send,
			"resend":  w.Send,
			"restart": w.Restart,
		})
	})
}
