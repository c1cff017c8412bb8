// Command measure prints the tables of docs/MEASUREMENTS.md, which compare each
// decision with its baselines on the same seeds.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/bramleyhatch/bramleyhatch/internal/measure"
)

// flags defines the command line.
type flags struct {
	Tables   tablesCmd   `cmd:"" default:"withargs" help:"Run experiments and print their tables."`
	Overhead overheadCmd `cmd:"" help:"Compare the latency of requests through entry and sidecar with direct requests."`
	Steps    stepsCmd    `cmd:"" help:"Break down the time of trainers' steps from the logs of gateways."`
}

// tablesCmd runs experiments and prints their tables.
type tablesCmd struct {
	Experiments []string `arg:"" optional:"" help:"Prefixes of the names of experiments to run; all by default."`
	Seeds       int      `default:"5" help:"Number of seeds for each experiment."`
	CSV         string   `help:"Also write the tables to this CSV file."`
	List        bool     `help:"Print the names of the experiments without running them."`
}

// Help returns an example.
func (tablesCmd) Help() string {
	return "Example:\n  go run ./cmd/measure routing --seeds 5 --csv routing.csv"
}

func main() {
	var options flags
	command := kong.Parse(&options, kong.Name("measure"), kong.Description("Compares decisions with their baselines and measures the overhead of the processes."))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// Run prints the tables and writes them to the CSV file, if any.
func (t *tablesCmd) Run() error {
	tables, err := runExperiments(*t)
	if err != nil {
		return err
	}
	if t.CSV == "" {
		return nil
	}
	return writeCSV(t.CSV, tables)
}

func runExperiments(options tablesCmd) ([]measure.Table, error) {
	var tables []measure.Table
	for _, experiment := range measure.Experiments() {
		if options.List {
			fmt.Println(experiment.Name)
			continue
		}
		if !isWanted(experiment.Name, options.Experiments) {
			continue
		}
		table := measure.Run(experiment, options.Seeds)
		if err := table.Print(os.Stdout); err != nil {
			return nil, err
		}
		fmt.Println()
		tables = append(tables, table)
	}
	return tables, nil
}

func isWanted(name string, wanted []string) bool {
	for _, prefix := range wanted {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return len(wanted) == 0
}

func writeCSV(path string, tables []measure.Table) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, table := range tables {
		if err := table.WriteCSV(file); err != nil {
			return err
		}
	}
	return file.Close()
}
