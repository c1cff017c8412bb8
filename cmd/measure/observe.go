package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	ticksPerSecond = 100
	kilobyte       = 1024
	// loopbackFields are the columns of /proc/net/dev with received bytes.
	loopbackReceived = 1
)

// cost is what one process takes on average.
type cost struct {
	// processor is percent of a core.
	processor float64
	// memory is resident, megabytes.
	memory float64
}

type storeRecord struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// observe takes the figures over a time, then those of one change.
func (p *processes) observe(ctx context.Context, length time.Duration) (slope, error) {
	found := slope{count: len(p.entries) + len(p.sidecars)}
	entriesBefore, sidecarsBefore := ticks(p.entries), ticks(p.sidecars)
	bytesBefore, storeBefore, err := p.counters(ctx)
	if err != nil {
		return found, err
	}
	time.Sleep(length)
	bytesAfter, storeAfter, err := p.counters(ctx)
	if err != nil {
		return found, err
	}
	seconds := length.Seconds()
	found.entry = cost{processor: share(ticks(p.entries)-entriesBefore, len(p.entries), seconds), memory: resident(p.entries)}
	found.sidecar = cost{processor: share(ticks(p.sidecars)-sidecarsBefore, len(p.sidecars), seconds), memory: resident(p.sidecars)}
	found.bytes = (bytesAfter - bytesBefore) / seconds / float64(found.count)
	found.reads = float64(storeAfter.Reads-storeBefore.Reads) / seconds
	found.writes = float64(storeAfter.Writes-storeBefore.Writes) / seconds
	found.inForce, found.complete, err = p.timeChange(ctx)
	return found, err
}

func (p *processes) counters(ctx context.Context) (float64, storeRecord, error) {
	var record storeRecord
	err := get(ctx, p.platform+"/control/record", &record)
	return loopbackBytes(), record, err
}

// timeChange writes a change and waits until each entry's metrics show its revision.
func (p *processes) timeChange(ctx context.Context) (time.Duration, bool, error) {
	before := p.revisions(ctx)
	if err := p.change(ctx, 2); err != nil {
		return 0, false, err
	}
	began := time.Now()
	for time.Since(began) < forceBound {
		changed := 0
		for i, revision := range p.revisions(ctx) {
			if revision != "" && revision != before[i] {
				changed++
			}
		}
		if changed == len(p.entries) {
			return time.Since(began), true, nil
		}
		time.Sleep(pollPause)
	}
	return forceBound, false, nil
}

// revisions are the revisions in force by entry, as its metrics show them.
func (p *processes) revisions(ctx context.Context) []string {
	found := make([]string, len(p.entries))
	for i, entry := range p.entries {
		text, err := read(ctx, "http://"+entry.caller+"/metrics")
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if value, ok := strings.CutPrefix(line, "bramleyhatch_config_revision "); ok {
				found[i] = value
			}
		}
	}
	return found
}

func share(ticks, count int, seconds float64) float64 {
	return 100 * float64(ticks) / ticksPerSecond / float64(count) / seconds
}

// ticks is the processor time of all processes.
func ticks(all []started) int {
	total := 0
	for _, one := range all {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", one.pid))
		if err != nil {
			continue
		}
		// The name in brackets may hold spaces; user and system time are the 12th and 13th fields after it.
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		for _, field := range fields[11:13] {
			value, err := strconv.Atoi(field)
			if err == nil {
				total += value
			}
		}
	}
	return total
}

// resident is the mean resident memory, megabytes.
func resident(all []started) float64 {
	total := 0
	for _, one := range all {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", one.pid))
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
				total += kilobytes
			}
		}
	}
	return float64(total) / kilobyte / float64(len(all))
}

// loopbackBytes are the bytes that went over loopback, all connections together.
func loopbackBytes() float64 {
	text, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		fields := strings.Fields(strings.Replace(line, ":", " ", 1))
		if len(fields) > loopbackReceived && fields[0] == "lo" {
			value, _ := strconv.ParseFloat(fields[loopbackReceived], 64)
			return value
		}
	}
	return 0
}

func get(ctx context.Context, address string, into any) error {
	text, err := read(ctx, address)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

func read(ctx context.Context, address string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := listen.Client("measure").DoRequest(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

func post(ctx context.Context, address string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := listen.Client("measure").DoRequest(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
