package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"
)

const (
	entryShare  = 0.3
	slopeZones  = 7
	mostEntries = 200
)

// slopesCmd runs growing numbers of processes on loopback.
type slopesCmd struct {
	Programs string        `required:"" type:"existingdir" help:"Folder with the built programs bramleyhatch and standin."`
	Counts   []int         `default:"10,40,120" help:"Numbers of processes; three of ten are entries."`
	Settle   time.Duration `default:"20s" help:"Time for the processes to find each other."`
	Time     time.Duration `default:"20s" help:"Time over which the figures are taken."`
}

// Help gives an example.
func (slopesCmd) Help() string {
	return "Example:\n  go build -o bin/ . ./cmd/standin && go run ./cmd/measure slopes --programs bin"
}

// slope is what a number of processes cost.
type slope struct {
	count    int
	entry    cost
	sidecar  cost
	bytes    float64
	reads    float64
	writes   float64
	inForce  time.Duration
	complete bool
}

// Run prints one line for each number of processes.
func (s *slopesCmd) Run() error {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "processes\tentry cpu %\tentry MB\tsidecar cpu %\tsidecar MB\tloopback bytes/s a process\tstore reads/s\tstore writes/s\tchange in force everywhere")
	for _, count := range s.Counts {
		if count > mostEntries {
			return fmt.Errorf("%d processes are more than the %d that one machine is to run", count, mostEntries)
		}
		found, err := s.measure(count)
		if err != nil {
			return err
		}
		inForce := found.inForce.Round(time.Millisecond).String()
		if !found.complete {
			inForce = "not within " + inForce
		}
		fmt.Fprintf(writer, "%d\t%.2f\t%.1f\t%.2f\t%.1f\t%.0f\t%.1f\t%.1f\t%s\n", found.count, found.entry.processor, found.entry.memory,
			found.sidecar.processor, found.sidecar.memory, found.bytes, found.reads, found.writes, inForce)
	}
	return writer.Flush()
}

func (s *slopesCmd) measure(count int) (slope, error) {
	folder, err := os.MkdirTemp("", "bramleyhatch-slopes-")
	if err != nil {
		return slope{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := &processes{folder: folder, programs: s.Programs}
	defer group.stop()
	if err := group.start(ctx, count); err != nil {
		return slope{}, err
	}
	time.Sleep(s.Settle)
	return group.observe(ctx, s.Time)
}

func programFile(folder, name string) string {
	return filepath.Join(folder, name)
}
