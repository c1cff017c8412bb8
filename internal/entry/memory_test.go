package entry_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Guards against requests of many entries that together take a sidecar's memory while they wait.
func TestRequestsAreBoundedInMemory(t *testing.T) {
	ledger := newService(t, false, http.HandlerFunc(answerPosting))
	server := newServer(ledger.URL)
	server.Memory = &budget.Budget{Bytes: 256 << 10}
	client := serve(t, server)
	large := posting("r1")
	large.SetBody(bytes.Repeat([]byte("x"), 512<<10))
	mustBeRefused(t, peerpb.Outcome_OUTCOME_NOT_RUN, "no_memory", send(client, large))
	for i := range 20 {
		mustBeComplete(t, `{"posting":1}`, send(client, posting(fmt.Sprint("small", i))))
	}
}
