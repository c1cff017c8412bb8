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
	// bucketCount is the number of parts in which two tables are compared.
	bucketCount = 64
	// forgetTime is how long a failed or left process is remembered; longer
	// than sidecars remember requests, so that one that was started again
	// learns that it was.
	forgetTime = 20 * time.Minute
	// sentEnded bounds the failed and left processes told to one that joins.
	sentEnded = 256
)

// record is what is known of one process.
type record struct {
	process *peerpb.Process
	// hash is that of the name.
	hash uint64
	// since is when the state was learnt.
	since time.Time
}

// table holds the records of all processes, with hashes by which two tables
// are compared without sending them. Only present processes count in the
// hashes, so that forgetting those that left makes no difference.
type table struct {
	records map[string]record
	buckets [bucketCount]uint64
	hash    uint64
	// version rises with each change.
	version uint64
	// unsettled names the processes that are suspected, have failed or left.
	unsettled map[string]bool
	// servers names the processes by their backend server.
	servers map[string][]string
}

func newTable() table {
	return table{records: map[string]record{}, unsettled: map[string]bool{}, servers: map[string][]string{}}
}

// clone returns a table that shares the records.
func (t *table) clone() table {
	next := *t
	next.records = maps.Clone(t.records)
	next.unsettled = maps.Clone(t.unsettled)
	next.servers = maps.Clone(t.servers)
	return next
}

// ended returns records of processes that failed or left, a bounded number.
func (t *table) ended() []*peerpb.Process {
	var found []*peerpb.Process
	for name := range t.unsettled {
		if process := t.get(name); !isPresent(process.GetState()) && len(found) < sentEnded {
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
	t.toggle(known)
	t.index(known.process, process)
	known.process, known.since = process, now
	t.records[name] = known
	t.toggle(known)
	t.version++
}

func (t *table) remove(name string) {
	t.toggle(t.records[name])
	t.index(t.records[name].process, nil)
	delete(t.records, name)
	t.version++
}

// index keeps the names of unsettled processes and those by server.
func (t *table) index(old, next *peerpb.Process) {
	delete(t.unsettled, old.GetName())
	if next != nil && severity(next.GetState()) > 0 {
		t.unsettled[next.GetName()] = true
	}
	if old.GetServer() == next.GetServer() {
		return
	}
	if server := old.GetServer(); server != "" {
		// The slices may be shared with a clone, so they are never changed in place.
		t.servers[server] = without(t.servers[server], old.GetName())
		if len(t.servers[server]) == 0 {
			delete(t.servers, server)
		}
	}
	if server := next.GetServer(); server != "" {
		t.servers[server] = append(slices.Clip(t.servers[server]), next.GetName())
	}
}

func without(names []string, gone string) []string {
	var left []string
	for _, name := range names {
		if name != gone {
			left = append(left, name)
		}
	}
	return left
}

// toggle takes a record into the hashes, or out of them.
func (t *table) toggle(known record) {
	if known.process == nil || !isPresent(known.process.GetState()) {
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

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}

// complete returns process with what a short form leaves out, taken from the
// known record; nil if that can't be done.
func complete(process, known *peerpb.Process) *peerpb.Process {
	if process.GetAddress() != "" || isLocal(process) {
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

// shorten returns the form of a record that tells the state only: the other
// side knows the rest.
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

// isLocal tells a record without an address whose process has not begun to
// listen, as in its own table, from a short form.
func isLocal(process *peerpb.Process) bool {
	return process.GetRole() != peerpb.Role_ROLE_UNSPECIFIED
}

func isNewer(process, known *peerpb.Process) bool {
	if process.GetIncarnation() != known.GetIncarnation() {
		return process.GetIncarnation() > known.GetIncarnation()
	}
	if process.GetVersion() != known.GetVersion() {
		return process.GetVersion() > known.GetVersion()
	}
	return severity(process.GetState()) > severity(known.GetState())
}

// severity orders what others say of one version of a record: a suspicion goes
// before the process's own word, a failure before a suspicion. The process
// answers by raising its version.
func severity(state peerpb.State) int {
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

// hasExpired reports whether a process failed or left so long ago that it is
// forgotten. The time comes with the record: were it counted from when each
// process learnt of it, they would remind each other for ever.
func hasExpired(process *peerpb.Process, now time.Time) bool {
	return !isPresent(process.GetState()) && now.Sub(time.Unix(process.GetEnded(), 0)) >= forgetTime
}

func endedAt(state peerpb.State, now time.Time) int64 {
	if isPresent(state) {
		return 0
	}
	return now.Unix()
}

func isPresent(state peerpb.State) bool {
	return state != peerpb.State_STATE_LEFT && state != peerpb.State_STATE_FAILED
}
