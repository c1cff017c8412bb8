package member

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// bucketCount is the number of buckets in which two tables are compared.
	bucketCount = 64
	// endedRetention is how long the record of a failed or left process is kept. It is
	// longer than sidecars remember requests, so that a restarted sidecar can detect
	// its restart.
	endedRetention = 20 * time.Minute
	// maxSentEnded bounds the failed and left processes sent to a joining process.
	maxSentEnded = 256
)

// record is the entry of one process.
type record struct {
	process *peerpb.Process
	// hash is the hash of the name.
	hash uint64
	// since is when this process recorded the state.
	since time.Time
}

// table holds the records of all processes, with hashes for comparing two tables
// without sending them. The hashes cover only active processes, so that deleting ended
// ones doesn't change the hashes.
type table struct {
	records map[string]record
	buckets [bucketCount]uint64
	hash    uint64
	// version increases with each change.
	version uint64
	// suspectOrEnded holds the names of processes that are suspected, have failed or
	// left.
	suspectOrEnded map[string]bool
	// namesByServer holds the names of processes by backend server.
	namesByServer map[string][]string
}

func newTable() table {
	return table{records: map[string]record{}, suspectOrEnded: map[string]bool{}, namesByServer: map[string][]string{}}
}

// clone returns a copy that shares the records.
func (t *table) clone() table {
	next := *t
	next.records = maps.Clone(t.records)
	next.suspectOrEnded = maps.Clone(t.suspectOrEnded)
	next.namesByServer = maps.Clone(t.namesByServer)
	return next
}

// ended returns up to maxSentEnded records of processes that failed or left.
func (t *table) ended() []*peerpb.Process {
	var found []*peerpb.Process
	for name := range t.suspectOrEnded {
		if process := t.get(name); !isActive(process.GetState()) && len(found) < maxSentEnded {
			found = append(found, process)
		}
	}
	return found
}

func (t *table) get(name string) *peerpb.Process {
	return t.records[name].process
}

func (t *table) inBucket(index int) []*peerpb.Process {
	var found []*peerpb.Process
	for _, known := range t.records {
		if bucketOf(known.hash) == index {
			found = append(found, known.process)
		}
	}
	return found
}

// put replaces the record of a process.
func (t *table) put(process *peerpb.Process, now time.Time) {
	name := process.GetName()
	known, found := t.records[name]
	if !found {
		known.hash = hashName(name)
	}
	t.toggleHashes(known)
	t.updateIndexes(known.process, process)
	known.process, known.since = process, now
	t.records[name] = known
	t.toggleHashes(known)
	t.version++
}

func (t *table) remove(name string) {
	t.toggleHashes(t.records[name])
	t.updateIndexes(t.records[name].process, nil)
	delete(t.records, name)
	t.version++
}

// updateIndexes updates suspectOrEnded and namesByServer.
func (t *table) updateIndexes(old, next *peerpb.Process) {
	delete(t.suspectOrEnded, old.GetName())
	if next != nil && statePrecedence(next.GetState()) > 0 {
		t.suspectOrEnded[next.GetName()] = true
	}
	if old.GetServer() == next.GetServer() {
		return
	}
	if server := old.GetServer(); server != "" {
		// The slices may be shared with a clone, so they are never changed in place.
		t.namesByServer[server] = removeName(t.namesByServer[server], old.GetName())
		if len(t.namesByServer[server]) == 0 {
			delete(t.namesByServer, server)
		}
	}
	if server := next.GetServer(); server != "" {
		t.namesByServer[server] = append(slices.Clip(t.namesByServer[server]), next.GetName())
	}
}

func removeName(names []string, removed string) []string {
	var remaining []string
	for _, name := range names {
		if name != removed {
			remaining = append(remaining, name)
		}
	}
	return remaining
}

// toggleHashes adds a record to the hashes or removes it from them.
func (t *table) toggleHashes(known record) {
	if known.process == nil || !isActive(known.process.GetState()) {
		return
	}
	sum := hashRecord(known)
	t.buckets[bucketOf(known.hash)] ^= sum
	t.hash ^= sum
}

func bucketOf(hash uint64) int { return int(hash % bucketCount) }

func hashName(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return mix(sum.Sum64())
}

func hashRecord(known record) uint64 {
	process := known.process
	sum := known.hash ^ mix(process.GetIncarnation())
	sum = mix(sum ^ process.GetVersion())
	return mix(sum + uint64(process.GetState()))
}

// mix scrambles the bits of a number (the finalizer of splitmix64).
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}

// expand completes a shortened record from the known record. It returns nil if no
// record with the same incarnation is known.
func expand(process, known *peerpb.Process) *peerpb.Process {
	if process.GetAddress() != "" || isFullRecord(process) {
		return process
	}
	if known == nil || known.GetIncarnation() != process.GetIncarnation() {
		return nil
	}
	next := proto.CloneOf(known)
	next.SetVersion(process.GetVersion())
	next.SetState(process.GetState())
	next.SetEnded(process.GetEnded())
	return next
}

// shorten omits all fields but identity and state if the process is suspected, failed
// or left; the receiver knows the rest.
func shorten(process *peerpb.Process) *peerpb.Process {
	switch process.GetState() {
	case peerpb.State_STATE_SUSPECT, peerpb.State_STATE_FAILED, peerpb.State_STATE_LEFT:
		return peerpb.Process_builder{
			Name:        process.GetName(),
			Incarnation: process.GetIncarnation(),
			Version:     process.GetVersion(),
			State:       process.GetState(),
			Ended:       process.GetEnded(),
		}.Build()
	default:
		return process
	}
}

// isFullRecord reports whether a record without an address is complete and not a
// shortened one: a process that doesn't listen yet has such a record in its own table.
func isFullRecord(process *peerpb.Process) bool {
	return process.GetRole() != peerpb.Role_ROLE_UNSPECIFIED
}

func isNewer(process, known *peerpb.Process) bool {
	if process.GetIncarnation() != known.GetIncarnation() {
		return process.GetIncarnation() > known.GetIncarnation()
	}
	if process.GetVersion() != known.GetVersion() {
		return process.GetVersion() > known.GetVersion()
	}
	return statePrecedence(process.GetState()) > statePrecedence(known.GetState())
}

// statePrecedence orders the states of the same version of a record: SUSPECT overrides
// the state that the process reports, and FAILED overrides SUSPECT. The process refutes
// either by raising its version.
func statePrecedence(state peerpb.State) int {
	switch state {
	case peerpb.State_STATE_SUSPECT:
		return 1
	case peerpb.State_STATE_FAILED:
		return 2
	case peerpb.State_STATE_LEFT:
		return 3
	default:
		return 0
	}
}

// hasExpired reports whether a process failed or left at least endedRetention ago. The
// end time is part of the record: if each process counted from its own receipt of the
// record, processes would send the record to each other for ever.
func hasExpired(process *peerpb.Process, now time.Time) bool {
	return !isActive(process.GetState()) && now.Sub(time.Unix(process.GetEnded(), 0)) >= endedRetention
}

func endedAt(state peerpb.State, now time.Time) int64 {
	if isActive(state) {
		return 0
	}
	return now.Unix()
}

func isActive(state peerpb.State) bool {
	return state != peerpb.State_STATE_LEFT && state != peerpb.State_STATE_FAILED
}
