// Package trainer is a small stand-in for a trainer: it opens steps, pulls
// samples by place, announces weights and checks what it is given.
package trainer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/pkg/client"
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
	// AnnounceAfter is after how many samples of a step new weights are announced; 0 never.
	AnnounceAfter int
	Version  uint64

	client   client.Trainer
	next     int
	place    uint64
	received []client.Sample
	faults   []string
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
func (t *Trainer) Received() []client.Sample {
	return t.received
}

// Step opens a step and pulls until all of it was handed over.
func (t *Trainer) Step(ctx context.Context, step uint64) error {
	t.client.Name, t.client.Key = t.Name, t.Key
	if err := t.open(ctx, step); err != nil {
		return err
	}
	seen := map[uint32]bool{}
	for {
		var pulled client.Pulled
		err := t.call(ctx, func() (err error) {
			pulled, err = t.client.Pull(ctx, t.place, pullMax, pullWait)
			return err
		})
		if err != nil {
			return err
		}
		for _, sample := range pulled.Samples {
			t.take(step, sample, seen)
		}
		t.place = pulled.Next
		if err := t.announce(ctx, len(seen)); err != nil {
			return err
		}
		if pulled.Done {
			return nil
		}
	}
}

func (t *Trainer) open(ctx context.Context, number uint64) error {
	step := client.Step{Number: number, Model: t.Model, Staleness: t.Staleness, MaxTokens: t.MaxTokens, Temperature: 1}
	for i := range t.Groups {
		step.Groups = append(step.Groups, client.Group{Prompt: fmt.Sprintf("step %d group %d", number, i), Samples: t.Samples})
	}
	return t.call(ctx, func() (err error) {
		t.place, err = t.client.Open(ctx, step)
		return err
	})
}

func (t *Trainer) take(step uint64, sample client.Sample, seen map[uint32]bool) {
	if seen[sample.Slot] || sample.Step != step {
		t.fault("step %d slot %d came twice or with another step", sample.Step, sample.Slot)
	}
	seen[sample.Slot] = true
	if len(sample.Versions) == 0 {
		t.fault("slot %d names no version", sample.Slot)
		sample.Versions = []client.Range{{}}
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
	if t.AnnounceAfter == 0 || received < t.AnnounceAfter {
		return nil
	}
	t.AnnounceAfter = 0
	err := t.call(ctx, func() error { return t.client.Announce(ctx, t.Model, t.Version+1) })
	if err != nil {
		return err
	}
	t.Version++
	return nil
}

// call asks the entries in turn until one answers; each call may be repeated.
func (t *Trainer) call(ctx context.Context, call func() error) error {
	var last error
	for ctx.Err() == nil {
		t.client.Address = t.Entries[t.next%len(t.Entries)]
		t.next++
		last = call()
		if last == nil || isFinal(last) {
			return last
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return fmt.Errorf("trainer %s: %w (last: %w)", t.Name, ctx.Err(), last)
}

// isFinal reports whether another call would be refused in the same way.
func isFinal(err error) bool {
	var refused *client.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Status < http.StatusInternalServerError && refused.Status != http.StatusTooManyRequests
}
