// Package route chooses the backend server for a request. It holds the pure
// decision: what it knows is handed in, and nothing is sent from here.
package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// freshness is the age at which a report counts by half.
const freshness = 500 * time.Millisecond

// assumedSlots stands for the slots of a server that has not told them yet.
const assumedSlots = 8

// Eligibility says whether a server gets new work.
type Eligibility int

// Standings, the better ones first.
const (
	// Open servers get new work.
	Open Eligibility = iota
	// Suspect servers get new work only where no open one is left.
	Suspect
	// Closed servers are draining, have left or have failed, and get nothing.
	Closed
)

// Report is a load report of a server, which lags.
type Report struct {
	Seq uint64
	// Time is when the report was taken here; zero makes it as good as new.
	Time    time.Time
	Running int64
	Queued  int64
	Slots   int64
	// Version of the weights; 0 for plain services.
	Version uint64
}

// Server is what one entry knows of a backend server.
// It is not safe for concurrent use.
type Server struct {
	name     string
	region   string
	zone     string
	hash     uint64
	standing Eligibility
	report   Report
	// own counts this entry's running requests; sent and ended count since the report.
	own   int64
	sent  int64
	ended int64
	// estimate is the load that the chooser compares by.
	estimate float64
	// hasSpare says that a connection to the server is open and unused.
	hasSpare bool
}

// NewServer returns an open server of which no load is known.
func NewServer(name, region, zone string) *Server {
	return &Server{name: name, region: region, zone: zone, hash: Hash([]byte(name))}
}

// Begin counts a request sent to the server.
func (s *Server) Begin() {
	s.own++
	s.sent++
}

// Finish counts the end of a request.
func (s *Server) Finish() {
	s.own--
	s.ended++
}

// Load estimates the requests that run or wait at the server now: those of the
// last report with this entry's own since then, and never fewer than its own.
//
// Without the own ones, all requests between two reports would go to the server
// that was the emptiest at the first of them.
func (s *Server) Load() int64 {
	return max(s.own, s.report.Running+s.report.Queued+s.sent-s.ended)
}

// Name returns the identity of the server.
func (s *Server) Name() string { return s.name }

// Inflight returns the number of this entry's running requests.
func (s *Server) Inflight() int64 { return s.own }

// ReportedLoad returns the requests that run or wait by the last report.
func (s *Server) ReportedLoad() int64 { return s.report.Running + s.report.Queued }

// SetIdleConn sets whether a connection to the server is open and unused.
func (s *Server) SetIdleConn(hasSpare bool) { s.hasSpare = hasSpare }

// SetEligibility sets whether the server gets new work.
func (s *Server) SetEligibility(standing Eligibility) { s.standing = standing }

// Slots returns the requests that the server runs at the same time.
func (s *Server) Slots() int64 {
	if s.report.Slots <= 0 {
		return assumedSlots
	}
	return s.report.Slots
}

// Eligibility returns whether the server gets new work.
func (s *Server) Eligibility() Eligibility { return s.standing }

// SetSlots sets the requests that the server runs at the same time, where a
// registration tells them and no load report does.
func (s *Server) SetSlots(slots int64) { s.report.Slots = slots }

// UpdateReport takes a report if it is newer than the last one.
func (s *Server) UpdateReport(report Report) {
	if report.Seq <= s.report.Seq {
		return
	}
	s.report = report
	s.sent, s.ended = 0, 0
}

// weigh sets the estimate of the load. The requests of other entries are taken
// from the report in so far as it is fresh, and else as the mean of all servers.
//
// Two choices by old reports are worse than chance: all entries see the same
// server as the emptier one, and send there until the next report.
func (s *Server) weigh(now time.Time, mean float64) {
	others := float64(s.Load() - s.own)
	weight := 1.0
	if !s.report.Time.IsZero() {
		age := now.Sub(s.report.Time).Seconds() / freshness.Seconds()
		weight = 1 / (1 + age*age)
	}
	if s.report.Seq == 0 {
		weight = 0
	}
	s.estimate = float64(s.own) + weight*others + (1-weight)*mean*float64(s.Slots())
}

// utilization returns the estimate as a share of the slots; above 1 requests wait.
func (s *Server) utilization() float64 {
	return s.estimate / float64(s.Slots())
}

// Zone returns the availability zone of the server.
func (s *Server) Zone() string { return s.zone }

// Hash returns the hash by which servers and prefixes are matched; it is the
// same in every process.
func Hash(text []byte) uint64 {
	return xxhash.Sum64(text)
}

// mix combines two hashes into one (the finalizer of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
