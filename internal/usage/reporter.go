package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
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
	// KeyPrefix is the key prefix of closed windows in the store.
	KeyPrefix = "usage/"
	// maxCatchUp limits the windows closed one by one after an outage. Counts of older
	// windows become late figures of the first window closed.
	maxCatchUp = 48
	// maxDeletes limits the expired windows deleted in one round.
	maxDeletes = 4
)

// SupersededError reports that a newer reporter has written a window.
type SupersededError struct {
	Window int64
	Fence  uint64
	Newer  uint64
}

// Error names the window and both fencing tokens.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("usage: window %d: term %d is superseded by %d", e.Window, e.Fence, e.Newer)
}

// TermEndedError reports that a term ended before a report was sent.
type TermEndedError struct {
	Fence uint64
}

// Error names the term.
func (e *TermEndedError) Error() string {
	return "usage: term " + strconv.FormatUint(e.Fence, 10) + " has ended"
}

// Platform provides the platform's store and usage reports to a Reporter.
type Platform interface {
	Delete(ctx context.Context, key string, expect uint64) error
	Get(ctx context.Context, key string) (platform.Value, error)
	List(ctx context.Context, prefix string) (platform.ListReply, error)
	Report(ctx context.Context, usage platform.Usage, guard func() error) error
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error)
}

// Reporter closes usage windows and reports them. Exported fields are set before Run.
//
// The figures of a window are stored once, before they are reported, and every
// reporter of the window sends the stored figures. A reporter writes its fencing
// token to the window before it sends, which stops every earlier reporter. Its
// first report waits until no report of an earlier reporter can be in flight.
//
// Windows are reported in order, and the newest reported window is never deleted. No
// window up to it is closed or reported again, whatever the store shows of it: a write
// that creates a window may be executed long after its timeout, and creates the window
// anew if its key has been deleted by then.
type Reporter struct {
	Process   string
	Platform  Platform
	Collector *Collector
	// Offer distributes a fact to the other processes.
	Offer     func(fact *peerpb.Fact) bool
	Decisions *decision.Log
	// Window is the length of a usage window.
	Window time.Duration
	// Settle is the delay between the end of a window and its closing.
	Settle time.Duration
	// MaxLateness is how long after its window a count is still accepted, as a late figure.
	MaxLateness time.Duration
	// WindowRetention is how long closed windows stay in the store.
	WindowRetention time.Duration
	// Interval is the time between two rounds.
	Interval time.Duration
	// Lease is the duration of the duty's lease.
	Lease time.Duration
	// ReportTimeout is the longest time that a report may be in flight.
	ReportTimeout time.Duration
	// Fenced is set if the platform rejects reports with an old fencing token.
	Fenced bool
	// Now returns the wall clock time that decides when windows end; nil means time.Now.
	Now func() time.Time

	term           *duty.Term
	earliestReport time.Time
	windows        map[int64]storedWindow
}

// storedWindow is a window as the store holds it.
type storedWindow struct {
	window   *statepb.Window
	revision uint64
	// isUnreadable is true if the value can't be decoded. Such a window may have been reported.
	isUnreadable bool
}

// WindowKey returns the key of a window in the store.
func WindowKey(start int64) string { return KeyPrefix + strconv.FormatInt(start, 10) }

// ParseWindow decodes the value of a window's key.
func ParseWindow(value platform.Value) (*statepb.Window, error) {
	window := &statepb.Window{}
	return window, eris.Wrap(proto.Unmarshal(value.Data, window), "read "+value.Key)
}

// Run closes and reports windows until the term ends.
func (r *Reporter) Run(ctx context.Context, term *duty.Term) error {
	r.term = term
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		err := r.runRound(ctx)
		if isTermOver(err) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			klog.Warningf("usage: closing and reporting windows failed: %v", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func isTermOver(err error) bool {
	var superseded *SupersededError
	var ended *TermEndedError
	return errors.As(err, &superseded) || errors.As(err, &ended)
}

func (r *Reporter) runRound(ctx context.Context) error {
	if r.windows == nil {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	now := r.now()
	for _, start := range r.dueWindows(now) {
		if err := r.closeAndReport(ctx, start); err != nil {
			return err
		}
		if !r.windows[start].window.GetReported() {
			return nil
		}
	}
	return r.deleteExpired(ctx, now)
}

func (r *Reporter) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

// load reads all windows from the store.
func (r *Reporter) load(ctx context.Context) error {
	reply, err := r.Platform.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	klog.InfoS("usage: windows listed", "count", len(reply.Values), "revision", reply.Revision, "term", r.term.Fence())
	windows := map[int64]storedWindow{}
	for _, key := range reply.Unreadable {
		recordUnreadable(windows, platform.Value{Key: key})
	}
	for _, value := range reply.Values {
		window, err := ParseWindow(value)
		if err != nil {
			klog.ErrorS(err, "usage: a stored window can't be decoded and isn't reported", "key", value.Key, "revision", value.Revision)
			recordUnreadable(windows, value)
			continue
		}
		if err := r.checkFence(window); err != nil {
			return err
		}
		windows[window.GetStart()] = storedWindow{window: window, revision: value.Revision}
	}
	r.windows = windows
	newest := r.newestReported()
	for start, stored := range windows {
		if !stored.isUnreadable && !stored.window.GetReported() {
			klog.InfoS("usage: a stored window is not reported", "window", start, "writtenInTerm", stored.window.GetFence(), "revision", stored.revision, "newestReported", newest, "ignored", start < newest)
		}
	}
	return nil
}

// recordUnreadable records a window whose value can't be decoded. Its key tells its start.
func recordUnreadable(windows map[int64]storedWindow, value platform.Value) {
	start, err := strconv.ParseInt(strings.TrimPrefix(value.Key, KeyPrefix), 10, 64)
	if err != nil {
		return
	}
	windows[start] = storedWindow{revision: value.Revision, isUnreadable: true}
}

// noWindow is the start of the newest reported window if none is reported.
const noWindow = math.MinInt64

// newestReported returns the start of the newest window that is marked as reported, or noWindow.
func (r *Reporter) newestReported() int64 {
	newest := int64(noWindow)
	for start, stored := range r.windows {
		if stored.window.GetReported() {
			newest = max(newest, start)
		}
	}
	return newest
}

// checkFence returns an error if a newer reporter wrote the window. If an earlier
// reporter wrote the window and the platform does not reject late reports of that
// reporter, checkFence delays the first report.
func (r *Reporter) checkFence(window *statepb.Window) error {
	own, other := r.term.Fence(), window.GetFence()
	if other > own {
		return &SupersededError{Window: window.GetStart(), Fence: own, Newer: other}
	}
	if other < own && r.earliestReport.IsZero() && !r.Fenced {
		r.earliestReport = time.Now().Add(r.Lease + r.ReportTimeout)
	}
	return nil
}

// dueWindows returns the windows to close and report, oldest first.
func (r *Reporter) dueWindows(now time.Time) []int64 {
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
	for start := max(next, oldest, r.newestReported()+length); start <= newest; start += length {
		if !r.windows[start].isUnreadable {
			due = append(due, start)
		}
	}
	return due
}

// closeAndReport closes and reports a window, without the steps that were done before.
func (r *Reporter) closeAndReport(ctx context.Context, start int64) error {
	if r.windows[start].window == nil {
		if err := r.closeWindow(ctx, start); err != nil {
			return err
		}
	}
	window := r.windows[start].window
	if window == nil || window.GetReported() || time.Now().Before(r.earliestReport) {
		return nil
	}
	return r.report(ctx, window)
}

// closeWindow stores the figures of a window. If processes don't answer, it waits
// for another Settle before it closes the window without them; their counts
// become late figures.
func (r *Reporter) closeWindow(ctx context.Context, start int64) error {
	length := max(int64(r.Window/time.Second), 1)
	counts, unreachable := r.Collector.Collect(ctx, start-int64(r.MaxLateness/time.Second), start+length)
	deadline := time.Unix(start+length, 0).Add(2 * r.Settle)
	if len(unreachable) > 0 && r.now().Before(deadline) {
		return nil
	}
	window := statepb.Window_builder{
		Start:   start,
		Length:  length,
		Figures: CloseWindow(start, counts, r.closedWindows()),
		Fence:   r.term.Fence(),
	}.Build()
	if err := r.write(ctx, window); err != nil {
		return err
	}
	r.Decisions.Record(decisionID(start), "usage", "closed by %s with %d figures, no answer from [%s]",
		r.Process, len(window.GetFigures()), strings.Join(unreachable, " "))
	return nil
}

func (r *Reporter) closedWindows() []*statepb.Window {
	var closed []*statepb.Window
	for _, stored := range r.windows {
		if stored.window != nil {
			closed = append(closed, stored.window)
		}
	}
	return closed
}

// report sends the stored figures and marks the window as reported.
func (r *Reporter) report(ctx context.Context, window *statepb.Window) error {
	start := window.GetStart()
	if window.GetFence() != r.term.Fence() {
		if err := r.update(ctx, window, func(next *statepb.Window) { next.SetFence(r.term.Fence()) }); err != nil {
			return err
		}
	}
	if err := r.send(ctx, r.windows[start].window); err != nil {
		return err
	}
	r.Decisions.Record(decisionID(start), "usage", "reported by %s, term %d", r.Process, r.term.Fence())
	if err := r.update(ctx, r.windows[start].window, func(next *statepb.Window) { next.SetReported(true) }); err != nil {
		return err
	}
	r.Offer(NewReported(start, r.windows[start].revision))
	return nil
}

func (r *Reporter) send(ctx context.Context, window *statepb.Window) error {
	deadline := time.Now().Add(r.ReportTimeout)
	guard := func() error {
		now := time.Now()
		if !r.term.Valid(now) || !now.Before(deadline) {
			return &TermEndedError{Fence: r.term.Fence()}
		}
		return nil
	}
	if err := guard(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := r.Platform.Report(ctx, newPlatformUsage(window, r.Process), guard)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		// The platform has received a report of a newer term; this term must send no
		// more.
		return &SupersededError{Window: window.GetStart(), Fence: r.term.Fence(), Newer: conflict.Revision}
	}
	return err
}

func newPlatformUsage(window *statepb.Window, process string) platform.Usage {
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

// update writes a changed copy of a stored window.
func (r *Reporter) update(ctx context.Context, window *statepb.Window, change func(*statepb.Window)) error {
	next, ok := proto.Clone(window).(*statepb.Window)
	if !ok {
		return eris.New("usage: copy window: unexpected type")
	}
	change(next)
	return r.write(ctx, next)
}

// write writes a window with compare-and-swap. After an error it reads the window
// again, since the write may have succeeded although its response was lost.
func (r *Reporter) write(ctx context.Context, window *statepb.Window) error {
	start := window.GetStart()
	data, err := proto.Marshal(window)
	if err != nil {
		return eris.Wrap(err, "encode usage window")
	}
	revision, err := r.Platform.CompareAndSwap(ctx, WindowKey(start), r.windows[start].revision, data, 0)
	if err != nil {
		return errors.Join(err, r.reload(ctx, start))
	}
	r.windows[start] = storedWindow{window: window, revision: revision}
	return nil
}

func (r *Reporter) reload(ctx context.Context, start int64) error {
	value, err := r.Platform.Get(ctx, WindowKey(start))
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		// The stored state is unknown: the next round loads all windows again.
		r.windows = nil
		return err
	}
	window, err := ParseWindow(value)
	if err != nil {
		return err
	}
	if err := r.checkFence(window); err != nil {
		return err
	}
	r.windows[start] = storedWindow{window: window, revision: value.Revision}
	return nil
}

// deleteExpired deletes windows before the newest reported one that are too old for late figures.
func (r *Reporter) deleteExpired(ctx context.Context, now time.Time) error {
	oldest := now.Add(-max(r.WindowRetention, r.MaxLateness+2*r.Window+2*r.Settle)).Unix()
	deleted, reported := 0, r.newestReported()
	for start, stored := range r.windows {
		if start >= oldest || start >= reported || deleted == maxDeletes || stored.revision == 0 {
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

// decisionID returns the identity of a window in the decision log.
func decisionID(start int64) string { return WindowKey(start) }
