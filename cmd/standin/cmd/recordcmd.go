package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"slices"

	standinplatform "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// ordersCmd checks the server orders that a platform received.
type ordersCmd struct {
	Platform string `arg:"" help:"Base URL of the platform."`
}

// Run prints how many servers were ordered to start and to stop, and each order that the platform
// accepted after an order with a higher fencing token.
func (o *ordersCmd) Run(c *config) error {
	record, err := readRecord(o.Platform)
	if err != nil {
		return err
	}
	servers := map[string]map[string]bool{"start": {}, "stop": {}}
	fences := map[string]uint64{}
	for _, order := range append(record.Orders, record.Refused...) {
		servers[order.Action][order.Server] = true
	}
	for _, order := range record.Orders {
		if order.Fence < fences[order.Zone] {
			fmt.Fprintf(c.stdout, "out of order: %s %s from %s with fencing token %d after %d\n", order.Action, order.Server, order.From, order.Fence, fences[order.Zone])
		}
		fences[order.Zone] = max(fences[order.Zone], order.Fence)
	}
	fmt.Fprintf(c.stdout, "start %d\nstop %d\nrefused %d\n", len(servers["start"]), len(servers["stop"]), len(record.Refused))
	return nil
}

// windowsCmd checks the usage reports that a platform received.
type windowsCmd struct {
	Platform string `arg:"" help:"Base URL of the platform."`
}

// Run prints the number of requests of each account over all windows, and each
// window that was reported more than once with different usage.
func (w *windowsCmd) Run(c *config) error {
	record, err := readRecord(w.Platform)
	if err != nil {
		return err
	}
	firstReports := map[int64][]platform.Figure{}
	totals := map[string]uint64{}
	for _, window := range record.Usage {
		if first, ok := firstReports[window.Start]; ok {
			if !reflect.DeepEqual(first, window.Figures) {
				fmt.Fprintf(c.stdout, "window %d differs: %v, then %v\n", window.Start, first, window.Figures)
			}
			continue
		}
		firstReports[window.Start] = window.Figures
		for _, figure := range window.Figures {
			totals[figure.Account] += figure.Requests
		}
	}
	printTotals(c.stdout, totals)
	return nil
}

func printTotals(w io.Writer, totals map[string]uint64) {
	accounts := make([]string, 0, len(totals))
	for account := range totals {
		accounts = append(accounts, account)
	}
	slices.Sort(accounts)
	for _, account := range accounts {
		fmt.Fprintf(w, "%s %d\n", account, totals[account])
	}
}

func readRecord(base string) (standinplatform.Record, error) {
	var record standinplatform.Record
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, base+"/control/record", http.NoBody)
	if err != nil {
		return record, err
	}
	response, err := listen.Client("control").DoRequest(request)
	if err != nil {
		return record, err
	}
	defer func() { _ = response.Body.Close() }()
	return record, json.NewDecoder(response.Body).Decode(&record)
}
