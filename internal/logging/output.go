// Package logging writes a process's log to standard output without ever blocking
// the process on a slow reader.
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
	// maxQueuedLines limits the lines that wait for the reader. It holds a few seconds
	// of a busy gateway's log, about 1 MB.
	maxQueuedLines = 4096
	// maxLineBytes limits a line.
	maxLineBytes = 4 << 10
	// maxLinesPerSecond and maxBurstLines limit lines that are not about failures. A busy gateway
	// writes a few dozen lines per second; ten times as many indicate a repeating fault.
	maxLinesPerSecond = 400
	maxBurstLines     = 2000
	// dropReportInterval is the interval between reports of dropped lines.
	dropReportInterval = time.Second
	// maxStopWait limits the wait for the reader when the process stops.
	maxStopWait = 200 * time.Millisecond
)

// Output queues lines and writes them in its own goroutine.
//
// A pipe whose reader has stopped buffers 64 KB and then blocks each write, which would block every
// request that logs a line. Output drops and counts lines instead when its queue is full. Lines
// about failures are exempt from the rate limit and are dropped only when the queue is full.
type Output struct {
	writer        io.Writer
	queue         chan []byte
	limiter       *rate.Limiter
	dropped       atomic.Uint64
	stopRequested chan struct{}
	stopOnce      sync.Once
	done          chan struct{}
}

var _ io.Writer = &Output{}

// NewOutput returns an output to writer. The caller must start its run method.
func NewOutput(writer io.Writer) *Output {
	return &Output{
		writer:        writer,
		queue:         make(chan []byte, maxQueuedLines),
		limiter:       rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		stopRequested: make(chan struct{}),
		done:          make(chan struct{}),
	}
}

// Start redirects klog to an Output that writes to writer. stop writes the queued lines and waits
// briefly for the reader to consume them.
func Start(writer io.Writer) (stop func(), err error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	output := NewOutput(writer)
	processOutput.Store(output)
	klog.SetOutput(output)
	go output.run()
	return output.stop, nil
}

// Write queues or drops one line. It never blocks and never fails.
func (o *Output) Write(line []byte) (int, error) {
	if !isFailure(line) && !o.limiter.Allow() {
		o.dropped.Add(1)
		return len(line), nil
	}
	select {
	case o.queue <- shorten(line):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// shorten returns a copy of a line without what exceeds maxLineBytes. Lines quote paths and identities, which clients
// choose.
func shorten(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return bytes.Clone(line)
	}
	const end = "...\n"
	return append(bytes.Clone(line[:maxLineBytes-len(end)]), end...)
}

// processOutput is the Output that Start set up for this process.
var processOutput atomic.Pointer[Output]

// Dropped returns the number of lines dropped so far by the output of this process.
func Dropped() uint64 {
	if output := processOutput.Load(); output != nil {
		return output.Dropped()
	}
	return 0
}

// Dropped returns the number of lines dropped so far by o.
func (o *Output) Dropped() uint64 { return o.dropped.Load() }

// isFailure reports whether a line is about a failure: a warning, an error, or a
// refused request.
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
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case line := <-o.queue:
			o.writeLine(line)
		case <-ticker.C:
			if dropped := o.dropped.Load(); dropped > reported {
				o.writeLine(fmt.Appendf(nil, "W log: %d lines were dropped, %d in total\n", dropped-reported, dropped))
				reported = dropped
			}
		case <-o.stopRequested:
			o.writeQueued()
			return
		}
	}
}

func (o *Output) writeQueued() {
	for {
		select {
		case line := <-o.queue:
			o.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line. It ignores errors: a failure of the log's own writer can't be logged.
func (o *Output) writeLine(line []byte) {
	_, _ = o.writer.Write(line)
}

func (o *Output) stop() {
	o.stopOnce.Do(func() { close(o.stopRequested) })
	ctx, cancel := context.WithTimeout(context.Background(), maxStopWait)
	defer cancel()
	select {
	case <-o.done:
	case <-ctx.Done():
	}
}
