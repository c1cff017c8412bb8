package decision_test

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
)

func TestLogKeepsNewest(t *testing.T) {
	log := &decision.Log{Size: 3}
	for i := range 5 {
		log.Record("r"+strconv.Itoa(i%2), "route", "choice %d", i)
	}
	found := log.Find("r0")
	must.Len(t, 2, found)
	must.Eq(t, "choice 2", found[0].Text())
	must.Eq(t, "choice 4", found[1].Text())
	must.Len(t, 1, log.Find("r1"))
}
