package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/trainer"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// runWorkload runs the trainer's step while it sends chats and postings.
func (d *Demo) runWorkload(ctx context.Context, trainerStandIn *trainer.Trainer, load *workload) error {
	d.printProgress("waiting for the first chat and the first posting to succeed")
	if err := retry(ctx, func() error { return load.chat(ctx, 0) }); err != nil {
		return err
	}
	if err := retry(ctx, func() error { return load.post(ctx, 0) }); err != nil {
		return err
	}
	load.refused = 0
	stepped := make(chan error, 1)
	go func() { stepped <- trainerStandIn.Step(ctx, 1) }()
	d.printProgress("running a step of %d samples, with new weights announced halfway", groups*samplesPerGroup)
	for i := 1; i < chats; i++ {
		if err := load.chat(ctx, i); err != nil {
			return err
		}
	}
	for i := 1; i < postings; i++ {
		if err := load.post(ctx, i); err != nil {
			return err
		}
	}
	d.printProgress("%d chats and %d postings done, each posting sent twice", load.answered, load.posted)
	return <-stepped
}

// report prints the results and fails if a count is wrong.
func (d *Demo) report(ctx context.Context, trainerStandIn *trainer.Trainer, load *workload) error {
	usage, err := d.awaitUsage(ctx, uint64(chats+groups*samplesPerGroup+load.posted))
	trainerStandIn.Print(d.Out)
	d.printTable(load, usage)
	faults := []error{err, trainerStandIn.Check(groups * samplesPerGroup)}
	if ran := d.ledger.Record().Total; ran != load.posted {
		faults = append(faults, fmt.Errorf("%d postings ran, want %d", ran, load.posted))
	}
	if load.refused > 0 {
		faults = append(faults, fmt.Errorf("%d requests were refused", load.refused))
	}
	if err := errors.Join(faults...); err != nil {
		return err
	}
	d.printProgress("all counts are correct")
	return nil
}

type accountUsage struct {
	requests uint64
	tokens   uint64
}

func (d *Demo) printTable(load *workload, usage map[string]accountUsage) {
	writer := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(writer, "chats answered\t%d\n", load.answered)
	fmt.Fprintf(writer, "requests refused\t%d\n", load.refused)
	fmt.Fprintf(writer, "postings sent\t%d\n", load.posted+load.repeated)
	fmt.Fprintf(writer, "postings run\t%d\n", d.ledger.Record().Total)
	for _, name := range []string{"franchise", "editors"} {
		fmt.Fprintf(writer, "usage of %s\t%d requests, %d tokens\n", name, usage[name].requests, usage[name].tokens)
	}
	_ = writer.Flush()
}

// awaitUsage waits until the usage reports cover all requests.
func (d *Demo) awaitUsage(ctx context.Context, requests uint64) (map[string]accountUsage, error) {
	d.printProgress("waiting for the usage reports")
	var usage map[string]accountUsage
	err := retry(ctx, func() error {
		record, err := d.fetchRecord(ctx)
		if err != nil {
			return err
		}
		var total uint64
		usage, total = sumUsage(record)
		if total < requests {
			return fmt.Errorf("usage reports cover %d of %d requests", total, requests)
		}
		if total > requests {
			return fmt.Errorf("usage reports cover %d requests, only %d ran", total, requests)
		}
		return nil
	})
	return usage, err
}

func sumUsage(record platform.Record) (map[string]accountUsage, uint64) {
	usage := map[string]accountUsage{}
	reported := map[int64]bool{}
	var total uint64
	for _, window := range record.Usage {
		if reported[window.Start] {
			continue
		}
		reported[window.Start] = true
		for _, figure := range window.Figures {
			sums := usage[figure.Account]
			sums.requests += figure.Requests
			sums.tokens += figure.PromptTokens + figure.OutputTokens
			usage[figure.Account] = sums
			total += figure.Requests
		}
	}
	return usage, total
}

func (d *Demo) fetchRecord(ctx context.Context) (platform.Record, error) {
	var record platform.Record
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.platform+"/control/record", http.NoBody)
	if err != nil {
		return record, err
	}
	response, err := listen.Client("control").DoRequest(request)
	if err != nil {
		return record, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(text, &record)
}
