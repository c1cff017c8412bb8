package claim

import (
	"fmt"
	"slices"
	"time"
)

// DefaultCapacity is the capacity of a Journal whose Capacity is 0. A claim takes 370
// bytes (BenchmarkKeptClaim in internal/entry).
const DefaultCapacity = 8192

// FullError reports that a journal is at capacity.
type FullError struct {
	Capacity int
}

// Error names the capacity.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d claims are kept, no more fit", e.Capacity)
}

// Record is a stored claim.
type Record struct {
	id      string
	server  string
	digest  string
	voidIDs []string
	expires time.Time
}

// Digest returns the digest of the request, which distinguishes it from another
// request under the same idempotency key.
func (r Record) Digest() string { return r.digest }

// ID returns the ID of the request that owns the claim.
func (r Record) ID() string { return r.id }

// IsVoid reports whether the request with this ID owned the claim earlier and
// was proved not to have run.
func (r Record) IsVoid(id string) bool { return slices.Contains(r.voidIDs, id) }

// Server returns the home whose request owns the claim.
func (r Record) Server() string { return r.server }

// Journal stores claims in memory until they expire. It is not safe for concurrent
// use. Exported fields are set before the first Add.
type Journal struct {
	// Retention is how long a claim is stored.
	Retention time.Duration
	// Capacity is the maximum number of claims; 0 means DefaultCapacity.
	Capacity int

	records  map[string]*Record
	expiries []expiry
}

// expiry is an entry of the queue of expiry times. An extended claim has
// several entries, of which the last one counts.
type expiry struct {
	claim string
	time  time.Time
}

// All returns every claim that has not expired.
func (j *Journal) All(now time.Time) map[string]Record {
	j.dropExpired(now)
	all := make(map[string]Record, len(j.records))
	for claim, record := range j.records {
		all[claim] = *record
	}
	return all
}

// Find returns a claim and whether it is stored.
func (j *Journal) Find(claim string) (Record, bool) {
	record := j.records[claim]
	if record == nil {
		return Record{}, false
	}
	return *record, true
}

// Add stores a claim for a server's request unless the claim is stored already.
// It returns the stored record and whether it is new, or a *FullError.
func (j *Journal) Add(claim string, record Record, now time.Time) (Record, bool, error) {
	j.dropExpired(now)
	if known := j.records[claim]; known != nil {
		return *known, false, nil
	}
	if len(j.records) >= j.maxClaims() {
		return Record{}, false, &FullError{Capacity: j.maxClaims()}
	}
	if j.records == nil {
		j.records = map[string]*Record{}
	}
	j.records[claim] = &record
	j.extend(claim, now)
	return record, true, nil
}

// Renew moves a claim to a new request of the same server, after its owner was
// proved not to have run.
func (j *Journal) Renew(claim, id, digest string, now time.Time) {
	record := j.records[claim]
	if record == nil {
		return
	}
	record.voidIDs = append(record.voidIDs, record.id)
	record.id = id
	record.digest = digest
	j.extend(claim, now)
}

// Replace moves a claim to another server's request, after its owner was proved
// not to have run.
func (j *Journal) Replace(claim string, record Record, now time.Time) Record {
	j.records[claim] = &record
	j.extend(claim, now)
	return record
}

// NewRecord returns the record of a server's request.
func NewRecord(id, server, digest string) Record {
	return Record{id: id, server: server, digest: digest}
}

func (j *Journal) extend(claim string, now time.Time) {
	until := now.Add(j.Retention)
	j.records[claim].expires = until
	j.expiries = append(j.expiries, expiry{claim: claim, time: until})
}

func (j *Journal) maxClaims() int {
	if j.Capacity > 0 {
		return j.Capacity
	}
	return DefaultCapacity
}

func (j *Journal) dropExpired(now time.Time) {
	for len(j.expiries) > 0 && now.After(j.expiries[0].time) {
		oldest := j.expiries[0]
		j.expiries = j.expiries[1:]
		record := j.records[oldest.claim]
		if record != nil && !record.expires.After(oldest.time) {
			delete(j.records, oldest.claim)
		}
	}
}
