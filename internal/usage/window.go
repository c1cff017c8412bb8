package usage

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// figureKey identifies a figure by account, pool and window.
type figureKey struct {
	account string
	pool    string
	window  int64
}

// amounts is the usage of one figure.
type amounts struct {
	requests     uint64
	promptTokens uint64
	outputTokens uint64
}

// CloseWindow returns the figures of a window from merged counters and the windows
// that were closed before it.
//
// Usage of an earlier window that no closed window includes is late: this window
// includes it, marked with the start of its own window. Totals only grow with
// the counters, so no usage is included twice. If counters are lost after they
// were included, a total shrinks, and then nothing is late.
func CloseWindow(start int64, counts []*peerpb.Count, closed []*statepb.Window) []*statepb.Figure {
	included := map[figureKey]amounts{}
	for _, window := range closed {
		addFigures(included, window)
	}
	var figures []*statepb.Figure
	for key, total := range sumCounts(counts) {
		if key.window > start {
			continue
		}
		remaining := total.subtract(included[key])
		if remaining == (amounts{}) {
			continue
		}
		figure := statepb.Figure_builder{
			Account:      key.account,
			Pool:         key.pool,
			Requests:     remaining.requests,
			PromptTokens: remaining.promptTokens,
			OutputTokens: remaining.outputTokens,
		}.Build()
		if key.window != start {
			figure.SetLate(key.window)
		}
		figures = append(figures, figure)
	}
	slices.SortFunc(figures, compareFigures)
	return figures
}

// addFigures adds a closed window's figures, late ones under their own window.
func addFigures(included map[figureKey]amounts, window *statepb.Window) {
	for _, figure := range window.GetFigures() {
		key := figureKey{account: figure.GetAccount(), pool: figure.GetPool(), window: window.GetStart()}
		if figure.GetLate() != 0 {
			key.window = figure.GetLate()
		}
		included[key] = included[key].add(amounts{
			requests:     figure.GetRequests(),
			promptTokens: figure.GetPromptTokens(),
			outputTokens: figure.GetOutputTokens(),
		})
	}
}

func sumCounts(counts []*peerpb.Count) map[figureKey]amounts {
	totals := map[figureKey]amounts{}
	for _, count := range counts {
		key := figureKey{account: count.GetAccount(), pool: count.GetPool(), window: count.GetWindow()}
		totals[key] = totals[key].add(amounts{
			requests:     count.GetRequests(),
			promptTokens: count.GetPromptTokens(),
			outputTokens: count.GetOutputTokens(),
		})
	}
	return totals
}

func (a amounts) add(other amounts) amounts {
	return amounts{requests: a.requests + other.requests, promptTokens: a.promptTokens + other.promptTokens, outputTokens: a.outputTokens + other.outputTokens}
}

// subtract returns the difference, with each amount at least 0.
func (a amounts) subtract(other amounts) amounts {
	return amounts{
		requests:     a.requests - min(a.requests, other.requests),
		promptTokens: a.promptTokens - min(a.promptTokens, other.promptTokens),
		outputTokens: a.outputTokens - min(a.outputTokens, other.outputTokens),
	}
}

func compareFigures(a, b *statepb.Figure) int {
	return cmp.Or(
		cmp.Compare(a.GetLate(), b.GetLate()),
		strings.Compare(a.GetAccount(), b.GetAccount()),
		strings.Compare(a.GetPool(), b.GetPool()),
	)
}
