package claim

import (
	"fmt"
	"slices"
	"time"
)

// DefaultCapacity is the number of claims that a Journal keeps if nothing else is
// set. A claim takes 370 bytes (BenchmarkKeptClaim in internal/entry).
const DefaultCapacity = 8192

// FullError says that a journal keeps as many claims as it may.
type FullError struct {
	Capacity int
}

// Error names the bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d claims are kept, no more fit", e.Capacity)
}

// Record is a claim that is kept.
type Record struct {
	id     string
	server string
	digest string
	void   []string
	until  time.Time
}

// Digest returns the digest of the request, so that another request under the
// same idempotency key is told apart.
func (r Record) Digest() string { return r.digest }

// ID returns the identity of the request that has the claim.
func (r Record) ID() string { return r.id }

// IsVoid reports whether the claim was held under an identity that was proved
// not to have run.
func (r Record) IsVoid(id string) bool { return slices.Contains(r.void, id) }

// Server returns the home that has the claim.
func (r Record) Server() string { return r.server }

// Journal keeps claims, each for a bounded time. It is not safe for concurrent use.
// Exported fields are set before the first Hold.
type Journal struct {
	// Retention is how long a claim is kept.
	Retention time.Duration
	// Capacity is the most claims kept; 0 keeps DefaultSize.
	Capacity int

	records map[string]*Record
	order   []kept
}

// kept is a claim in the order in which claims end.
type kept struct {
	claim string
	until time.Time
}

// All returns every claim that is kept.
func (j *Journal) All(now time.Time) map[string]Record {
	j.sweep(now)
	all := make(map[string]Record, len(j.records))
	for claim, record := range j.records {
		all[claim] = *record
	}
	return all
}

// Find returns a claim.
func (j *Journal) Find(claim string) (Record, bool) {
	record := j.records[claim]
	if record == nil {
		return Record{}, false
	}
	return *record, true
}

// Add keeps a claim for a server's request unless it is known. It returns the
// claim as it is kept and whether it is new, or a *FullError.
func (j *Journal) Add(claim string, record Record, now time.Time) (Record, bool, error) {
	j.sweep(now)
	if known := j.records[claim]; known != nil {
		return *known, false, nil
	}
	if len(j.records) >= j.size() {
		return Record{}, false, &FullError{Capacity: j.size()}
	}
	if j.records == nil {
		j.records = map[string]*Record{}
	}
	j.records[claim] = &record
	j.extend(claim, now)
	return record, true, nil
}

// Renew gives a claim to a new request of the same server, once the one that
// had it was proved not to have run.
func (j *Journal) Renew(claim, id, digest string, now time.Time) {
	record := j.records[claim]
	if record == nil {
		return
	}
	record.void = append(record.void, record.id)
	record.id = id
	record.digest = digest
	j.extend(claim, now)
}

// Replace gives a claim to another server's request, once the one that had it
// was proved not to have run.
func (j *Journal) Replace(claim string, record Record, now time.Time) Record {
	j.records[claim] = &record
	j.extend(claim, now)
	return record
}

// NewRecord returns the claim of a server's request.
func NewRecord(id, server, digest string) Record {
	return Record{id: id, server: server, digest: digest}
}

func (j *Journal) extend(claim string, now time.Time) {
	until := now.Add(j.Retention)
	j.records[claim].until = until
	j.order = append(j.order, kept{claim: claim, until: until})
}

func (j *Journal) size() int {
	if j.Capacity > 0 {
		return j.Capacity
	}
	return DefaultCapacity
}

// sweep forgets claims whose time is over.
func (j *Journal) sweep(now time.Time) {
	for len(j.order) > 0 && now.After(j.order[0].until) {
		oldest := j.order[0]
		j.order = j.order[1:]
		record := j.records[oldest.claim]
		if record != nil && !record.until.After(oldest.until) {
			delete(j.records, oldest.claim)
		}
	}
}
