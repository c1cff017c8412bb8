package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	notRun  = peerpb.Outcome_OUTCOME_NOT_RUN
	unknown = peerpb.Outcome_OUTCOME_UNKNOWN
)

func TestRunWhole(t *testing.T) {
	service := newService(t, false, answerPosting)
	client := serve(t, newServer(service.URL))
	a := send(client, posting("r1"))
	mustBeWhole(t, `{"posting":1}`, a)
	must.Eq(t, int32(201), a.frames[0].GetHead().GetStatus())
	must.Eq(t, "s1", a.frames[0].GetLoad().GetServer())
}

// A clerk's posting is on its way when the connection between entry and sidecar
// goes silent. The entry sends the posting again on a new connection while the
// ledger still works on it, and a third time after its end. The ledger must
// post once, and each stream must carry the whole answer.
func TestResendJoins(t *testing.T) {
	service := newService(t, true, answerPosting)
	client := serve(t, newServer(service.URL))
	first := sendAsync(client, posting("r1"))
	receive(t, service.arrived)
	again := posting("r1")
	again.SetResend(true)
	second := sendAsync(client, again)
	close(service.release)
	mustBeWhole(t, `{"posting":1}`, receive(t, first))
	mustBeWhole(t, `{"posting":1}`, receive(t, second))
	mustBeWhole(t, `{"posting":1}`, send(client, again))
	must.Eq(t, 1, service.runs.Load())
}

// An entry has got the first frames of an answer when its connection is lost.
// It asks for the rest by position on a new one and must get only the rest.
func TestResumeByPosition(t *testing.T) {
	service := newService(t, false, answerPosting)
	client := serve(t, newServer(service.URL))
	mustBeWhole(t, `{"posting":1}`, send(client, posting("r1")))
	rest := posting("r1")
	rest.SetResend(true)
	rest.SetFrom(2)
	a := send(client, rest)
	mustBeWhole(t, "", a)
	must.Eq(t, 2, a.frames[0].GetSeq())
}

// A sidecar is killed after it has passed a posting on and comes back without
// memory. The entry sends the posting again. Running it would post twice, so
// the caller must hear that the outcome is unknown.
func TestResendToRestarted(t *testing.T) {
	service := newService(t, false, answerPosting)
	before := serve(t, newServer(service.URL))
	mustBeWhole(t, `{"posting":1}`, send(before, posting("r1")))
	restarted := serve(t, newServer(service.URL))
	again := posting("r1")
	again.SetResend(true)
	mustBeRefused(t, unknown, "not_known", send(restarted, again))
	must.Eq(t, 1, service.runs.Load())
}

func TestBeats(t *testing.T) {
	service := newService(t, true, answerPosting)
	client := serve(t, newServer(service.URL))
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	stream, err := client.Run(ctx, posting("r1"))
	must.NoError(t, err)
	for range 3 {
		frame, err := stream.Recv()
		must.NoError(t, err)
		must.True(t, frame.HasBeat())
	}
	close(service.release)
	mustBeWhole(t, `{"posting":1}`, read(stream))
}

// A caller gives up while its posting waits for the ledger. It was never passed
// on, so it ends as not run.
func TestCancelWaiting(t *testing.T) {
	service := newService(t, true, answerPosting)
	server := newServer(service.URL)
	server.MaxRunning = 1
	client := serve(t, server)
	running := sendAsync(client, posting("running"))
	receive(t, service.arrived)
	waiting := sendAsync(client, posting("waiting"))
	mustCancel(t, client, "waiting")
	mustBeRefused(t, notRun, "cancelled", receive(t, waiting))
	close(service.release)
	mustBeWhole(t, postingAnswer, receive(t, running))
	must.Eq(t, 1, service.runs.Load())
}

// A caller gives up while the ledger posts. Stopped in its middle, nobody would
// know whether it was posted; so it ends, and the resend gets its answer.
func TestCancelOfPostingLeavesIt(t *testing.T) {
	service := newService(t, true, answerPosting)
	client := serve(t, newServer(service.URL))
	running := sendAsync(client, posting("r1"))
	receive(t, service.arrived)
	mustCancel(t, client, "r1")
	close(service.release)
	mustBeWhole(t, postingAnswer, receive(t, running))
	mustBeWhole(t, postingAnswer, send(client, posting("r1")))
	must.Eq(t, 1, service.runs.Load())
}

// A caller gives up a read that runs. The backend server is left alone at once,
// and the refusal doesn't say "not run", since it may have.
func TestCancelOfRead(t *testing.T) {
	service := newService(t, true, answerPosting)
	client := serve(t, newServer(service.URL))
	request := posting("r1")
	request.SetIdempotent(true)
	running := sendAsync(client, request)
	receive(t, service.arrived)
	mustCancel(t, client, "r1")
	mustBeRefused(t, unknown, "cancelled", receive(t, running))
}

func mustCancel(t *testing.T, client peerpb.SidecarClient, id string) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for time.Now().Before(deadline) {
		reply, err := client.Cancel(context.Background(), peerpb.CancelRequest_builder{Id: id}.Build())
		must.NoError(t, err)
		if reply.GetKnown() {
			return
		}
	}
	t.Fatalf("%s is not known", id)
}
