package usage_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// start runs a reporter in a term and returns a function that stops it and waits for its end.
func start(t *testing.T, reporter *usage.Reporter, fence uint64) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_ = reporter.Run(ctx, duty.NewTerm(fence, time.Now().Add(24*time.Hour)))
		close(ended)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// fences are the fencing tokens of the reporters in these tests.
var fences = map[string]uint64{"e1": 1, "e2": 2}

// billed returns the number of reported requests, and counts each window once.
func billed(t *testing.T, reports []platform.Usage) uint64 {
	t.Helper()
	windows := map[int64]platform.Usage{}
	var fence, sum uint64
	for _, report := range reports {
		must.GreaterEq(t, fence, report.Fence)
		fence = report.Fence
		must.Eq(t, fences[report.From], report.Fence)
		known, again := windows[report.Start]
		windows[report.Start] = report
		if again {
			must.Eq(t, known.Figures, report.Figures)
			continue
		}
		for _, figure := range report.Figures {
			sum += figure.Requests
		}
	}
	return sum
}

// countResponse counts a response and stores copies of the counters at the replicas.
func countResponse(fleet *fleet, counter *usage.Counter, replicas ...string) {
	counts := counter.Add("a", "m", time.Now(), 10, 20)
	for _, replica := range replicas {
		fleet.ledgers[replica].Merge(counts)
	}
}

func TestReportsEachWindowOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		stop := start(t, newReporter(fleet, fleet, "e1"), 1)
		counter := newCounter()
		for range 30 {
			countResponse(fleet, counter, "e1", "e2")
			time.Sleep(length / 10)
		}
		time.Sleep(2 * length)
		stop()
		must.Eq(t, uint64(30), billed(t, fleet.receivedReports()))
	})
}

// Guards against billing a window twice with different figures: a reporter
// crashes between two steps, and its successor, which collects newer counts,
// reports the window again. The successor must send the stored figures, and the
// newer counts must appear once, in a later window.
func TestReporterCrashAtEachStep(t *testing.T) {
	for step := 1; step <= 24; step++ {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
			counter := newCounter()
			countResponse(fleet, counter, "e1")
			first := &crashingPlatform{fleet: fleet, crashAt: step}
			ctx, cancel := context.WithCancel(t.Context())
			first.cancel = cancel
			ended := make(chan error, 1)
			go func() {
				ended <- newReporter(fleet, first, "e1").Run(ctx, duty.NewTerm(1, time.Now().Add(time.Hour)))
			}()
			time.Sleep(length + 2*settle)
			late := counter.Add("a", "m", time.Now().Add(-length), 1, 1)
			fleet.ledgers["e2"].Merge(late)
			time.Sleep(length)
			cancel()
			<-ended
			stop := start(t, newReporter(fleet, fleet, "e2"), 2)
			time.Sleep(3 * length)
			stop()
			must.Eq(t, uint64(2), billed(t, fleet.receivedReports()), must.Sprintf("crashed at step %d", step))
		})
	}
}

// Guards against two reports of one window with different figures: a reporter
// pauses after collecting, and its successor collects more. The second write
// must fail and stop its reporter.
func TestTwoReporters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		counter := newCounter()
		countResponse(fleet, counter, "e1")
		stopFirst := start(t, newReporter(fleet, fleet, "e1"), 1)
		stopSecond := start(t, newReporter(fleet, fleet, "e2"), 2)
		for range 60 {
			countResponse(fleet, counter, "e1", "e2")
			time.Sleep(length / 10)
		}
		time.Sleep(2 * length)
		stopFirst()
		stopSecond()
		must.Eq(t, uint64(61), billed(t, fleet.receivedReports()))
	})
}

// delayedPlatform holds up the write that creates a window: the reporter gets no answer, and the store executes the
// write later.
type delayedPlatform struct {
	*fleet

	window int64
	// execute executes the write; nil until the reporter has sent it.
	execute func() error
}

func (d *delayedPlatform) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	if key != usage.WindowKey(d.window) || expect != 0 {
		return d.fleet.CompareAndSwap(ctx, key, expect, data, lease)
	}
	if d.execute == nil {
		d.execute = func() error {
			_, err := d.fleet.CompareAndSwap(context.Background(), key, expect, data, lease)
			return err
		}
	}
	return 0, errUnreachable
}

// mustReportEachWindowOnce checks that no window was reported with two sets of figures.
func mustReportEachWindowOnce(t *testing.T, reports []platform.Usage) {
	t.Helper()
	known := map[int64][]platform.Figure{}
	for _, report := range reports {
		figures, again := known[report.Start]
		must.True(t, !again || slices.Equal(figures, report.Figures), must.Sprintf("window %d was reported with %v and %v", report.Start, figures, report.Figures))
		known[report.Start] = report.Figures
	}
}

// Guards against a window that is reported again with other figures, because a delayed write creates its key after the
// window was reported and its key deleted. Windows after it whose keys are deleted must not be reported again either.
func TestDelayedWriteCreatesADeletedWindow(t *testing.T) {
	for name, executedAfter := range map[string]time.Duration{
		"right after the deletion":          80 * time.Minute,
		"after later windows were deleted":  90 * time.Minute,
		"long after the deletion":           5 * time.Hour,
		"before the deletion, without harm": 10 * time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
				counter := newCounter()
				window := usage.WindowStart(time.Now(), length)
				countResponse(fleet, counter, "e1")
				first := &delayedPlatform{fleet: fleet, window: window}
				stop := start(t, newReporter(fleet, first, "e1"), 1)
				time.Sleep(length + 2*settle)
				stop()
				must.NotNil(t, first.execute)
				fleet.ledgers["e2"].Merge(counter.Add("a", "m", time.Unix(window, 0), 1, 1))
				stop = start(t, newReporter(fleet, fleet, "e2"), 2)
				time.Sleep(executedAfter)
				stop()
				err := first.execute()
				if executedAfter > time.Hour {
					must.NoError(t, err)
				} else {
					must.Error(t, err)
				}
				for term := range 3 {
					stop = start(t, newReporter(fleet, fleet, "e2"), uint64(3+term))
					time.Sleep(3 * length)
					stop()
				}
				mustReportEachWindowOnce(t, fleet.receivedReports())
				_, err = fleet.Get(t.Context(), usage.WindowKey(window))
				must.Eq(t, executedAfter <= time.Hour, err == nil)
			})
		})
	}
}

// Guards against a window that is reported again with other figures, because the clock of a new reporter is so far behind
// that a window whose key is deleted seems to be due.
func TestClockBehindDeletedWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		counter := newCounter()
		stop := start(t, newReporter(fleet, fleet, "e1"), 1)
		for range 80 {
			countResponse(fleet, counter, "e1")
			time.Sleep(length)
		}
		stop()
		const lag = 70 * time.Minute
		fleet.ledgers["e2"].Merge(counter.Add("a", "m", time.Now().Add(-lag-2*length), 1, 1))
		behind := newReporter(fleet, fleet, "e2")
		behind.Now = func() time.Time { return time.Now().Add(-lag) }
		stop = start(t, behind, 2)
		time.Sleep(3 * length)
		stop()
		mustReportEachWindowOnce(t, fleet.receivedReports())
	})
}

// markUnreported makes a stored window one whose report got no answer.
func markUnreported(t *testing.T, fleet *fleet, start int64) {
	t.Helper()
	value, err := fleet.Get(t.Context(), usage.WindowKey(start))
	must.NoError(t, err)
	window, err := usage.ParseWindow(value)
	must.NoError(t, err)
	window.SetReported(false)
	data, err := proto.Marshal(window)
	must.NoError(t, err)
	_, err = fleet.Commit(t.Context(), platform.Commit{Writes: []platform.Write{{Key: value.Key, Data: data}}})
	must.NoError(t, err)
}

// Guards against a stored window that can't be decoded and ends all reports, or is reported again with other
// figures.
func TestUnreadableWindow(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, fleet *fleet, key string){
		"by the store's client": func(_ *testing.T, fleet *fleet, key string) { fleet.SetUnreadable(key, true) },
		"by the reporter": func(t *testing.T, fleet *fleet, key string) {
			_, err := fleet.Commit(t.Context(), platform.Commit{Writes: []platform.Write{{Key: key, Data: []byte{0xff}}}})
			must.NoError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
				counter := newCounter()
				stop := start(t, newReporter(fleet, fleet, "e1"), 1)
				for range 4 {
					countResponse(fleet, counter, "e1", "e2")
					time.Sleep(length)
				}
				stop()
				before := fleet.receivedReports()
				must.SliceNotEmpty(t, before)
				last := before[len(before)-1].Start
				markUnreported(t, fleet, last-int64(length/time.Second))
				spoil(t, fleet, usage.WindowKey(last))
				fleet.ledgers["e2"].Merge(counter.Add("a", "m", time.Unix(last, 0), 1, 1))
				stop = start(t, newReporter(fleet, fleet, "e2"), 2)
				for range 80 {
					countResponse(fleet, counter, "e1", "e2")
					time.Sleep(length)
				}
				stop()
				reports := fleet.receivedReports()
				must.Greater(t, last+int64(70*length/time.Second), reports[len(reports)-1].Start)
				mustReportEachWindowOnce(t, reports)
				stored, err := fleet.List(t.Context(), usage.KeyPrefix)
				must.NoError(t, err)
				must.Less(t, 70, len(stored.Values))
			})
		})
	}
}

// Guards against lost and duplicate reports: the store is unavailable while
// windows end, and responses of writes and reports are lost before and after.
func TestReportsThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		counter := newCounter()
		stop := start(t, newReporter(fleet, fleet, "e1"), 1)
		for minute := range 10 {
			fleet.SetUnavailable(minute >= 3 && minute < 6)
			fleet.LoseAnswers(1)
			fleet.mutex.Lock()
			fleet.loseReports = 1
			fleet.mutex.Unlock()
			countResponse(fleet, counter, "e1", "e2")
			time.Sleep(length)
		}
		time.Sleep(2 * length)
		stop()
		must.Eq(t, uint64(10), billed(t, fleet.receivedReports()))
	})
}

// Guards against reports of two processes that both consider themselves the owner: the
// first pauses during a report, its lease expires, the second takes over, and the first
// resumes. No report of the first may arrive after a report of the second.
func TestReporterPaused(t *testing.T) {
	tests := map[string]pausingPlatform{
		"before the last check": {before: 10 * lease},
		"after the last check":  {after: lease + reportTimeout + 2*time.Second},
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
				countResponse(fleet, newCounter(), "e1")
				first.fleet = fleet
				ended := make(chan error, 1)
				term := duty.NewTerm(1, time.Now().Add(length+2*settle))
				go func() { ended <- newReporter(fleet, &first, "e1").Run(t.Context(), term) }()
				// The term ends 3 seconds, the safety margin, before the lease expires.
				time.Sleep(length + 2*settle + 3*time.Second)
				stop := start(t, newReporter(fleet, fleet, "e2"), 2)
				time.Sleep(3 * length)
				stop()
				must.Error(t, <-ended)
				must.Eq(t, uint64(1), billed(t, fleet.receivedReports()))
			})
		})
	}
}

// pausingPlatform pauses a reporter during a report, before or after the guard.
type pausingPlatform struct {
	*fleet

	before time.Duration
	after  time.Duration
}

func (p *pausingPlatform) Report(ctx context.Context, usage platform.Usage, guard func() error) error {
	time.Sleep(p.before)
	if err := guard(); err != nil {
		return err
	}
	time.Sleep(p.after)
	return p.fleet.Report(ctx, usage, func() error { return nil })
}

// Guards against late figures caused by a briefly unreachable process.
func TestWaitsForUnreachableProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		stop := start(t, newReporter(fleet, fleet, "e1"), 1)
		countResponse(fleet, newCounter(), "e2")
		fleet.kill("e2")
		time.Sleep(length + settle + 2*time.Second)
		fleet.revive("e2")
		time.Sleep(2 * length)
		stop()
		must.Eq(t, uint64(1), billed(t, fleet.receivedReports()))
		must.Len(t, 0, lateFigures(fleet.receivedReports()))
	})
}

func lateFigures(reports []platform.Usage) []platform.Figure {
	var late []platform.Figure
	for _, report := range reports {
		for _, figure := range report.Figures {
			if figure.Late != 0 {
				late = append(late, figure)
			}
		}
	}
	return late
}

// Guards against losing counts that arrive after their window was reported,
// because their process was unreachable. A later window must include them as
// late figures, marked with their own window.
func TestLateCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		counter := newCounter()
		window := usage.WindowStart(time.Now(), length)
		stop := start(t, newReporter(fleet, fleet, "e1"), 1)
		countResponse(fleet, counter, "e1")
		fleet.kill("e2")
		countResponse(fleet, counter, "e2")
		time.Sleep(length + 4*settle)
		fleet.revive("e2")
		time.Sleep(3 * length)
		stop()
		reports := fleet.receivedReports()
		must.Eq(t, uint64(2), billed(t, reports))
		must.Eq(t, []platform.Figure{{Account: "a", Pool: "m", Requests: 1, PromptTokens: 10, OutputTokens: 20, Late: window}}, lateFigures(reports))
	})
}

// Guards against not billing a delivered response: the host of the sidecar, or the host
// of the entry that received the response, dies before the counter is pushed. The loss
// of a single host must lose no counts.
func TestSingleHostFailure(t *testing.T) {
	sidecar := peerpb.Process_builder{Name: "s1", Zone: "a", Role: peerpb.Role_ROLE_SIDECAR, State: peerpb.State_STATE_LIVE}.Build()
	for _, dies := range []string{"s1", "e1", "e2", "e3"} {
		for _, pushed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(sidecar, entry("e1", "a"), entry("e2", "b"), entry("e3", "c"))
				counter := newCounter()
				// The end of the response carries the counters to the entry.
				countResponse(fleet, counter, "s1", "e1")
				pusher := &usage.Pusher{Source: counter, Directory: fleet, Peers: fleet, Interval: time.Second, MaxRetention: time.Hour}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- pusher.Run(ctx) }()
				if pushed {
					time.Sleep(2 * time.Second)
				}
				fleet.kill(dies)
				stop := start(t, newReporter(fleet, fleet, "e1"), 1)
				time.Sleep(3 * length)
				stop()
				cancel()
				<-ended
				must.Eq(t, uint64(1), billed(t, fleet.receivedReports()), must.Sprintf("%s died, pushed %t", dies, pushed))
			})
		}
	}
}

// Guards against losing the counters of a sidecar that shuts down right after its
// last response, if the entry that received it dies before the next push. The
// sidecar must push once more on shutdown.
func TestLastPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sidecar := peerpb.Process_builder{Name: "s1", Zone: "a", Role: peerpb.Role_ROLE_SIDECAR}.Build()
		fleet := newFleet(sidecar, entry("e1", "a"), entry("e2", "b"), entry("e3", "c"))
		counter := newCounter()
		pusher := &usage.Pusher{Source: counter, Directory: fleet, Peers: fleet, Interval: time.Hour, MaxRetention: time.Hour}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- pusher.Run(ctx) }()
		countResponse(fleet, counter)
		cancel()
		must.NoError(t, <-ended)
		must.Eq(t, 0, fleet.ledgers["e1"].Size())
		must.Eq(t, 1, fleet.ledgers["e2"].Size())
		must.Eq(t, 1, fleet.ledgers["e3"].Size())
	})
}
