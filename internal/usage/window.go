package usage

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// line identifies a figure of a window.
type line struct {
	account string
	pool    string
	window  int64
}

// sum is the usage of one line.
type sum struct {
	requests uint64
	prompt   uint64
	output   uint64
}

// CloseWindow returns the figures of a window from merged counters and the windows
// that were closed before it.
//
// What an earlier window has by now and no closed window has shown is late: it
// goes into this one, marked with the start of its own. Sums only grow with the
// counters, so what was shown once is never shown again; counters that were
// lost after they were shown make a sum smaller, and then nothing is late.
func CloseWindow(start int64, counts []*peerpb.Count, closed []*statepb.Window) []*statepb.Figure {
	shown := map[line]sum{}
	for _, window := range closed {
		addFigures(shown, window)
	}
	var figures []*statepb.Figure
	for line, total := range total(counts) {
		if line.window > start {
			continue
		}
		rest := total.less(shown[line])
		if rest == (sum{}) {
			continue
		}
		figure := statepb.Figure_builder{
			Account:      line.account,
			Pool:         line.pool,
			Requests:     rest.requests,
			PromptTokens: rest.prompt,
			OutputTokens: rest.output,
		}.Build()
		if line.window != start {
			figure.SetLate(line.window)
		}
		figures = append(figures, figure)
	}
	slices.SortFunc(figures, compareFigures)
	return figures
}

// addFigures adds a closed window's figures to the lines they belong to.
func addFigures(shown map[line]sum, window *statepb.Window) {
	for _, figure := range window.GetFigures() {
		line := line{account: figure.GetAccount(), pool: figure.GetPool(), window: window.GetStart()}
		if figure.GetLate() != 0 {
			line.window = figure.GetLate()
		}
		shown[line] = shown[line].plus(sum{
			requests: figure.GetRequests(),
			prompt:   figure.GetPromptTokens(),
			output:   figure.GetOutputTokens(),
		})
	}
}

func total(counts []*peerpb.Count) map[line]sum {
	totals := map[line]sum{}
	for _, count := range counts {
		line := line{account: count.GetAccount(), pool: count.GetPool(), window: count.GetWindow()}
		totals[line] = totals[line].plus(sum{
			requests: count.GetRequests(),
			prompt:   count.GetPromptTokens(),
			output:   count.GetOutputTokens(),
		})
	}
	return totals
}

func (s sum) plus(other sum) sum {
	return sum{requests: s.requests + other.requests, prompt: s.prompt + other.prompt, output: s.output + other.output}
}

// less subtracts and stops at 0.
func (s sum) less(other sum) sum {
	return sum{
		requests: s.requests - min(s.requests, other.requests),
		prompt:   s.prompt - min(s.prompt, other.prompt),
		output:   s.output - min(s.output, other.output),
	}
}

func compareFigures(a, b *statepb.Figure) int {
	return cmp.Or(
		cmp.Compare(a.GetLate(), b.GetLate()),
		strings.Compare(a.GetAccount(), b.GetAccount()),
		strings.Compare(a.GetPool(), b.GetPool()),
	)
}
