// Package measure simulates decision policies and their baselines with the same
// seeds and collects their figures. Each experiment feeds arrivals, service times and
// faults to one decision with a simulated clock, all within one process.
package measure

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
}

// Result holds the figures of one policy with one seed.
type Result struct {
	Policy  string
	Figures []Figure
}

// Experiment measures one decision: Run returns the results of the policy used in
// production and of its baselines, in the same order for every seed.
type Experiment struct {
	Name string
	Run  func(seed uint64) []Result
}

// Spread is the range and median of a figure over all seeds.
type Spread struct {
	Min    float64
	Median float64
	Max    float64
}

// Table holds an experiment's figures over its seeds.
type Table struct {
	Name     string
	Columns  []string
	Policies []string
	// Cells is indexed by policy, then by column.
	Cells [][]Spread
}

// Run runs an experiment with the seeds from 1 to seeds.
func Run(experiment Experiment, seeds int) Table {
	runs := make([][]Result, seeds)
	for i := range runs {
		runs[i] = experiment.Run(uint64(i + 1))
	}
	table := Table{Name: experiment.Name}
	for _, figure := range runs[0][0].Figures {
		table.Columns = append(table.Columns, figure.Name)
	}
	for row, result := range runs[0] {
		table.Policies = append(table.Policies, result.Policy)
		cells := make([]Spread, len(table.Columns))
		for column := range cells {
			cells[column] = newSpread(runs, row, column)
		}
		table.Cells = append(table.Cells, cells)
	}
	return table
}

func newSpread(runs [][]Result, row, column int) Spread {
	values := make([]float64, len(runs))
	for i, run := range runs {
		values[i] = run[row].Figures[column].Value
	}
	slices.Sort(values)
	return Spread{Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1]}
}

// Print writes the table as text: the median, then minimum and maximum in brackets.
func (t Table) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s\n", t.Name)
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(writer, "policy")
	for _, column := range t.Columns {
		fmt.Fprintf(writer, "\t%s", column)
	}
	fmt.Fprintln(writer)
	for row, policy := range t.Policies {
		fmt.Fprint(writer, policy)
		for _, cell := range t.Cells[row] {
			fmt.Fprintf(writer, "\t%.4g [%.4g..%.4g]", cell.Median, cell.Min, cell.Max)
		}
		fmt.Fprintln(writer)
	}
	return eris.Wrap(writer.Flush(), "print table")
}

// WriteCSV writes lines of experiment, policy, figure, minimum, median and maximum.
func (t Table) WriteCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	for row, policy := range t.Policies {
		for column, cell := range t.Cells[row] {
			record := []string{t.Name, policy, t.Columns[column], formatFloat(cell.Min), formatFloat(cell.Median), formatFloat(cell.Max)}
			if err := writer.Write(record); err != nil {
				return eris.Wrap(err, "write table")
			}
		}
	}
	writer.Flush()
	return eris.Wrap(writer.Error(), "write table")
}

func formatFloat(value float64) string {
	return strconv.FormatFloat(value, 'g', 6, 64)
}
