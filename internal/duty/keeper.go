package duty

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// maxCandidates bounds the processes that ask the store about one duty, so
	// that its calls don't grow with the processes.
	maxCandidates = 3
	// renewals is how often a lease is renewed within its length.
	renewals = 4
	// polls is how often another candidate looks within a lease's length.
	polls = 2
	// releaseTimeout bounds the wait for the store when a duty is given up.
	releaseTimeout = 2 * time.Second
)

// WorkFunc does a duty until its context ends, which it does at the end of the term.
// A nil error within the term says that the duty has nothing left to do.
type WorkFunc func(ctx context.Context, term *Term) error

// Elector takes part in one duty for a process: it takes it when it is free,
// works while it holds it, and gives it up. Exported fields are set before Run.
type Elector struct {
	Store Store
	// Name of the duty.
	Name    string
	Process string
	Address string
	// Lease is the length of the store's lease.
	Lease time.Duration
	// Margin is how much earlier a term ends here than in the store.
	Margin time.Duration
	// Prefix of the duty's key; "" takes the package's.
	Prefix string
	// IsFree reports whether nobody holds the duty, where that is known without
	// asking the store; nil asks it.
	IsFree func() bool
	// PriorClaim returns what an earlier start of this process holds; nil is nothing.
	PriorClaim func() PriorClaim
	// PollInterval is the wait between two looks at a duty that another process holds; 0
	// takes a half of the lease.
	PollInterval time.Duration
	// Rank returns this process's place among the candidates; nil is 0.
	Rank func() int
	// OnHeld is told when the duty is taken and given up; nil is allowed.
	OnHeld      func(name string, held bool)
	Decisions *decision.Log

	// hasHeld is true once this start of the process has held the duty.
	hasHeld bool
	// revision is that of the duty's key in the present term.
	revision uint64
}

// PriorClaim is what an earlier start of a process has left of a duty; its zero value is nothing.
type PriorClaim struct {
	// Revision of the duty's key.
	Revision uint64
	// Fence of the term.
	Fence uint64
}

// Run takes part until the context ends or the work has nothing left to do.
func (k *Elector) Run(ctx context.Context, work WorkFunc) error {
	for ctx.Err() == nil {
		term, lease := k.take(ctx)
		if term == nil {
			pause.For(ctx, k.look())
			continue
		}
		term, err := k.serve(ctx, term, lease, work)
		if err == nil && ctx.Err() == nil && term.Valid(time.Now()) {
			return nil
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			k.Decisions.Record(k.Name, "duty", "%s failed in its term %d: %v", k.Process, term.Fence(), err)
		}
		pause.For(ctx, k.look())
	}
	return nil
}

func (k *Elector) look() time.Duration {
	if k.PollInterval > 0 {
		return k.PollInterval
	}
	return k.Lease / polls
}

// key returns the store's key of the duty.
func (k *Elector) key() string {
	if k.Prefix != "" {
		return k.Prefix + k.Name
	}
	return Key(k.Name)
}

// take returns a term if the duty was free and is now held here.
func (k *Elector) take(ctx context.Context) (*Term, uint64) {
	rank, left := k.rank(), k.left()
	if left.Revision == 0 {
		if rank >= maxCandidates || !k.isFree(ctx) {
			return nil, 0
		}
		pause.For(ctx, time.Duration(rank)*k.Lease/(2*renewals))
	}
	sent := time.Now()
	lease, err := k.Store.GrantLease(ctx, k.Lease)
	if err != nil {
		return nil, 0
	}
	until := sent.Add(k.Lease - k.Margin)
	revision, err := k.write(ctx, left, lease, until)
	if err != nil {
		return nil, 0
	}
	fence := revision
	if left.Revision != 0 {
		fence = left.Fence
	}
	k.revision = revision
	k.Decisions.Record(k.Name, "duty", "%s holds it, term %d, candidate %d", k.Process, fence, rank)
	k.hasHeld = true
	return NewTerm(fence, until), lease
}

// left returns what an earlier start of this process has left of the duty.
//
// A process that was killed and is back would wait for its own lease to lapse. All
// processes ended at once, no weights were loaded for the length of the lease, and the
// steps that were asked meanwhile waited for samplers. The start before is gone
// for good: this one has its address. Its term goes on under its fence, so that a
// call of it that is done late is no call of an earlier holder; under a new fence
// a platform that takes such calls has to be left alone for a while first, and usage
// windows were reported too late. A term that this start has had goes on by regain,
// or not at all.
func (k *Elector) left() PriorClaim {
	if k.PriorClaim == nil || k.hasHeld {
		return PriorClaim{}
	}
	return k.PriorClaim()
}

func (k *Elector) rank() int {
	if k.Rank == nil {
		return 0
	}
	return k.Rank()
}

func (k *Elector) isFree(ctx context.Context) bool {
	if k.IsFree != nil {
		return k.IsFree()
	}
	_, err := k.Store.Get(ctx, k.key())
	var missing *platform.NotFoundError
	return errors.As(err, &missing)
}

// write creates the duty's key, or replaces the one that was left, and returns its
// revision, which is the fence of a new term.
//
// The answer may be lost after the change took effect; giving up then would
// leave the duty held by nobody for a whole lease. The lease's number is known
// to this process alone, so a key that carries it is its own write.
func (k *Elector) write(ctx context.Context, left PriorClaim, lease uint64, until time.Time) (uint64, error) {
	data, err := k.holder(left.Fence)
	if err != nil {
		return 0, err
	}
	revision, err := k.Store.CompareAndSwap(ctx, k.key(), left.Revision, data, lease)
	var lost *platform.UnavailableError
	for errors.As(err, &lost) && ctx.Err() == nil && time.Now().Before(until) {
		pause.For(ctx, k.Lease/(2*renewals))
		revision, err = k.readBack(ctx, lease)
	}
	return revision, err
}

// holder returns the value of the duty's key. A new term's fence is the revision
// that the key gets, so only that of a term that goes on is in it.
func (k *Elector) holder(fence uint64) ([]byte, error) {
	holder := statepb.Holder_builder{
		Process: k.Process,
		Fence:   fence,
		Since:   time.Now().Unix(),
		Lease:   k.Lease.Milliseconds(),
		Address: k.Address,
	}.Build()
	data, err := proto.Marshal(holder)
	return data, eris.Wrap(err, "encode holder")
}

func (k *Elector) readBack(ctx context.Context, lease uint64) (uint64, error) {
	value, err := k.Store.Get(ctx, k.key())
	if err != nil {
		return 0, err
	}
	if value.Lease != lease {
		return 0, &platform.ConflictError{Key: value.Key, Revision: value.Revision}
	}
	return value.Revision, nil
}

// serve works through a term and all that follow it under the same lease, then
// gives the duty up. It returns the last term.
func (k *Elector) serve(ctx context.Context, term *Term, lease uint64, work WorkFunc) (*Term, error) {
	for {
		hasRunOut, err := k.hold(ctx, term, lease, work)
		if !hasRunOut || ctx.Err() != nil {
			k.release(term)
			return term, err
		}
		next := k.regain(ctx, term, lease)
		if next == nil {
			return term, err
		}
		term = next
	}
}

// regain returns a term that goes on under the lease of one that has run out; nil
// if the lease has ended or the context has.
//
// The store was away for longer than a term, and may count no lease meanwhile. The
// holder then waited, as all others did, for its own lease to lapse, and nothing of
// the duty was done for a lease more. As long as the lease stands, and the key with
// it, nobody else has held the duty; so the holder goes on under its own fence.
func (k *Elector) regain(ctx context.Context, term *Term, lease uint64) *Term {
	for ctx.Err() == nil {
		sent := time.Now()
		err := k.Store.RenewLease(ctx, lease, k.Lease)
		var revision uint64
		if err == nil {
			revision, err = k.readBack(ctx, lease)
		}
		switch {
		case err == nil && revision == k.revision:
			k.Decisions.Record(k.Name, "duty", "%s goes on with term %d, its lease stands", k.Process, term.Fence())
			return NewTerm(term.Fence(), sent.Add(k.Lease-k.Margin))
		case err == nil, isOver(err):
			k.Decisions.Record(k.Name, "duty", "term %d has run out and its lease has ended", term.Fence())
			return nil
		}
		pause.For(ctx, k.Lease/(2*renewals))
	}
	k.release(term)
	return nil
}

// isOver reports whether an answer of the store says that a lease or its key has gone.
func isOver(err error) bool {
	var missing *platform.NotFoundError
	var conflict *platform.ConflictError
	return errors.As(err, &missing) || errors.As(err, &conflict)
}

// hold works until the term ends, and reports whether it has run out with nothing
// known of its lease. It returns only once the work has, so that a successor never
// meets it.
func (k *Elector) hold(ctx context.Context, term *Term, lease uint64, work WorkFunc) (hasRunOut bool, err error) {
	k.tell(true)
	defer k.tell(false)
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed, watched := make(chan struct{}), make(chan bool, 1)
	go func() {
		defer close(renewed)
		k.renew(working, term, lease, cancel)
	}()
	go func() { watched <- watch(working, term, cancel) }()
	err = work(working, term)
	cancel()
	<-renewed
	return <-watched, err
}

func (k *Elector) tell(held bool) {
	if k.OnHeld != nil {
		k.OnHeld(k.Name, held)
	}
}

// renew lengthens the lease until the context ends or the lease is gone.
// A term is counted from before the renewal is sent: the store may have counted
// the lease from any moment since, and an answer may come late.
func (k *Elector) renew(ctx context.Context, term *Term, lease uint64, cancel func()) {
	for pause.For(ctx, k.Lease/renewals) {
		sent := time.Now()
		err := k.Store.RenewLease(ctx, lease, k.Lease)
		var gone *platform.NotFoundError
		switch {
		case err == nil:
			term.extend(sent.Add(k.Lease - k.Margin))
		case errors.As(err, &gone):
			k.Decisions.Record(k.Name, "duty", "the lease of term %d has lapsed", term.Fence())
			term.End()
			cancel()
			return
		}
	}
}

// watch ends the work at the end of the term, and reports whether it did. The term
// is ended for good, since a renewal's answer that comes after that would otherwise
// revive it under work that is being ended.
func watch(ctx context.Context, term *Term, cancel func()) bool {
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

// release removes the duty's key if it is still this term's.
func (k *Elector) release(term *Term) {
	term.End()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := k.Store.Delete(ctx, k.key(), k.revision); err != nil {
		k.Decisions.Record(k.Name, "duty", "term %d was not given up, its lease will lapse: %v", term.Fence(), err)
		return
	}
	k.Decisions.Record(k.Name, "duty", "%s has given up term %d", k.Process, term.Fence())
}
