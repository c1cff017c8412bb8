package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// DutyName is the name of the reporter's duty.
	DutyName = "usage"
	// KeyPrefix of the store's keys of closed windows.
	KeyPrefix = "usage/"
	// maxCatchUp bounds the windows closed one by one after an outage; counts of
	// older ones are late figures of the first.
	maxCatchUp = 48
	// maxDeletes bounds the old windows deleted in one round.
	maxDeletes = 4
)

// SupersededError says that a newer reporter has taken a window.
type SupersededError struct {
	Window int64
	Fence  uint64
	Newer  uint64
}

// Error names the window and both fencing numbers.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("usage: window %d: term %d is superseded by %d", e.Window, e.Fence, e.Newer)
}

// TermEndedError says that a term ended before a report was sent.
type TermEndedError struct {
	Fence uint64
}

// Error names the term.
func (e *TermEndedError) Error() string {
	return "usage: term " + strconv.FormatUint(e.Fence, 10) + " has ended"
}

// Platform is what a Reporter needs of the platform.
type Platform interface {
	Delete(ctx context.Context, key string, expect uint64) error
	Get(ctx context.Context, key string) (platform.Value, error)
	List(ctx context.Context, prefix string) (platform.ListReply, error)
	Report(ctx context.Context, usage platform.Usage, guard func() error) error
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// Reporter closes usage windows and reports them. Exported fields are set before Run.
//
// The figures of a window are written to the store once, before they are
// reported; whoever reports the window sends those figures. A reporter writes
// its fencing number to the window before it sends, which ends every earlier
// reporter, and its first report waits until none of an earlier one can be
// under way.
type Reporter struct {
	Process   string
	Platform  Platform
	Collector *Collector
	// Offer gives a fact to the other processes.
	Offer     func(fact *peerpb.Fact) bool
	Decisions *decision.Log
	// Window is the length of a usage window.
	Window time.Duration
	// Settle is the wait after a window's end before it is closed.
	Settle time.Duration
	// Retain is how long after its window a count may still come in, as a late figure.
	Retain time.Duration
	// Keep is how long closed windows stay in the store.
	Keep time.Duration
	// Interval is the time between two rounds.
	Interval time.Duration
	// Lease is the length of the duty's lease.
	Lease time.Duration
	// ReportTimeout is the longest time that a report may be under way.
	ReportTimeout time.Duration
	// Fenced says that the platform refuses reports with an old fencing number.
	Fenced bool
	// Now tells the time of day by which windows end; nil takes time.Now.
	Now func() time.Time

	term    *duty.Term
	ready   time.Time
	windows map[int64]stored
}

// stored is a window as the store holds it.
type stored struct {
	window   *statepb.Window
	revision uint64
}

// WindowKey returns the store's key of a window.
func WindowKey(start int64) string { return KeyPrefix + strconv.FormatInt(start, 10) }

// ParseWindow reads the value of a window's key.
func ParseWindow(value platform.Value) (*statepb.Window, error) {
	window := &statepb.Window{}
	return window, eris.Wrap(proto.Unmarshal(value.Data, window), "read "+value.Key)
}

// Run does the duty until its term ends.
func (r *Reporter) Run(ctx context.Context, term *duty.Term) error {
	r.term = term
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		err := r.round(ctx)
		if isOver(err) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			klog.Warningf("usage: %v", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func isOver(err error) bool {
	var superseded *SupersededError
	var ended *TermEndedError
	return errors.As(err, &superseded) || errors.As(err, &ended)
}

func (r *Reporter) round(ctx context.Context) error {
	if r.windows == nil {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	for _, start := range r.due(r.now()) {
		if err := r.settle(ctx, start); err != nil {
			return err
		}
		if !r.windows[start].window.GetReported() {
			return nil
		}
	}
	return r.deleteOld(ctx, r.now())
}

func (r *Reporter) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

// load reads all windows.
func (r *Reporter) load(ctx context.Context) error {
	reply, err := r.Platform.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	windows := map[int64]stored{}
	for _, value := range reply.Values {
		window, err := ParseWindow(value)
		if err != nil {
			return err
		}
		if err := r.check(window); err != nil {
			return err
		}
		windows[window.GetStart()] = stored{window: window, revision: value.Revision}
	}
	r.windows = windows
	return nil
}

// check ends the term if a newer reporter wrote the window, and makes the first
// report wait if an earlier one did and the platform would take its late report.
func (r *Reporter) check(window *statepb.Window) error {
	own, other := r.term.Fence(), window.GetFence()
	if other > own {
		return &SupersededError{Window: window.GetStart(), Fence: own, Newer: other}
	}
	if other < own && r.ready.IsZero() && !r.Fenced {
		r.ready = time.Now().Add(r.Lease + r.ReportTimeout)
	}
	return nil
}

// due returns the windows that should be closed and reported by now, oldest first.
func (r *Reporter) due(now time.Time) []int64 {
	length := max(int64(r.Window/time.Second), 1)
	newest := WindowStart(now.Add(-r.Settle), r.Window) - length
	next := newest
	for start, stored := range r.windows {
		if !stored.window.GetReported() {
			next = min(next, start)
		}
	}
	if len(r.windows) > 0 {
		next = min(next, slices.Max(slices.Collect(maps.Keys(r.windows)))+length)
	}
	oldest := newest - maxCatchUp*length
	var due []int64
	for start := max(next, oldest); start <= newest; start += length {
		due = append(due, start)
	}
	return due
}

// settle closes a window if it is not closed, and reports it if it is not reported.
func (r *Reporter) settle(ctx context.Context, start int64) error {
	if r.windows[start].window == nil {
		if err := r.close(ctx, start); err != nil {
			return err
		}
	}
	window := r.windows[start].window
	if window == nil || window.GetReported() || time.Now().Before(r.ready) {
		return nil
	}
	return r.report(ctx, window)
}

// close writes the figures of a window. Processes that don't answer get a
// second settling time; after that their counts are late.
func (r *Reporter) close(ctx context.Context, start int64) error {
	length := max(int64(r.Window/time.Second), 1)
	counts, silent := r.Collector.Collect(ctx, start-int64(r.Retain/time.Second), start+length)
	patience := time.Unix(start+length, 0).Add(2 * r.Settle)
	if len(silent) > 0 && r.now().Before(patience) {
		return nil
	}
	window := statepb.Window_builder{
		Start:   start,
		Length:  length,
		Figures: CloseWindow(start, counts, r.closed()),
		Fence:   r.term.Fence(),
	}.Build()
	if err := r.swap(ctx, window); err != nil {
		return err
	}
	r.Decisions.Record(id(start), "usage", "closed by %s with %d figures, no answer from [%s]",
		r.Process, len(window.GetFigures()), strings.Join(silent, " "))
	return nil
}

func (r *Reporter) closed() []*statepb.Window {
	var closed []*statepb.Window
	for _, stored := range r.windows {
		if stored.window != nil {
			closed = append(closed, stored.window)
		}
	}
	return closed
}

// report sends the figures that the store holds and marks the window.
func (r *Reporter) report(ctx context.Context, window *statepb.Window) error {
	start := window.GetStart()
	if window.GetFence() != r.term.Fence() {
		if err := r.change(ctx, window, func(next *statepb.Window) { next.SetFence(r.term.Fence()) }); err != nil {
			return err
		}
	}
	if err := r.send(ctx, r.windows[start].window); err != nil {
		return err
	}
	r.Decisions.Record(id(start), "usage", "reported by %s, term %d", r.Process, r.term.Fence())
	if err := r.change(ctx, r.windows[start].window, func(next *statepb.Window) { next.SetReported(true) }); err != nil {
		return err
	}
	r.Offer(NewReported(start, r.windows[start].revision))
	return nil
}

func (r *Reporter) send(ctx context.Context, window *statepb.Window) error {
	until := time.Now().Add(r.ReportTimeout)
	guard := func() error {
		now := time.Now()
		if !r.term.Valid(now) || !now.Before(until) {
			return &TermEndedError{Fence: r.term.Fence()}
		}
		return nil
	}
	if err := guard(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	err := r.Platform.Report(ctx, message(window, r.Process), guard)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		// The platform has seen a newer term; this one must not call again.
		return &SupersededError{Window: window.GetStart(), Fence: r.term.Fence(), Newer: conflict.Revision}
	}
	return err
}

func message(window *statepb.Window, process string) platform.Usage {
	usage := platform.Usage{Start: window.GetStart(), Length: window.GetLength(), Fence: window.GetFence(), From: process}
	for _, figure := range window.GetFigures() {
		usage.Figures = append(usage.Figures, platform.Figure{
			Account:      figure.GetAccount(),
			Pool:         figure.GetPool(),
			Requests:     figure.GetRequests(),
			PromptTokens: figure.GetPromptTokens(),
			OutputTokens: figure.GetOutputTokens(),
			Late:         figure.GetLate(),
		})
	}
	return usage
}

// change writes a changed copy of a window that the store holds.
func (r *Reporter) change(ctx context.Context, window *statepb.Window, change func(*statepb.Window)) error {
	next, ok := proto.Clone(window).(*statepb.Window)
	if !ok {
		return eris.New("usage: a window can't be copied")
	}
	change(next)
	return r.swap(ctx, next)
}

// swap writes a window. After an error it takes what the store holds by then,
// since the write may have taken effect although its answer was lost.
func (r *Reporter) swap(ctx context.Context, window *statepb.Window) error {
	start := window.GetStart()
	data, err := proto.Marshal(window)
	if err != nil {
		return eris.Wrap(err, "encode window")
	}
	revision, err := r.Platform.CompareAndSwap(ctx, WindowKey(start), r.windows[start].revision, data, 0)
	if err != nil {
		return errors.Join(err, r.read(ctx, start))
	}
	r.windows[start] = stored{window: window, revision: revision}
	return nil
}

func (r *Reporter) read(ctx context.Context, start int64) error {
	value, err := r.Platform.Get(ctx, WindowKey(start))
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		// What the store holds is not known: read everything again.
		r.windows = nil
		return err
	}
	window, err := ParseWindow(value)
	if err != nil {
		return err
	}
	if err := r.check(window); err != nil {
		return err
	}
	r.windows[start] = stored{window: window, revision: value.Revision}
	return nil
}

// deleteOld deletes windows that no late figure can belong to any more.
func (r *Reporter) deleteOld(ctx context.Context, now time.Time) error {
	oldest := now.Add(-max(r.Keep, r.Retain+2*r.Window+2*r.Settle)).Unix()
	deleted := 0
	for start, stored := range r.windows {
		if start >= oldest || !stored.window.GetReported() || deleted == maxDeletes {
			continue
		}
		if err := r.Platform.Delete(ctx, WindowKey(start), stored.revision); err != nil {
			return err
		}
		delete(r.windows, start)
		deleted++
	}
	return nil
}

// id is the identity under which decisions about a window are kept.
func id(start int64) string { return WindowKey(start) }
