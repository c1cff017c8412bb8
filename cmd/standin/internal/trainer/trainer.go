// Package trainer is a stand-in for a trainer: it opens steps, pulls samples by
// position, announces weights and checks the samples.
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
	maxPull       = 16
	pullWait      = 2 * time.Second
	retryInterval = 100 * time.Millisecond
)

// Trainer simulates a trainer. Exported fields must be set before Step is called.
type Trainer struct {
	Entries   []string
	Key       string
	Name      string
	Model     string
	Groups    int
	Samples   int
	MaxTokens int
	Staleness uint64
	// AnnounceAfter is the number of received samples of a step after which weights are announced
	// once; 0 disables the announcement.
	AnnounceAfter int
	Version       uint64

	client    client.Trainer
	nextEntry int
	place     uint64
	received  []client.Sample
	faults    []string
}

// Check returns an error if samples are missing, surplus or faulty.
func (t *Trainer) Check(want int) error {
	if len(t.received) != want {
		t.faults = append(t.faults, fmt.Sprintf("received %d samples, want %d", len(t.received), want))
	}
	if len(t.faults) > 0 {
		return fmt.Errorf("%d faults in samples, first: %s", len(t.faults), t.faults[0])
	}
	return nil
}

// Print writes the number of samples for each weight version, by a sample's newest version.
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

// Step opens a step and pulls its samples until all are delivered.
func (t *Trainer) Step(ctx context.Context, step uint64) error {
	t.client.Name, t.client.Key = t.Name, t.Key
	if err := t.openStep(ctx, step); err != nil {
		return err
	}
	seenSlots := map[uint32]bool{}
	for {
		var result client.Pulled
		err := t.callWithRetry(ctx, func() (err error) {
			result, err = t.client.Pull(ctx, t.place, maxPull, pullWait)
			return err
		})
		if err != nil {
			return err
		}
		for _, sample := range result.Samples {
			t.receive(step, sample, seenSlots)
		}
		t.place = result.Next
		if err := t.announce(ctx, len(seenSlots)); err != nil {
			return err
		}
		if result.Done {
			return nil
		}
	}
}

func (t *Trainer) openStep(ctx context.Context, number uint64) error {
	step := client.Step{Number: number, Model: t.Model, Staleness: t.Staleness, MaxTokens: t.MaxTokens, Temperature: 1}
	for i := range t.Groups {
		step.Groups = append(step.Groups, client.Group{Prompt: fmt.Sprintf("step %d group %d", number, i), Samples: t.Samples})
	}
	return t.callWithRetry(ctx, func() (err error) {
		t.place, err = t.client.Open(ctx, step)
		return err
	})
}

func (t *Trainer) receive(step uint64, sample client.Sample, seenSlots map[uint32]bool) {
	if seenSlots[sample.Slot] || sample.Step != step {
		t.addFault("step %d slot %d is a duplicate or belongs to another step", sample.Step, sample.Slot)
	}
	seenSlots[sample.Slot] = true
	if len(sample.Versions) == 0 {
		t.addFault("slot %d has no weight version", sample.Slot)
		sample.Versions = []client.Range{{}}
	}
	covered := uint32(0)
	for _, versions := range sample.Versions {
		if versions.From != covered {
			t.addFault("slot %d has no weight version for tokens %d to %d", sample.Slot, covered, versions.From)
		}
		covered = versions.Until
		if versions.Version+t.Staleness < t.Version {
			t.addFault("slot %d has stale weight version %d, newest is %d", sample.Slot, versions.Version, t.Version)
		}
	}
	if int(covered) != len(sample.Tokens) {
		t.addFault("slot %d has %d tokens, but weight versions for %d", sample.Slot, len(sample.Tokens), covered)
	}
	t.received = append(t.received, sample)
}

func (t *Trainer) addFault(format string, arguments ...any) {
	t.faults = append(t.faults, fmt.Sprintf(format, arguments...))
}

// announce sends the next weight version to an entry once enough samples of the step have arrived.
func (t *Trainer) announce(ctx context.Context, received int) error {
	if t.AnnounceAfter == 0 || received < t.AnnounceAfter {
		return nil
	}
	t.AnnounceAfter = 0
	err := t.callWithRetry(ctx, func() error { return t.client.Announce(ctx, t.Model, t.Version+1) })
	if err != nil {
		return err
	}
	t.Version++
	return nil
}

// callWithRetry sends a request to the entries in rotation until an entry accepts or permanently
// refuses the request. Each request must be safe to repeat.
func (t *Trainer) callWithRetry(ctx context.Context, request func() error) error {
	var lastErr error
	for ctx.Err() == nil {
		t.client.Address = t.Entries[t.nextEntry%len(t.Entries)]
		t.nextEntry++
		lastErr = request()
		if lastErr == nil || isFinal(lastErr) {
			return lastErr
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return fmt.Errorf("trainer %s: %w (last error: %w)", t.Name, ctx.Err(), lastErr)
}

// isFinal reports whether an error is permanent, so that a retry would be refused as well.
func isFinal(err error) bool {
	var refused *client.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Status < http.StatusInternalServerError && refused.Status != http.StatusTooManyRequests
}
