// Package poison quarantines requests that crash each backend server that runs them.
//
// The bound on the attempts of one request doesn't stop such a request: each copy that a caller sends is a new request
// with attempts of its own. So gateways count, by the contents of requests, the servers that crashed while they ran one,
// and share the counts through the store. Once a request has crashed maxCrashes servers, no gateway sends a copy, except
// for a few trials.
package poison

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// CodeQuarantined is the refusal code of quarantined requests.
const CodeQuarantined = "quarantined"

// maxSuspects bounds the suspects that a process remembers.
const maxSuspects = 4096

// Store is the part of the platform's store that a Quarantine uses.
type Store interface {
	GrantLease(ctx context.Context, length time.Duration) (uint64, error)
	Commit(ctx context.Context, commit platform.Commit) (uint64, error)
}

// Quarantine holds the suspects that this process knows. Exported fields are set before the first call. It is safe for
// concurrent use. A nil Quarantine admits all requests.
type Quarantine struct {
	Store Store
	// Prefix is the prefix of the suspects' store keys.
	Prefix string
	// Metrics registers the metrics; nil leaves them unregistered.
	Metrics prometheus.Registerer

	// now is the clock; nil means clock.Now.
	now func() clock.Boot

	mutex    sync.Mutex
	suspects map[string]*suspect
	// watched is the newest revision that the watch of the store has shown.
	watched uint64
	lease   lease
	wake    chan struct{}
	metrics *metrics
}

// Track returns the tracker of the copy of a request that has an ID. The identity must not change until the tracker is
// closed.
func (q *Quarantine) Track(id string, identity Identity) *Tracker {
	return &Tracker{quarantine: q, id: id, identity: identity}
}

// ApplyChanges updates the suspects from the changes that a watch of the store has shown, in their order.
func (q *Quarantine) ApplyChanges(changes []platform.Value) {
	q.lock()
	defer q.mutex.Unlock()
	for _, change := range changes {
		if fingerprint, ok := strings.CutPrefix(change.Key, q.Prefix); ok {
			q.apply(fingerprint, change)
		}
		q.watched = max(q.watched, change.Revision)
	}
}

// applyOwn updates a suspect from the result of a call of this process. A result that the watch has overtaken is
// ignored: the key may have been removed since, which the watch won't show again. The mutex is held.
func (q *Quarantine) applyOwn(change platform.Value) {
	if change.Revision > q.watched {
		q.apply(strings.TrimPrefix(change.Key, q.Prefix), change)
	}
}

// apply updates a suspect from a change of its key. The mutex is held.
func (q *Quarantine) apply(fingerprint string, change platform.Value) {
	known := q.suspects[fingerprint]
	if known != nil && change.Revision <= known.revision {
		return
	}
	if change.Deleted {
		q.applyRemoval(fingerprint)
		return
	}
	state := &statepb.Suspect{}
	if err := proto.Unmarshal(change.Data, state); err != nil {
		klog.ErrorS(err, "poison: decoding a suspect failed", "key", change.Key)
		return
	}
	if known == nil {
		known = q.add(fingerprint)
	}
	wasQuarantined := known.isQuarantined()
	known.merge(state, change.Revision, change.Lease, q.now())
	explain(q.suspects)
	q.logQuarantine(fingerprint, known, wasQuarantined)
	if known.needsWrite() {
		q.notify()
	}
}

// applyRemoval updates a suspect whose key has expired, or was removed after an answer. The mutex is held.
func (q *Quarantine) applyRemoval(fingerprint string) {
	known := q.suspects[fingerprint]
	if known == nil || known.revision == 0 {
		return
	}
	klog.InfoS("poison: request is no longer suspected", "fingerprint", fingerprint, "crashed", known.stored, "trials", known.trials)
	known.removeStored()
	q.dropIfOver(fingerprint)
	explain(q.suspects)
}

// dropIfOver forgets a suspect if nothing is left of it. The mutex is held.
func (q *Quarantine) dropIfOver(fingerprint string) {
	if known := q.suspects[fingerprint]; known != nil && known.isOver(q.now()) {
		delete(q.suspects, fingerprint)
	}
}

// add adds a suspect without crashes. The mutex is held.
func (q *Quarantine) add(fingerprint string) *suspect {
	if len(q.suspects) >= maxSuspects {
		q.evict()
	}
	added := &suspect{fingerprint: fingerprint}
	q.suspects[fingerprint] = added
	return added
}

// evict forgets the suspect with the oldest change, quarantined ones last. The mutex is held.
func (q *Quarantine) evict() {
	var oldest string
	for fingerprint, each := range q.suspects {
		if oldest == "" || each.isOlder(q.suspects[oldest]) {
			oldest = fingerprint
		}
	}
	klog.InfoS("poison: forgetting a suspect because there are too many", "fingerprint", oldest, "max", maxSuspects)
	delete(q.suspects, oldest)
}

// logQuarantine logs that a suspect has just been quarantined. The mutex is held.
func (q *Quarantine) logQuarantine(fingerprint string, suspect *suspect, wasQuarantined bool) {
	if suspect.isQuarantined() && !wasQuarantined {
		klog.InfoS("poison: request quarantined", "fingerprint", fingerprint, "crashed", suspect.servers, "trials", suspect.trials)
	}
}

// recordCrash records that a server crashed while it ran a copy of a request, which was sent at a time.
func (q *Quarantine) recordCrash(id, fingerprint, server string, sentAt clock.Boot) {
	q.lock()
	defer q.mutex.Unlock()
	known := q.suspects[fingerprint]
	if known == nil {
		known = q.add(fingerprint)
	}
	wasQuarantined := known.isQuarantined()
	if !known.recordCrash(server, sentAt, q.now()) {
		return
	}
	explain(q.suspects)
	q.metrics.crashes.Inc()
	klog.InfoS("poison: server crashed while it ran the request", "id", id, "fingerprint", fingerprint, "server", server, "crashed", len(known.servers))
	q.logQuarantine(fingerprint, known, wasQuarantined)
	q.notify()
}

// recordAnswer records that a server has answered a copy of a request.
func (q *Quarantine) recordAnswer(identity func() string) {
	q.lock()
	defer q.mutex.Unlock()
	if len(q.suspects) == 0 {
		return
	}
	fingerprint := identity()
	known := q.suspects[fingerprint]
	if known == nil || len(known.servers) == 0 {
		return
	}
	klog.V(1).InfoS("poison: a server has answered the suspected request", "fingerprint", fingerprint, "crashed", known.servers, "trials", known.trials)
	known.recordAnswer()
	q.dropIfOver(fingerprint)
	explain(q.suspects)
	q.notify()
}

// recordUnanswered records that a copy under which servers crashed has ended without an answer.
func (q *Quarantine) recordUnanswered(fingerprint string) {
	q.lock()
	defer q.mutex.Unlock()
	if known := q.suspects[fingerprint]; known != nil {
		known.isUnanswered = true
		q.notify()
	}
}

// heldFor returns the time until a copy may be sent, or sent on trial.
func (q *Quarantine) heldFor(identity func() string) time.Duration {
	q.lock()
	defer q.mutex.Unlock()
	if len(q.suspects) == 0 {
		return 0
	}
	known := q.suspects[identity()]
	if known == nil || !known.isQuarantined() {
		return 0
	}
	return known.untilTrial(q.now())
}

// admit returns nil if a copy may be sent, else a *refusal.Error. It reports whether the copy is sent on trial.
func (q *Quarantine) admit(ctx context.Context, identity func() string) (isTrial bool, err error) {
	q.lock()
	if len(q.suspects) == 0 {
		q.mutex.Unlock()
		return false, nil
	}
	fingerprint := identity()
	known := q.suspects[fingerprint]
	if known == nil || !known.isQuarantined() {
		q.mutex.Unlock()
		return false, nil
	}
	if wait := known.untilTrial(q.now()); wait > 0 {
		q.mutex.Unlock()
		return false, q.refuse(fingerprint, wait)
	}
	claim := trialClaim{state: known.state(known.trials + 1), revision: known.revision, lease: known.lease}
	known.isClaiming = true
	q.mutex.Unlock()
	err = q.claimTrial(ctx, fingerprint, claim)
	q.lock()
	known.isClaiming = false
	if err != nil {
		known.claimFailedAt = q.now()
	}
	q.mutex.Unlock()
	if err != nil {
		klog.InfoS("poison: claiming a trial of the quarantined request failed", "fingerprint", fingerprint, "err", err.Error())
		return false, q.refuse(fingerprint, trialRetryDelay)
	}
	return true, nil
}

func (q *Quarantine) refuse(fingerprint string, wait time.Duration) error {
	q.metrics.refused.Inc()
	return refusal.NotRun(http.StatusServiceUnavailable, CodeQuarantined, "request %s has crashed backend servers", fingerprint).WithRetryAfter(wait)
}

// errNotStored means that a trial can't be claimed because the suspect isn't in the store yet.
var errNotStored = errors.New("poison: the suspect is not in the store yet")

// trialClaim is the claim of the next trial of a suspect.
type trialClaim struct {
	state    *statepb.Suspect
	revision uint64
	lease    uint64
}

// claimTrial makes this copy the one that is sent in the next trial. Of all gateways one succeeds, since each expects the
// revision at which the trial was due.
func (q *Quarantine) claimTrial(ctx context.Context, fingerprint string, claim trialClaim) error {
	if claim.revision == 0 {
		return errNotStored
	}
	data, err := proto.Marshal(claim.state)
	if err != nil {
		return err
	}
	key := q.Prefix + fingerprint
	commit := platform.Commit{
		Expect: []platform.Expect{{Key: key, Revision: claim.revision}},
		Writes: []platform.Write{{Key: key, Data: data, Lease: claim.lease}},
	}
	revision, err := q.Store.Commit(ctx, commit)
	if err != nil {
		q.applyError(commit, err)
		return err
	}
	klog.InfoS("poison: sending a copy of the quarantined request on trial", "fingerprint", fingerprint, "trial", claim.state.GetTrials())
	q.metrics.trials.Inc()
	q.applyCommit(commit, revision)
	return nil
}

// lock locks the mutex and initializes the quarantine on first use.
func (q *Quarantine) lock() {
	q.mutex.Lock()
	if q.suspects != nil {
		return
	}
	if q.now == nil {
		q.now = clock.Now
	}
	q.suspects = map[string]*suspect{}
	q.wake = make(chan struct{}, 1)
	q.metrics = newMetrics(q.Metrics, q.countQuarantined)
}

// suspicionTime returns the present time, or 0 while there is no suspect: all crashes are learned later then, and the
// clock isn't read for each request.
func (q *Quarantine) suspicionTime() clock.Boot {
	q.lock()
	defer q.mutex.Unlock()
	if len(q.suspects) == 0 {
		return 0
	}
	return q.now()
}

// notify wakes up Run. The mutex is held.
func (q *Quarantine) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Quarantine) countQuarantined() float64 {
	q.lock()
	defer q.mutex.Unlock()
	count := 0
	for _, each := range q.suspects {
		if each.isQuarantined() {
			count++
		}
	}
	return float64(count)
}
