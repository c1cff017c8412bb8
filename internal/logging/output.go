// Package logging writes a process's log to standard output without ever making
// the process wait for whoever reads it.
package logging

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// ringLines is the most lines that wait for the reader: some seconds of a busy
	// gateway, and about 1 MB.
	ringLines = 4096
	// linesPerSecond and burstLines bound the usual lines. A busy gateway writes
	// some dozens a second; ten times that is a fault that repeats itself.
	linesPerSecond = 400
	burstLines     = 2000
	// reportInterval is the time between two lines that tell how many were dropped.
	reportInterval = time.Second
	// lastWait bounds the wait for the reader when the process ends.
	lastWait = 200 * time.Millisecond
)

// Output takes lines and writes them from a goroutine of its own.
//
// A pipe whose reader has stopped takes 64 KB and then blocks each write; every
// request that logs a line would stand still behind it. Here a full ring drops
// lines and counts them. Lines of failures are dropped last: they don't count
// against the rate, only against the ring.
type Output struct {
	writer  io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
	stopped chan struct{}
	once    sync.Once
	done    chan struct{}
}

var _ io.Writer = &Output{}

// NewOutput returns an output that writes to a writer.
func NewOutput(writer io.Writer) *Output {
	return &Output{
		writer:  writer,
		lines:   make(chan []byte, ringLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		stopped: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// Start leads the lines of klog to an output that writes to a writer. Stop
// writes what waits still, as far as the reader takes it at once.
func Start(writer io.Writer) (stop func(), err error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	output := NewOutput(writer)
	started.Store(output)
	klog.SetOutput(output)
	go output.run()
	return output.stop, nil
}

// Write takes one line. It never waits and never fails.
func (o *Output) Write(line []byte) (int, error) {
	if !isFailure(line) && !o.limiter.Allow() {
		o.dropped.Add(1)
		return len(line), nil
	}
	select {
	case o.lines <- bytes.Clone(line):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// started is the output of the process.
var started atomic.Pointer[Output]

// Dropped returns the number of lines that the process's log has dropped.
func Dropped() uint64 {
	if output := started.Load(); output != nil {
		return output.Dropped()
	}
	return 0
}

// Dropped returns the number of lines dropped so far.
func (o *Output) Dropped() uint64 { return o.dropped.Load() }

// isFailure reports whether a line tells of a failure: a warning, an error, or a
// request that was refused.
func isFailure(line []byte) bool {
	if len(line) == 0 {
		return false
	}
	switch line[0] {
	case 'W', 'E', 'F':
		return true
	default:
		return bytes.Contains(line, []byte("refused"))
	}
}

func (o *Output) run() {
	defer close(o.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var told uint64
	for {
		select {
		case line := <-o.lines:
			o.print(line)
		case <-ticker.C:
			if dropped := o.dropped.Load(); dropped > told {
				o.print(fmt.Appendf(nil, "W log: %d lines were dropped, %d in all\n", dropped-told, dropped))
				told = dropped
			}
		case <-o.stopped:
			o.printRest()
			return
		}
	}
}

func (o *Output) printRest() {
	for {
		select {
		case line := <-o.lines:
			o.print(line)
		default:
			return
		}
	}
}

// print writes a line. There is nobody left to tell of a fault of the log's own writer.
func (o *Output) print(line []byte) {
	_, _ = o.writer.Write(line)
}

func (o *Output) stop() {
	o.once.Do(func() { close(o.stopped) })
	ctx, cancel := context.WithTimeout(context.Background(), lastWait)
	defer cancel()
	select {
	case <-o.done:
	case <-ctx.Done():
	}
}
