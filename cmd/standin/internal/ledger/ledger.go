// Package ledger is a stand-in for a plain HTTP service with idempotent reads of records and
// non-idempotent hour postings.
package ledger

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
)

// Faults are the faults that the service injects.
type Faults struct {
	// Hang runs requests but never responds to them.
	Hang bool `json:"hang"`
	// Slow delays each response, milliseconds.
	Slow int64 `json:"slow"`
	// Raw is sent in place of each response, without a check; "" sends the response.
	Raw string `json:"raw"`
}

// Posting is the body of POST /postings.
type Posting struct {
	Member string  `json:"member"`
	Hours  float64 `json:"hours"`
}

// Record counts the postings run and the request headers seen.
type Record struct {
	// Runs counts the postings of each member.
	Runs map[string]int `json:"runs"`
	// Headers counts the requests by header name.
	Headers map[string]int `json:"headers"`
	Total   int            `json:"total"`
}

// Ledger simulates a plain HTTP service.
type Ledger struct {
	mutex  sync.Mutex
	faults Faults
	record Record
}

// Routes returns the service's endpoints and the control endpoints for tests.
func (l *Ledger) Routes() []rest.Route {
	l.record = Record{Runs: map[string]int{}, Headers: map[string]int{}}
	return []rest.Route{
		{Method: http.MethodGet, Path: "/records/:id", Handler: l.handleRecord},
		{Method: http.MethodPost, Path: "/postings", Handler: l.handlePosting},
		{Method: http.MethodPost, Path: "/control/faults", Handler: l.handleFaults},
		{Method: http.MethodGet, Path: "/control/record", Handler: l.handleControlRecord},
	}
}

// Record returns the postings run and headers seen so far.
func (l *Ledger) Record() Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.record
}

func (l *Ledger) handleRecord(w http.ResponseWriter, r *http.Request) {
	l.countHeaders(r)
	if l.wait(r) && !l.sendRaw(w) {
		answer.JSON(w, http.StatusOK, map[string]any{"id": pathvar.Vars(r)["id"], "hours": 1})
	}
}

func (l *Ledger) handlePosting(w http.ResponseWriter, r *http.Request) {
	l.countHeaders(r)
	var posting Posting
	if !answer.Read(w, r, &posting) {
		return
	}
	l.mutex.Lock()
	l.record.Runs[posting.Member]++
	l.record.Total++
	number := l.record.Total
	l.mutex.Unlock()
	if l.wait(r) && !l.sendRaw(w) {
		answer.JSON(w, http.StatusCreated, map[string]any{"posting": number, "member": posting.Member})
	}
}

func (l *Ledger) countHeaders(r *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name := range r.Header {
		l.record.Headers[name]++
	}
}

// wait delays the response according to the faults; it returns false if the request is canceled
// first.
func (l *Ledger) wait(r *http.Request) bool {
	l.mutex.Lock()
	faults := l.faults
	l.mutex.Unlock()
	delay := time.After(time.Duration(faults.Slow) * time.Millisecond)
	if faults.Hang {
		delay = nil
	}
	select {
	case <-delay:
		return true
	case <-r.Context().Done():
		return false
	}
}

// sendRaw sends the raw text of the faults; it returns false if there is none.
func (l *Ledger) sendRaw(w http.ResponseWriter) bool {
	l.mutex.Lock()
	text := l.faults.Raw
	l.mutex.Unlock()
	if text == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text)
	return true
}

func (l *Ledger) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !answer.Read(w, r, &faults) {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
	answer.JSON(w, http.StatusOK, faults)
}

func (l *Ledger) handleControlRecord(w http.ResponseWriter, _ *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	answer.JSON(w, http.StatusOK, l.record)
}
