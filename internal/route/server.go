// Package route chooses the backend server for a request. It does no I/O: callers pass in all
// state.
package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportHalfWeightAge is the age at which a report has half its weight.
const reportHalfWeightAge = 500 * time.Millisecond

// assumedSlots is the number of slots assumed for a server that has not reported its number yet.
const assumedSlots = 8

// Eligibility is whether a server gets new work.
type Eligibility int

// Eligibilities, from best to worst.
const (
	// Open servers get new work.
	Open Eligibility = iota
	// Suspect servers get new work only if no server is open.
	Suspect
	// Closed servers are draining, have left or have failed, and get no new work.
	Closed
)

// Report is a load report of a server. It arrives with a delay.
type Report struct {
	Seq uint64
	// Time is when the report was received here; zero means that it counts as fresh.
	Time    time.Time
	Running int64
	Queued  int64
	Slots   int64
	// Version of the weights; 0 for plain services.
	Version uint64
}

// Server is one entry's view of a backend server.
// It is not safe for concurrent use.
type Server struct {
	name        string
	region      string
	zone        string
	hash        uint64
	eligibility Eligibility
	report      Report
	// inflight counts this entry's running requests; sent and ended count those that
	// it has sent and that have ended since the last report.
	inflight int64
	sent     int64
	ended    int64
	// estimate is the load by which the chooser compares servers.
	estimate float64
	// hasIdleConn is true if a connection to the server is open and idle.
	hasIdleConn bool
}

// NewServer returns an open server without a load report.
func NewServer(name, region, zone string) *Server {
	return &Server{name: name, region: region, zone: zone, hash: Hash([]byte(name))}
}

// Begin counts a request sent to the server.
func (s *Server) Begin() {
	s.inflight++
	s.sent++
}

// Finish counts the end of a request.
func (s *Server) Finish() {
	s.inflight--
	s.ended++
}

// Load estimates the number of requests running or queued at the server: the number in the last
// report, corrected by the requests that this entry has sent and finished since, but at least this
// entry's own running requests.
//
// Without the correction, all requests between two reports would go to the server
// with the lowest load in the first of them.
func (s *Server) Load() int64 {
	return max(s.inflight, s.report.Running+s.report.Queued+s.sent-s.ended)
}

// Name returns the identity of the server.
func (s *Server) Name() string { return s.name }

// Inflight returns the number of this entry's running requests.
func (s *Server) Inflight() int64 { return s.inflight }

// ReportedLoad returns the requests running or queued according to the last report.
func (s *Server) ReportedLoad() int64 { return s.report.Running + s.report.Queued }

// SetIdleConn sets whether a connection to the server is open and idle.
func (s *Server) SetIdleConn(hasIdleConn bool) { s.hasIdleConn = hasIdleConn }

// SetEligibility sets whether the server gets new work.
func (s *Server) SetEligibility(eligibility Eligibility) { s.eligibility = eligibility }

// Slots returns the number of requests that the server runs concurrently.
func (s *Server) Slots() int64 {
	if s.report.Slots <= 0 {
		return assumedSlots
	}
	return s.report.Slots
}

// Eligibility returns whether the server gets new work.
func (s *Server) Eligibility() Eligibility { return s.eligibility }

// SetSlots sets the number of requests that the server runs concurrently, for
// servers that state it in their registration rather than in load reports.
func (s *Server) SetSlots(slots int64) { s.report.Slots = slots }

// UpdateReport stores a report if it is newer than the last one.
func (s *Server) UpdateReport(report Report) {
	if report.Seq <= s.report.Seq {
		return
	}
	s.report = report
	s.sent, s.ended = 0, 0
}

// updateEstimate sets the estimate of the load. For the requests of other entries
// it blends the report with the mean of all servers; the older the report, the less
// it counts.
//
// Picking the less loaded of two servers by old reports is worse than a random
// choice: all entries see the same server as less loaded and send there until the
// next report.
func (s *Server) updateEstimate(now time.Time, mean float64) {
	others := float64(s.Load() - s.inflight)
	weight := 1.0
	if !s.report.Time.IsZero() {
		age := now.Sub(s.report.Time).Seconds() / reportHalfWeightAge.Seconds()
		weight = 1 / (1 + age*age)
	}
	if s.report.Seq == 0 {
		weight = 0
	}
	s.estimate = float64(s.inflight) + weight*others + (1-weight)*mean*float64(s.Slots())
}

// utilization returns the estimate as a share of the slots; above 1 requests queue.
func (s *Server) utilization() float64 {
	return s.estimate / float64(s.Slots())
}

// Zone returns the availability zone of the server.
func (s *Server) Zone() string { return s.zone }

// Hash returns the hash by which prefixes are matched to servers; all processes compute the same
// hash.
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
