package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	maxRequestTime    = 10 * time.Second
	significantDigits = 3
	medianPercentile  = 50
	tailPercentile    = 99
)

// overheadCmd compares the latency of requests through entry and sidecar with direct requests.
type overheadCmd struct {
	Programs string        `required:"" type:"existingdir" help:"Folder with the binaries bramleyhatch and standin."`
	Callers  []int         `default:"1,16,64" help:"Numbers of concurrent callers, each with one request at a time."`
	Time     time.Duration `default:"5s" help:"Duration of each measurement."`
}

// Help returns an example.
func (overheadCmd) Help() string {
	return "Example:\n  go build -o bin/ . ./cmd/standin && go run ./cmd/measure overhead --programs bin"
}

// benchmark holds the parameters of one measurement.
type benchmark struct {
	address  string
	key      string
	callers  int
	duration time.Duration
}

// Run prints a line for each target and number of callers.
func (o *overheadCmd) Run() error {
	folder, err := os.MkdirTemp("", "bramleyhatch-overhead-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := &processes{folder: folder, programs: o.Programs}
	defer group.stop()
	direct, through, err := group.startLedger(ctx)
	if err != nil {
		return err
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "way\tcallers\trequests/s\tp50 ms\tp99 ms\tfailed")
	for _, callers := range o.Callers {
		for _, target := range []struct{ name, address string }{{"direct", direct}, {"entry and sidecar", through}} {
			run := benchmark{address: target.address, key: accountKey, callers: callers, duration: o.Time}
			times, failed := run.run(ctx)
			fmt.Fprintf(writer, "%s\t%d\t%.0f\t%.3f\t%.3f\t%d\n", target.name, callers, float64(times.TotalCount())/o.Time.Seconds(),
				milliseconds(times.ValueAtQuantile(medianPercentile)), milliseconds(times.ValueAtQuantile(tailPercentile)), failed)
		}
	}
	return writer.Flush()
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

// startLedger starts an entry, and a plain service with its sidecar. It returns the
// URLs of a record: directly at the service, and through entry and sidecar.
func (p *processes) startLedger(ctx context.Context) (direct, through string, err error) {
	standin, err := p.startStandin(ctx, "platform", "platform")
	if err != nil {
		return "", "", err
	}
	p.platformURL = "http://" + standin["address"]
	if err := p.writeConfig(ctx, 1); err != nil {
		return "", "", err
	}
	ledger, err := p.startStandin(ctx, "ledger", "ledger")
	if err != nil {
		return "", "", err
	}
	if err := p.startEntry(ctx, 0); err != nil {
		return "", "", err
	}
	if err := p.startSidecar(ctx, 1, "plain", "ledger", ledger["address"]); err != nil {
		return "", "", err
	}
	through = "http://" + p.callerAddress + "/services/ledger/records/1"
	client := listen.Client("overhead")
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(pollInterval) {
		if status, err := fetch(ctx, client, through, accountKey); err == nil && status == http.StatusOK {
			return "http://" + ledger["address"] + "/records/1", through, nil
		}
	}
	return "", "", fmt.Errorf("entry did not serve the ledger within %v", readyTimeout)
}

// run sends requests from all callers and returns their latencies in microseconds.
func (b benchmark) run(ctx context.Context) (times *hdrhistogram.Histogram, failed int64) {
	times = hdrhistogram.New(1, maxRequestTime.Microseconds(), significantDigits)
	var mutex sync.Mutex
	var failures atomic.Int64
	client := listen.Client("overhead")
	end := time.Now().Add(b.duration)
	var group sync.WaitGroup
	for range b.callers {
		group.Go(func() {
			callerTimes := hdrhistogram.New(1, maxRequestTime.Microseconds(), significantDigits)
			for time.Now().Before(end) {
				began := time.Now()
				status, err := fetch(ctx, client, b.address, b.key)
				if err != nil || status != http.StatusOK {
					failures.Add(1)
					continue
				}
				_ = callerTimes.RecordValue(time.Since(began).Microseconds())
			}
			mutex.Lock()
			defer mutex.Unlock()
			times.Merge(callerTimes)
		})
	}
	group.Wait()
	return times, failures.Load()
}

func fetch(ctx context.Context, client httpc.Service, address, key string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.DoRequest(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
