// Package trainer is a small stand-in for a trainer: it opens steps, pulls
// samples by place, announces weights and checks what it is given.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	pullMax    = 16
	pullWait   = 2 * time.Second
	retryPause = 100 * time.Millisecond
)

// Trainer is the stand-in. Exported fields are set before Step is called.
type Trainer struct {
	Entries   []string
	Key       string
	Name      string
	Model     string
	Groups    int
	Samples   int
	MaxTokens int
	Staleness uint64
	// Announce is after how many samples of a step new weights are announced; 0 never.
	Announce int
	Version  uint64

	next     int
	place    uint64
	received []Sample
	faults   []string
}

// Sample is a sample as the trainer receives it.
type Sample struct {
	Place    uint64  `json:"place"`
	Step     uint64  `json:"step"`
	Slot     uint32  `json:"slot"`
	Group    uint32  `json:"group"`
	Text     string  `json:"text"`
	Tokens   []int32 `json:"tokens"`
	Versions []Range `json:"versions"`
}

// Range names the version that produced a run of tokens.
type Range struct {
	From    uint32 `json:"from"`
	Until   uint32 `json:"until"`
	Version uint64 `json:"version"`
}

type group struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

type openRequest struct {
	Step        uint64  `json:"step"`
	Model       string  `json:"model"`
	Staleness   uint64  `json:"staleness"`
	MaxTokens   int     `json:"max_tokens"`
	Temperature float64 `json:"temperature"`
	Groups      []group `json:"groups"`
}

type openReply struct {
	Place uint64 `json:"place"`
}

type pullReply struct {
	Samples []Sample `json:"samples"`
	Next    uint64   `json:"next"`
	Done    bool     `json:"done"`
}

type announceRequest struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// Check fails if anything was wrong with the samples received, or their number.
func (t *Trainer) Check(want int) error {
	if len(t.received) != want {
		t.faults = append(t.faults, fmt.Sprintf("%d samples, wanted %d", len(t.received), want))
	}
	if len(t.faults) > 0 {
		return fmt.Errorf("%d faults, first: %s", len(t.faults), t.faults[0])
	}
	return nil
}

// Print writes a table of the samples by the versions that produced them.
func (t *Trainer) Print(w io.Writer) {
	byVersion := map[uint64]int{}
	for _, sample := range t.received {
		byVersion[sample.Versions[len(sample.Versions)-1].Version]++
	}
	fmt.Fprintf(w, "trainer %s: samples %d, faults %d\n", t.Name, len(t.received), len(t.faults))
	versions := make([]uint64, 0, len(byVersion))
	for version := range byVersion {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	for _, version := range versions {
		fmt.Fprintf(w, "  newest version %d: %d samples\n", version, byVersion[version])
	}
}

// Received returns the samples received so far.
func (t *Trainer) Received() []Sample {
	return t.received
}

// Step opens a step and pulls until all of it was handed over.
func (t *Trainer) Step(ctx context.Context, step uint64) error {
	request := openRequest{Step: step, Model: t.Model, Staleness: t.Staleness, MaxTokens: t.MaxTokens, Temperature: 1}
	for i := range t.Groups {
		request.Groups = append(request.Groups, group{Prompt: fmt.Sprintf("step %d group %d", step, i), Samples: t.Samples})
	}
	var opened openReply
	if err := t.call(ctx, http.MethodPost, "/steps", request, &opened); err != nil {
		return err
	}
	t.place = opened.Place
	seen := map[uint32]bool{}
	for {
		var reply pullReply
		path := "/samples?place=" + strconv.FormatUint(t.place, 10) + "&max=" + strconv.Itoa(pullMax) + "&wait=" + pullWait.String()
		if err := t.call(ctx, http.MethodGet, path, nil, &reply); err != nil {
			return err
		}
		for _, sample := range reply.Samples {
			t.take(step, sample, seen)
		}
		t.place = reply.Next
		if err := t.announce(ctx, len(seen)); err != nil {
			return err
		}
		if reply.Done {
			return nil
		}
	}
}

func (t *Trainer) take(step uint64, sample Sample, seen map[uint32]bool) {
	if seen[sample.Slot] || sample.Step != step {
		t.fault("step %d slot %d came twice or with another step", sample.Step, sample.Slot)
	}
	seen[sample.Slot] = true
	if len(sample.Versions) == 0 {
		t.fault("slot %d names no version", sample.Slot)
		sample.Versions = []Range{{}}
	}
	at := uint32(0)
	for _, versions := range sample.Versions {
		if versions.From != at {
			t.fault("slot %d leaves tokens %d to %d without a version", sample.Slot, at, versions.From)
		}
		at = versions.Until
		if versions.Version+t.Staleness < t.Version {
			t.fault("slot %d has version %d, the newest is %d", sample.Slot, versions.Version, t.Version)
		}
	}
	if int(at) != len(sample.Tokens) {
		t.fault("slot %d has %d tokens, versions for %d", sample.Slot, len(sample.Tokens), at)
	}
	t.received = append(t.received, sample)
}

func (t *Trainer) fault(format string, arguments ...any) {
	t.faults = append(t.faults, fmt.Sprintf(format, arguments...))
}

// announce tells new weights once enough samples of the step have come.
func (t *Trainer) announce(ctx context.Context, received int) error {
	if t.Announce == 0 || received < t.Announce {
		return nil
	}
	t.Announce = 0
	request := announceRequest{Model: t.Model, Version: t.Version + 1}
	if err := t.call(ctx, http.MethodPost, "/weights", request, nil); err != nil {
		return err
	}
	t.Version++
	return nil
}

// call asks the entries in turn until one answers; each call may be repeated.
func (t *Trainer) call(ctx context.Context, method, path string, body, reply any) error {
	var last error
	for ctx.Err() == nil {
		entry := t.Entries[t.next%len(t.Entries)]
		t.next++
		status, err := t.send(ctx, entry, method, path, body, reply)
		if err == nil {
			return nil
		}
		last = err
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return fmt.Errorf("trainer %s: %s %s: %w (last: %w)", t.Name, method, path, ctx.Err(), last)
}

func (t *Trainer) send(ctx context.Context, entry, method, path string, body, reply any) (int, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, entry+"/v1/trainers/"+t.Name+path, reader)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+t.Key)
	response, err := listen.Client("entry").DoRequest(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, fmt.Errorf("%s %s answers %d: %s", method, path, response.StatusCode, text)
	}
	if reply == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(text, reply)
}
