package usage

import (
	"strconv"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// FactReported is the name of the fact that holds the start of the newest
// reported window. Its revision is the revision of the window's key.
const FactReported = "usage-reported"

// NewReported returns a fact for a reported window.
func NewReported(start int64, revision uint64) *peerpb.Fact {
	return peerpb.Fact_builder{
		Name:     FactReported,
		Revision: revision,
		Value:    []byte(strconv.FormatInt(start, 10)),
	}.Build()
}

// ParseReported returns the window start in a fact.
func ParseReported(fact *peerpb.Fact) (int64, bool) {
	start, err := strconv.ParseInt(string(fact.GetValue()), 10, 64)
	return start, err == nil
}
