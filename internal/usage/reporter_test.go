package usage_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// start runs a reporter in a term and returns a function that ends it and waits.
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

// fences are those of the reporters in these tests.
var fences = map[string]uint64{"e1": 1, "e2": 2}

// billed returns the requests that the reports bill, each window once.
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

func serve(fleet *fleet, counter *usage.Counter, holders ...string) {
	counts := counter.Add("a", "m", time.Now(), 10, 20)
	for _, holder := range holders {
		fleet.ledgers[holder].Merge(counts)
	}
}

func TestReportsEachWindowOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		stop := start(t, newReporter(fleet, fleet, "e1"), 1)
		counter := newCounter()
		for range 30 {
			serve(fleet, counter, "e1", "e2")
			time.Sleep(length / 10)
		}
		time.Sleep(2 * length)
		stop()
		must.Eq(t, uint64(30), billed(t, fleet.sent()))
	})
}

// A client account is billed twice, with different figures: the reporter is
// killed between any two of its steps, and the next one, which sees counts that
// came in since, reports the window again. The next one must send the figures
// that the store holds, and the counts must appear in a later window, once.
func TestReporterKilledAtEachStep(t *testing.T) {
	for step := 1; step <= 24; step++ {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
			counter := newCounter()
			serve(fleet, counter, "e1")
			first := &mortal{fleet: fleet, dieAt: step}
			ctx, cancel := context.WithCancel(t.Context())
			first.killed = cancel
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
			must.Eq(t, uint64(2), billed(t, fleet.sent()), must.Sprintf("killed at step %d", step))
		})
	}
}

// Two reporters report one window with different figures: one was paused after
// it had collected, the other took over and saw more. The write that comes
// second must fail, and its writer end.
func TestTwoReporters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		counter := newCounter()
		serve(fleet, counter, "e1")
		stopFirst := start(t, newReporter(fleet, fleet, "e1"), 1)
		stopSecond := start(t, newReporter(fleet, fleet, "e2"), 2)
		for range 60 {
			serve(fleet, counter, "e1", "e2")
			time.Sleep(length / 10)
		}
		time.Sleep(2 * length)
		stopFirst()
		stopSecond()
		must.Eq(t, uint64(61), billed(t, fleet.sent()))
	})
}

// The store goes away while a window is closed, and answers of the writes
// before and after are lost. Reports wait; none is lost and none doubled.
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
			serve(fleet, counter, "e1", "e2")
			time.Sleep(length)
		}
		time.Sleep(2 * length)
		stop()
		must.Eq(t, uint64(10), billed(t, fleet.sent()))
	})
}

// Two processes report one window and both believe that they are in charge: the
// first is paused within a report, its lease lapses, the second takes over, and
// the first is thawed. No report may arrive after one of the second.
func TestReporterPaused(t *testing.T) {
	tests := map[string]paused{
		"before the last check": {before: 10 * lease},
		"after the last check":  {after: lease + bound + 2*time.Second},
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
				serve(fleet, newCounter(), "e1")
				first.fleet = fleet
				ended := make(chan error, 1)
				term := duty.NewTerm(1, time.Now().Add(length+2*settle))
				go func() { ended <- newReporter(fleet, &first, "e1").Run(t.Context(), term) }()
				// The term ends three seconds, the margin, before the lease lapses.
				time.Sleep(length + 2*settle + 3*time.Second)
				stop := start(t, newReporter(fleet, fleet, "e2"), 2)
				time.Sleep(3 * length)
				stop()
				must.Error(t, <-ended)
				must.Eq(t, uint64(1), billed(t, fleet.sent()))
			})
		})
	}
}

// paused is a reporter's way to the platform on which it stands still.
type paused struct {
	*fleet

	before time.Duration
	after  time.Duration
}

func (p *paused) Report(ctx context.Context, usage platform.Usage, guard func() error) error {
	time.Sleep(p.before)
	if err := guard(); err != nil {
		return err
	}
	time.Sleep(p.after)
	return p.fleet.Report(ctx, usage, func() error { return nil })
}

// A process that can't be reached for a moment must not make counts late.
func TestWaitsForSilentProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		stop := start(t, newReporter(fleet, fleet, "e1"), 1)
		serve(fleet, newCounter(), "e2")
		fleet.kill("e2")
		time.Sleep(length + settle + 2*time.Second)
		fleet.revive("e2")
		time.Sleep(2 * length)
		stop()
		must.Eq(t, uint64(1), billed(t, fleet.sent()))
		must.Len(t, 0, lateFigures(fleet.sent()))
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

// A count comes in after its window was reported, since the process that held
// it could not be reached. It goes into a later window, marked with its own.
func TestLateCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(entry("e1", "a"), entry("e2", "b"))
		counter := newCounter()
		window := usage.WindowStart(time.Now(), length)
		stop := start(t, newReporter(fleet, fleet, "e1"), 1)
		serve(fleet, counter, "e1")
		fleet.kill("e2")
		serve(fleet, counter, "e2")
		time.Sleep(length + 4*settle)
		fleet.revive("e2")
		time.Sleep(3 * length)
		stop()
		reports := fleet.sent()
		must.Eq(t, uint64(2), billed(t, reports))
		must.Eq(t, []platform.Figure{{Account: "a", Pool: "m", Requests: 1, PromptTokens: 10, OutputTokens: 20, Late: window}}, lateFigures(reports))
	})
}

// An answer was given whole and is not billed: the host of its sidecar dies
// before the counter was pushed, or that of the entry that received the answer.
// Either alone must lose nothing.
func TestAnyOneHostDies(t *testing.T) {
	sidecar := peerpb.Process_builder{Name: "s1", Zone: "a", Role: peerpb.Role_ROLE_SIDECAR, State: peerpb.State_STATE_LIVE}.Build()
	for _, dies := range []string{"s1", "e1", "e2", "e3"} {
		for _, pushed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(sidecar, entry("e1", "a"), entry("e2", "b"), entry("e3", "c"))
				counter := newCounter()
				// The answer's end reaches the entry with the counters.
				serve(fleet, counter, "s1", "e1")
				pusher := &usage.Pusher{Source: counter, Directory: fleet, Peers: fleet, Interval: time.Second, Keep: time.Hour}
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
				must.Eq(t, uint64(1), billed(t, fleet.sent()), must.Sprintf("%s died, pushed %t", dies, pushed))
			})
		}
	}
}

// A sidecar is replaced right after its last answer: the entry that received
// the answer dies before the next push. The sidecar must push once more when it ends.
func TestLastPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sidecar := peerpb.Process_builder{Name: "s1", Zone: "a", Role: peerpb.Role_ROLE_SIDECAR}.Build()
		fleet := newFleet(sidecar, entry("e1", "a"), entry("e2", "b"), entry("e3", "c"))
		counter := newCounter()
		pusher := &usage.Pusher{Source: counter, Directory: fleet, Peers: fleet, Interval: time.Hour, Keep: time.Hour}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- pusher.Run(ctx) }()
		serve(fleet, counter)
		cancel()
		must.NoError(t, <-ended)
		must.Eq(t, 0, fleet.ledgers["e1"].Size())
		must.Eq(t, 1, fleet.ledgers["e2"].Size())
		must.Eq(t, 1, fleet.ledgers["e3"].Size())
	})
}
