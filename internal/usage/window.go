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

// usageTotals holds the requests and tokens of one figure.
type usageTotals struct {
	requests     uint64
	promptTokens uint64
	outputTokens uint64
}

// CloseWindow returns the figures of a window from merged counters and the windows
// that were closed before it.
//
// Usage of an earlier window is late if no closed window includes it. The figures then
// include it, marked with the start of the earlier window. Totals only grow with the
// counters, so no usage is included twice. If counters are lost after they were
// included, a total shrinks, and the window has no late usage.
func CloseWindow(start int64, counts []*peerpb.Count, closed []*statepb.Window) []*statepb.Figure {
	included := map[figureKey]usageTotals{}
	for _, window := range closed {
		addFigures(included, window)
	}
	var figures []*statepb.Figure
	for key, total := range sumCounts(counts) {
		if key.window > start {
			continue
		}
		remaining := total.subtract(included[key])
		if remaining == (usageTotals{}) {
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

// addFigures adds the figures of a closed window to included, with late figures under
// the earlier window that they belong to.
func addFigures(included map[figureKey]usageTotals, window *statepb.Window) {
	for _, figure := range window.GetFigures() {
		key := figureKey{account: figure.GetAccount(), pool: figure.GetPool(), window: window.GetStart()}
		if figure.GetLate() != 0 {
			key.window = figure.GetLate()
		}
		included[key] = included[key].add(usageTotals{
			requests:     figure.GetRequests(),
			promptTokens: figure.GetPromptTokens(),
			outputTokens: figure.GetOutputTokens(),
		})
	}
}

func sumCounts(counts []*peerpb.Count) map[figureKey]usageTotals {
	totals := map[figureKey]usageTotals{}
	for _, count := range counts {
		key := figureKey{account: count.GetAccount(), pool: count.GetPool(), window: count.GetWindow()}
		totals[key] = totals[key].add(usageTotals{
			requests:     count.GetRequests(),
			promptTokens: count.GetPromptTokens(),
			outputTokens: count.GetOutputTokens(),
		})
	}
	return totals
}

func (a usageTotals) add(other usageTotals) usageTotals {
	return usageTotals{requests: a.requests + other.requests, promptTokens: a.promptTokens + other.promptTokens, outputTokens: a.outputTokens + other.outputTokens}
}

// subtract returns the differences, or 0 where a difference would be negative.
func (a usageTotals) subtract(other usageTotals) usageTotals {
	return usageTotals{
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
