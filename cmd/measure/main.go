// Command measure prints the tables of docs/MEASUREMENTS.md: each decision
// beside its baselines on the same seeds.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/bramleyhatch/bramleyhatch/internal/measure"
)

// flags are the command line.
type flags struct {
	Tables   tablesCmd   `cmd:"" default:"withargs" help:"Run experiments and print their tables."`
	Overhead overheadCmd `cmd:"" help:"Compare requests through entry and sidecar with direct ones."`
	Steps    stepsCmd    `cmd:"" help:"Tell from the logs of gateways where the time of trainers' steps went."`
}

// tablesCmd prints the tables of experiments.
type tablesCmd struct {
	Experiments []string `arg:"" optional:"" help:"Experiments to run; none runs all."`
	Seeds       int      `default:"5" help:"Seeds of each experiment."`
	CSV         string   `help:"File to which the tables are written too."`
	List        bool     `help:"Only print the names of the experiments."`
}

// Help gives an example.
func (tablesCmd) Help() string {
	return "Example:\n  go run ./cmd/measure routing --seeds 5 --csv routing.csv"
}

func main() {
	var options flags
	parsed := kong.Parse(&options, kong.Name("measure"), kong.Description("Measures decisions beside their baselines, and what processes cost."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// Run prints the tables and writes them as CSV if asked.
func (t *tablesCmd) Run() error {
	tables, err := tables(*t)
	if err != nil {
		return err
	}
	if t.CSV == "" {
		return nil
	}
	return writeCSV(t.CSV, tables)
}

func tables(options tablesCmd) ([]measure.Table, error) {
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
