package duty

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// maxCandidates bounds the processes that poll the store for one duty, so that the number of
	// calls doesn't grow with the number of processes.
	maxCandidates = 3
	// renewalsPerLease is how often a lease is renewed within its length.
	renewalsPerLease = 4
	// pollsPerLease is how often another candidate polls within a lease's length.
	pollsPerLease = 2
	// releaseTimeout bounds the store calls that release a duty.
	releaseTimeout = 2 * time.Second
	// maxCreationDelay is how much earlier than the key its lease may begin. A holder needs longer than that from
	// having its key until its first act.
	maxCreationDelay = 50 * time.Millisecond
	// minLeaseLength is the shortest lease that the store is known to grant.
	minLeaseLength = time.Second
)

// WorkFunc performs a duty until its context ends, which is no later than the end of the term. A
// nil error within the term means that the duty has nothing left to do.
type WorkFunc func(ctx context.Context, term *Term) error

// Elector takes part in one duty for a process: it acquires the duty when nobody holds it, runs the
// work during the term, and releases the duty. Exported fields are set before Run.
type Elector struct {
	Store Store
	// Name is the name of the duty.
	Name    string
	Process string
	Address string
	// Lease is the length of the store's lease.
	Lease time.Duration
	// Margin is how much earlier a term ends locally than in the store.
	Margin time.Duration
	// Prefix is the prefix of the duty's store key; "" means the package constant Prefix.
	Prefix string
	// IsFree reports whether nobody holds the duty, if that is known without asking the store;
	// nil asks the store.
	IsFree func() bool
	// PriorClaim returns the claim of an earlier start of this process on the duty; nil means no
	// claim.
	PriorClaim func() PriorClaim
	// PollInterval is the time between two polls of a duty that another process holds; 0 means
	// half of the lease.
	PollInterval time.Duration
	// Rank returns this process's position among the candidates; nil means 0.
	Rank func() int
	// IsStopping reports whether this process was asked to stop. It then acquires no duty: its short term would keep its
	// key, and the duty would have no holder for up to a lease. nil means never.
	IsStopping func() bool
	// OnHeld is called when the duty is acquired and released; it may be nil.
	OnHeld    func(name string, held bool)
	Decisions *decision.Log

	// boot reads the clock that counts suspensions; nil means clock.Now.
	boot func() clock.Boot

	// hasHeld is true once this start of the process has held the duty.
	hasHeld bool
	// revision is the revision of the duty's key in the current term.
	revision uint64
	// heldSince is when this process learned that it has the duty's key. It may have had the key for longer, so a hold
	// that is counted from here is never too short.
	heldSince time.Time
	// retained is the revision of the key that this process kept when it ended a term early, 0 if there is none.
	retained uint64
	// creationDelay is the time from the grant of the lease to the creation of the key.
	creationDelay time.Duration
}

// PriorClaim is the claim that an earlier start of a process still has on a duty; the zero value
// means no claim.
type PriorClaim struct {
	// Revision of the duty's key.
	Revision uint64
	// Fence of the term; 0 starts a new term.
	Fence uint64
}

// Run takes part until the context ends or the work has nothing left to do.
func (e *Elector) Run(ctx context.Context, work WorkFunc) error {
	for ctx.Err() == nil {
		term, lease := e.acquire(ctx)
		if term == nil {
			pause.For(ctx, e.pollInterval())
			continue
		}
		term, err := e.serve(ctx, term, lease, work)
		if err == nil && ctx.Err() == nil && term.Valid(time.Now()) {
			return nil
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			e.Decisions.Record(e.Name, "duty", "%s failed in its term %d: %v", e.Process, term.Fence(), err)
		}
		pause.For(ctx, e.pollInterval())
	}
	return nil
}

func (e *Elector) pollInterval() time.Duration {
	if e.PollInterval > 0 {
		return e.PollInterval
	}
	return e.Lease / pollsPerLease
}

// key returns the store's key of the duty.
func (e *Elector) key() string {
	if e.Prefix != "" {
		return e.Prefix + e.Name
	}
	return Key(e.Name)
}

// acquire returns a term and its lease if the duty was free, else nil.
func (e *Elector) acquire(ctx context.Context) (*Term, uint64) {
	if e.isStopping() {
		return nil, 0
	}
	rank, prior := e.rank(), e.claim()
	if prior.Revision == 0 {
		if rank >= maxCandidates || !e.isFree(ctx) {
			return nil, 0
		}
		pause.For(ctx, time.Duration(rank)*e.Lease/(2*renewalsPerLease))
		if e.isStopping() {
			return nil, 0
		}
	}
	sent := e.moment()
	lease, err := e.Store.GrantLease(ctx, e.Lease)
	if err != nil {
		return nil, 0
	}
	until := sent.at.Add(e.Lease - e.Margin)
	isRetained := e.retained != 0
	e.retained = 0
	revision, err := e.writeHolder(ctx, prior, lease, until)
	if err != nil {
		return nil, 0
	}
	fence := revision
	if prior.Fence != 0 {
		fence = prior.Fence
	}
	if !isRetained {
		e.heldSince = time.Now()
	}
	e.revision, e.creationDelay = revision, time.Since(sent.at)
	e.Decisions.Record(e.Name, "duty", "%s holds it, term %d, candidate %d", e.Process, fence, rank)
	e.hasHeld = true
	return e.newTerm(fence, until, sent), lease
}

// moment returns the present time on both clocks.
func (e *Elector) moment() moment { return moment{at: time.Now(), boot: e.readBoot()} }

func (e *Elector) readBoot() clock.Boot {
	if e.boot == nil {
		return clock.Now()
	}
	return e.boot()
}

func (e *Elector) newTerm(fence uint64, until time.Time, sent moment) *Term {
	return newTermSince(fence, until, sent, e.readBoot)
}

func (e *Elector) isStopping() bool { return e.IsStopping != nil && e.IsStopping() }

// claim returns the claim of this process on the duty, by a key that it retained when it ended a term or by an earlier
// start. A term under a retained key gets a new fencing token, since the work of the term before has failed.
func (e *Elector) claim() PriorClaim {
	if e.retained != 0 {
		return PriorClaim{Revision: e.retained}
	}
	return e.claimOfEarlierStart()
}

// claimOfEarlierStart returns the claim that an earlier start of this process still has on the
// duty.
//
// Without this claim, a process that was killed and restarted would wait for its own lease to
// expire. After all processes had ended at once, no weights were loaded for the length of the
// lease, and the steps requested meanwhile waited for samplers. The earlier start no longer runs,
// since this start has its address. Its term is resumed under the same fence, so that its late
// calls don't count as calls of an earlier holder. Under a new fence, the process must first pause
// its calls to a platform that accepts such late calls, and usage windows were reported too late. A
// term that this start has held is only resumed by the method resume.
func (e *Elector) claimOfEarlierStart() PriorClaim {
	if e.PriorClaim == nil || e.hasHeld {
		return PriorClaim{}
	}
	return e.PriorClaim()
}

func (e *Elector) rank() int {
	if e.Rank == nil {
		return 0
	}
	return e.Rank()
}

func (e *Elector) isFree(ctx context.Context) bool {
	if e.IsFree != nil {
		return e.IsFree()
	}
	_, err := e.Store.Get(ctx, e.key())
	var missing *platform.NotFoundError
	return errors.As(err, &missing)
}

// writeHolder creates the duty's key, or replaces the key left by an earlier start, and returns its
// revision, which is the fence of a new term.
//
// The answer may be lost after the change took effect; giving up then would leave the duty without
// a holder for a whole lease. Only this process knows the lease's number, so a key bound to that
// lease was written by this process.
func (e *Elector) writeHolder(ctx context.Context, prior PriorClaim, lease uint64, until time.Time) (uint64, error) {
	data, err := e.encodeHolder(prior.Fence)
	if err != nil {
		return 0, err
	}
	revision, err := e.Store.CompareAndSwap(ctx, e.key(), prior.Revision, data, lease)
	var unavailable *platform.UnavailableError
	for errors.As(err, &unavailable) && ctx.Err() == nil && time.Now().Before(until) {
		pause.For(ctx, e.Lease/(2*renewalsPerLease))
		revision, err = e.readRevision(ctx, lease)
	}
	return revision, err
}

// encodeHolder returns the value of the duty's key. The fence of a new term is the revision that
// the key gets, so the value holds a fence only for a resumed term.
func (e *Elector) encodeHolder(fence uint64) ([]byte, error) {
	holder := statepb.Holder_builder{
		Process: e.Process,
		Fence:   fence,
		Since:   time.Now().Unix(),
		Lease:   e.Lease.Milliseconds(),
		Address: e.Address,
	}.Build()
	data, err := proto.Marshal(holder)
	return data, eris.Wrap(err, "encode holder")
}

func (e *Elector) readRevision(ctx context.Context, lease uint64) (uint64, error) {
	value, err := e.Store.Get(ctx, e.key())
	if err != nil {
		return 0, err
	}
	if value.Lease != lease {
		return 0, &platform.ConflictError{Key: value.Key, Revision: value.Revision}
	}
	return value.Revision, nil
}

// serve runs the work in a term and in all further terms under the same lease, then releases the
// duty. It returns the last term.
func (e *Elector) serve(ctx context.Context, term *Term, lease uint64, work WorkFunc) (*Term, error) {
	for {
		hasExpired, err := e.runTerm(ctx, term, lease, work)
		if !hasExpired || ctx.Err() != nil {
			e.release(term)
			return term, err
		}
		next := e.resume(ctx, term, lease)
		if next == nil {
			return term, err
		}
		term = next
	}
}

// resume returns a new term under the lease of an expired term, nil if the lease or the context has
// ended.
//
// A store may stop the clocks of its leases while it is unavailable. If that takes longer than a
// term, a holder without resume would wait for its own lease to expire, like all other processes,
// and the duty wouldn't be done for another lease. If the lease is valid and the key is unchanged,
// nobody else has held the duty, so the holder continues under its own fence.
func (e *Elector) resume(ctx context.Context, term *Term, lease uint64) *Term {
	for ctx.Err() == nil {
		sent := e.moment()
		err := e.Store.RenewLease(ctx, lease, e.Lease)
		var revision uint64
		if err == nil {
			revision, err = e.readRevision(ctx, lease)
		}
		switch {
		case err == nil && revision == e.revision:
			e.Decisions.Record(e.Name, "duty", "%s goes on with term %d, its lease stands", e.Process, term.Fence())
			return e.newTerm(term.Fence(), sent.at.Add(e.Lease-e.Margin), sent)
		case err == nil, isLeaseGone(err):
			e.Decisions.Record(e.Name, "duty", "term %d has run out and its lease has ended", term.Fence())
			return nil
		}
		pause.For(ctx, e.Lease/(2*renewalsPerLease))
	}
	e.release(term)
	return nil
}

// isLeaseGone reports whether a store error means that a lease or its key no longer exists.
func isLeaseGone(err error) bool {
	var missing *platform.NotFoundError
	var conflict *platform.ConflictError
	return errors.As(err, &missing) || errors.As(err, &conflict)
}

// runTerm runs the work until the term ends, and reports whether the term expired while the state
// of its lease was unknown. It returns only after the work has returned, so that a successor never
// runs at the same time.
func (e *Elector) runTerm(ctx context.Context, term *Term, lease uint64, work WorkFunc) (hasExpired bool, err error) {
	e.notifyHeld(true)
	defer e.notifyHeld(false)
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed, expired := make(chan struct{}), make(chan bool, 1)
	go func() {
		defer close(renewed)
		e.renew(workCtx, term, lease, cancel)
	}()
	go func() { expired <- endAtExpiry(workCtx, term, cancel) }()
	err = work(workCtx, term)
	cancel()
	<-renewed
	return <-expired, err
}

func (e *Elector) notifyHeld(held bool) {
	if e.OnHeld != nil {
		e.OnHeld(e.Name, held)
	}
}

// renew extends the lease until the context ends or the lease no longer exists. A term is counted
// from before the renewal is sent: the lease may run in the store from any moment after that, and
// the answer may arrive late.
//
// If the key was created long after the lease was granted, the first renewal is sent at once. The previous holder may
// have acted until the creation: if this process died, the key would expire less than a lease after that.
func (e *Elector) renew(ctx context.Context, term *Term, lease uint64, cancel func()) {
	isDue := e.creationDelay > maxCreationDelay
	for isDue || pause.For(ctx, e.Lease/renewalsPerLease) {
		isDue = false
		sent := e.moment()
		err := e.Store.RenewLease(ctx, lease, e.Lease)
		var gone *platform.NotFoundError
		switch {
		case err == nil:
			term.extend(sent.at.Add(e.Lease-e.Margin), sent)
		case errors.As(err, &gone):
			e.Decisions.Record(e.Name, "duty", "the lease of term %d has lapsed", term.Fence())
			term.End()
			cancel()
			return
		}
	}
}

// endAtExpiry stops the work when the term expires, and reports whether the term expired. It also
// ends the term permanently, since a renewal's late answer would otherwise extend the term while
// its work is being stopped.
func endAtExpiry(ctx context.Context, term *Term, cancel func()) bool {
	for pause.For(ctx, time.Until(term.Until())) {
		if !term.Valid(time.Now()) {
			isLapsed := !term.Until().IsZero()
			term.End()
			cancel()
			return isLapsed
		}
	}
	return false
}

// release ends the term, and deletes the duty's key if this process has had the key for a lease.
//
// The previous holder may have acted until this process created the key. If it got the duty back within a lease of that,
// the two would seem to take turns, and receivers that check no fencing tokens can't tell this from two holders at once.
// So a younger key expires a lease after it was acquired. Until then only this process, which is the same holder, may
// have the duty: after its work has failed, or after a restart where PriorClaim is set.
func (e *Elector) release(term *Term) {
	term.End()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var err error
	left := e.Lease - time.Since(e.heldSince)
	if left > 0 {
		err = e.retainKey(ctx, term, left)
	} else {
		err = e.Store.Delete(ctx, e.key(), e.revision)
	}
	switch {
	case err != nil:
		e.Decisions.Record(e.Name, "duty", "term %d was not given up, its lease will lapse: %v", term.Fence(), err)
	case left > 0:
		e.Decisions.Record(e.Name, "duty", "%s has ended term %d; its key keeps other processes out for %s", e.Process, term.Fence(), left)
	default:
		e.Decisions.Record(e.Name, "duty", "%s has given up term %d", e.Process, term.Fence())
	}
}

// retainKey keeps the duty's key for a time. It binds the key to a new lease, since the present one may have been renewed
// just now and would keep the key for longer.
func (e *Elector) retainKey(ctx context.Context, term *Term, length time.Duration) error {
	data, err := e.encodeHolder(term.Fence())
	if err != nil {
		return err
	}
	lease, err := e.Store.GrantLease(ctx, max(length, minLeaseLength))
	if err != nil {
		return err
	}
	e.retained, err = e.Store.CompareAndSwap(ctx, e.key(), e.revision, data, lease)
	return err
}
