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

// work runs the trainer's step, the chats and the postings at the same time.
func (d *Demo) work(ctx context.Context, trained *trainer.Trainer, members *members) error {
	d.progress("waiting until a member is served and a posting runs")
	if err := until(ctx, func() error { return members.chat(ctx, 0) }); err != nil {
		return err
	}
	if err := until(ctx, func() error { return members.post(ctx, 0) }); err != nil {
		return err
	}
	members.refused = 0
	stepped := make(chan error, 1)
	go func() { stepped <- trained.Step(ctx, 1) }()
	d.progress("a step of %d samples runs, with a weight change in the middle", groups*groupSamples)
	for i := 1; i < chats; i++ {
		if err := members.chat(ctx, i); err != nil {
			return err
		}
	}
	for i := 1; i < postings; i++ {
		if err := members.post(ctx, i); err != nil {
			return err
		}
	}
	d.progress("%d chats and %d postings done, each posting sent twice", members.answered, members.posted)
	return <-stepped
}

// report prints the table and fails if a figure is wrong.
func (d *Demo) report(ctx context.Context, trained *trainer.Trainer, members *members) error {
	usage, err := d.awaitUsage(ctx, uint64(chats+groups*groupSamples+members.posted))
	trained.Print(d.Out)
	d.table(members, usage)
	faults := []error{err, trained.Check(groups * groupSamples)}
	if ran := d.ledger.Record().Total; ran != members.posted {
		faults = append(faults, fmt.Errorf("%d postings ran, %d were posted", ran, members.posted))
	}
	if members.refused > 0 {
		faults = append(faults, fmt.Errorf("%d requests were refused", members.refused))
	}
	if err := errors.Join(faults...); err != nil {
		return err
	}
	d.progress("all figures are right")
	return nil
}

type account struct {
	requests uint64
	tokens   uint64
}

func (d *Demo) table(members *members, usage map[string]account) {
	writer := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(writer, "chats answered\t%d\n", members.answered)
	fmt.Fprintf(writer, "requests refused\t%d\n", members.refused)
	fmt.Fprintf(writer, "postings sent\t%d\n", members.posted+members.repeated)
	fmt.Fprintf(writer, "postings run\t%d\n", d.ledger.Record().Total)
	for _, name := range []string{"franchise", "editors"} {
		fmt.Fprintf(writer, "usage of %s\t%d requests, %d tokens\n", name, usage[name].requests, usage[name].tokens)
	}
	_ = writer.Flush()
}

// awaitUsage waits until the usage reports cover all requests.
func (d *Demo) awaitUsage(ctx context.Context, requests uint64) (map[string]account, error) {
	d.progress("waiting for the usage reports")
	var usage map[string]account
	err := until(ctx, func() error {
		record, err := d.record(ctx)
		if err != nil {
			return err
		}
		var total uint64
		usage, total = sum(record)
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

func sum(record platform.Record) (map[string]account, uint64) {
	usage := map[string]account{}
	reported := map[int64]bool{}
	var total uint64
	for _, window := range record.Usage {
		if reported[window.Start] {
			continue
		}
		reported[window.Start] = true
		for _, figure := range window.Figures {
			one := usage[figure.Account]
			one.requests += figure.Requests
			one.tokens += figure.PromptTokens + figure.OutputTokens
			usage[figure.Account] = one
			total += figure.Requests
		}
	}
	return usage, total
}

func (d *Demo) record(ctx context.Context) (platform.Record, error) {
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
