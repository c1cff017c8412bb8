package usage

import (
	"strconv"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// FactReported is the name of the fact that holds the start of the newest
// window that was reported; its revision is that of the window's key.
const FactReported = "usage-reported"

// NewReported returns the fact that a window was reported.
func NewReported(start int64, revision uint64) *peerpb.Fact {
	return peerpb.Fact_builder{
		Name:     FactReported,
		Revision: revision,
		Value:    []byte(strconv.FormatInt(start, 10)),
	}.Build()
}

// ParseReported returns the window that a fact names.
func ParseReported(fact *peerpb.Fact) (int64, bool) {
	start, err := strconv.ParseInt(string(fact.GetValue()), 10, 64)
	return start, err == nil
}
