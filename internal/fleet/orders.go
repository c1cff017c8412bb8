package fleet

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Actions of an order.
const (
	ActionStart = "start"
	ActionStop  = "stop"
)

// States of an order.
const (
	orderIntended = "intended"
	orderDone     = "done"
	orderRefused  = "refused"
)

const (
	orderPrefix = "order/"
	// maxOrders is the maximum number of orders stored in a zone's key. Orders without an outcome
	// are stored beyond the maximum.
	maxOrders = 32
	// readBackPause is the delay before the store is read again.
	readBackPause = 200 * time.Millisecond
)

// SupersededError reports that a newer holder has written a zone's orders.
type SupersededError struct {
	Zone  string
	Fence uint64
	Newer uint64
}

// Error returns a message with the zone and both fencing tokens.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("order: zone %s: term %d is superseded by %d", e.Zone, e.Fence, e.Newer)
}

// TermEndedError reports that a term ended before an order was sent.
type TermEndedError struct {
	Zone  string
	Fence uint64
}

// Error returns a message with the zone and the term.
func (e *TermEndedError) Error() string {
	return "order: zone " + e.Zone + ": term " + strconv.FormatUint(e.Fence, 10) + " has ended"
}

// OrderPlatform is the part of the platform that an Orderer needs.
type OrderPlatform interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Order(ctx context.Context, order platform.Order, guard func() error) error
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// Term is the period during which a process holds a zone's duty.
type Term interface {
	Fence() uint64
	Until() time.Time
	Valid(now time.Time) bool
}

// Orderer sends a zone's orders during one term.
// Exported fields are set before Begin. It is not safe for concurrent use.
//
// Four guards prevent orders of a superseded term: the intent of an order is written by
// compare-and-swap, which fails once a newer holder has written; the term is checked immediately
// before the order is sent; the order carries the fencing token and an expiry time; and a successor
// waits until no earlier order can be in flight.
type Orderer struct {
	Zone      string
	Process   string
	Platform  OrderPlatform
	Term      Term
	Decisions *decision.Log
	// Lease is the length of the duty's lease.
	Lease time.Duration
	// Bound is the maximum time that an order may be in flight.
	Bound time.Duration

	orders   *statepb.Orders
	revision uint64
	ready    time.Time
}

// Begin makes this term the newest of the zone. Unless the zone had no earlier term, the first
// order waits until no order of an earlier term can be in flight.
//
// The wait is needed for receivers that check neither the fencing token nor the expiry time: an
// earlier holder may have been paused between its last check and its write to the connection.
func (o *Orderer) Begin(ctx context.Context) error {
	if err := o.read(ctx); err != nil {
		return err
	}
	earlier := o.orders.GetFence()
	if err := o.write(ctx, func(*statepb.Orders) {}); err != nil {
		return err
	}
	if earlier != 0 {
		o.ready = time.Now().Add(o.Lease + o.Bound)
		o.Decisions.Record(o.Zone, "order", "term %d waits %s for orders of term %d", o.Term.Fence(), o.Lease+o.Bound, earlier)
	}
	return nil
}

// Pending returns the orders whose outcome is unknown.
func (o *Orderer) Pending() []*statepb.Order {
	var pending []*statepb.Order
	for _, order := range o.orders.GetOrders() {
		if order.GetState() == orderIntended {
			pending = append(pending, order)
		}
	}
	return pending
}

// New returns an order for a server. If server is empty, as for a start, New generates
// its ID.
func (o *Orderer) New(action, pool, server, reason string) *statepb.Order {
	id := fmt.Sprintf("%s-%d", o.Zone, o.orders.GetNumber()+1)
	if server == "" {
		server = pool + "-" + id
	}
	return statepb.Order_builder{Id: id, Zone: o.Zone, Pool: pool, Action: action, Server: server, Reason: reason}.Build()
}

// Ready reports whether Send sends without waiting.
func (o *Orderer) Ready() bool { return !time.Now().Before(o.ready) }

// Send sends an order, or resends a pending one. The platform carries out an order ID only once, so
// an order whose answer was lost is resent with the same ID, in this or a later term.
func (o *Orderer) Send(ctx context.Context, order *statepb.Order) error {
	if !pause.For(ctx, time.Until(o.ready)) {
		return ctx.Err()
	}
	order.SetState(orderIntended)
	order.SetFence(o.Term.Fence())
	order.SetTime(time.Now().Unix())
	if err := o.write(ctx, func(orders *statepb.Orders) { putOrder(orders, order) }); err != nil {
		return err
	}
	err := o.send(ctx, order)
	state := orderState(err)
	o.Decisions.Record(order.GetId(), "order", "%s %s of pool %s by term %d: %s, now %s (%v)",
		order.GetAction(), order.GetServer(), order.GetPool(), order.GetFence(), order.GetReason(), state, err)
	if state == orderIntended {
		return err
	}
	order.SetState(state)
	return errors.Join(err, o.write(ctx, func(orders *statepb.Orders) { putOrder(orders, order) }))
}

// send sends an order to the platform. It checks the term first, and again immediately before the
// request is written.
func (o *Orderer) send(ctx context.Context, order *statepb.Order) error {
	until := time.Now().Add(o.Bound)
	if end := o.Term.Until(); end.Before(until) {
		until = end
	}
	guard := func() error {
		now := time.Now()
		if !o.Term.Valid(now) || !now.Before(until) {
			return &TermEndedError{Zone: o.Zone, Fence: o.Term.Fence()}
		}
		return nil
	}
	if err := guard(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return o.Platform.Order(ctx, platform.Order{
		ID:       order.GetId(),
		Zone:     order.GetZone(),
		Pool:     order.GetPool(),
		Action:   order.GetAction(),
		Server:   order.GetServer(),
		Fence:    order.GetFence(),
		NotAfter: until.UnixMilli(),
		From:     o.Process,
	}, guard)
}

// orderState returns the state of an order after an attempt to send it.
func orderState(err error) string {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return orderDone
	case errors.As(err, &conflict):
		return orderRefused
	default:
		return orderIntended
	}
}

// putOrder replaces the order with the same ID or adds it. Beyond maxOrders, it drops
// the oldest orders that have an outcome.
func putOrder(orders *statepb.Orders, order *statepb.Order) {
	kept := []*statepb.Order{}
	for _, known := range orders.GetOrders() {
		if known.GetId() == order.GetId() {
			continue
		}
		kept = append(kept, known)
	}
	if len(kept) == len(orders.GetOrders()) {
		orders.SetNumber(orders.GetNumber() + 1)
	}
	kept = append(kept, order)
	for i := 0; len(kept) > maxOrders && i < len(kept); {
		if kept[i].GetState() == orderIntended {
			i++
			continue
		}
		kept = append(kept[:i], kept[i+1:]...)
	}
	orders.SetOrders(kept)
}

func (o *Orderer) read(ctx context.Context) error {
	value, err := o.Platform.Get(ctx, orderPrefix+o.Zone)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		o.orders, o.revision = &statepb.Orders{}, 0
		return nil
	}
	if err != nil {
		return err
	}
	orders := &statepb.Orders{}
	if err := proto.Unmarshal(value.Data, orders); err != nil {
		return eris.Wrap(err, "read "+value.Key)
	}
	o.orders, o.revision = orders, value.Revision
	return nil
}

// write changes the zone's orders under this term's fence.
//
// Only holders of the zone's duty write the key. So an unexpected revision is either this term's
// last write, whose answer was lost, or a write of another term. A write of a newer term ends this
// term.
func (o *Orderer) write(ctx context.Context, change func(*statepb.Orders)) error {
	for {
		if o.orders.GetFence() > o.Term.Fence() {
			return &SupersededError{Zone: o.Zone, Fence: o.Term.Fence(), Newer: o.orders.GetFence()}
		}
		if !o.Term.Valid(time.Now()) {
			return &TermEndedError{Zone: o.Zone, Fence: o.Term.Fence()}
		}
		err := o.swap(ctx, change)
		if err == nil {
			return nil
		}
		if !pause.For(ctx, readBackPause) {
			return ctx.Err()
		}
		if err := o.readBack(ctx); err != nil {
			return err
		}
	}
}

func (o *Orderer) swap(ctx context.Context, change func(*statepb.Orders)) error {
	next, ok := proto.Clone(o.orders).(*statepb.Orders)
	if !ok {
		next = &statepb.Orders{}
	}
	change(next)
	next.SetFence(o.Term.Fence())
	data, err := proto.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode orders")
	}
	revision, err := o.Platform.CompareAndSwap(ctx, orderPrefix+o.Zone, o.revision, data, 0)
	if err != nil {
		return err
	}
	o.orders, o.revision = next, revision
	return nil
}

// readBack reads the key until the store answers or the term ends.
func (o *Orderer) readBack(ctx context.Context) error {
	for {
		err := o.read(ctx)
		if err == nil {
			return nil
		}
		if !o.Term.Valid(time.Now()) {
			return err
		}
		if !pause.For(ctx, readBackPause) {
			return ctx.Err()
		}
	}
}
