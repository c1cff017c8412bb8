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

func TestRunComplete(t *testing.T) {
	service := newService(t, false, answerPosting)
	client := serve(t, newServer(service.URL))
	a := send(client, posting("r1"))
	mustBeComplete(t, `{"posting":1}`, a)
	must.Eq(t, int32(201), a.frames[0].GetHead().GetStatus())
	must.Eq(t, "s1", a.frames[0].GetLoad().GetServer())
}

// The connection between entry and sidecar stops carrying data during a request. The
// entry resends the request on a new connection while the request runs, and once more
// after its end. The request must run once, and each stream must carry the complete
// answer.
func TestResendJoins(t *testing.T) {
	service := newService(t, true, answerPosting)
	client := serve(t, newServer(service.URL))
	first := sendAsync(client, posting("r1"))
	receive(t, service.arrived)
	resend := posting("r1")
	resend.SetResend(true)
	second := sendAsync(client, resend)
	close(service.release)
	mustBeComplete(t, `{"posting":1}`, receive(t, first))
	mustBeComplete(t, `{"posting":1}`, receive(t, second))
	mustBeComplete(t, `{"posting":1}`, send(client, resend))
	must.Eq(t, 1, service.runs.Load())
}

// An entry loses its connection after the first frames of an answer. It requests the
// remaining frames by position on a new connection and must receive no other frames.
func TestResumeByPosition(t *testing.T) {
	service := newService(t, false, answerPosting)
	client := serve(t, newServer(service.URL))
	mustBeComplete(t, `{"posting":1}`, send(client, posting("r1")))
	rest := posting("r1")
	rest.SetResend(true)
	rest.SetFrom(2)
	a := send(client, rest)
	mustBeComplete(t, "", a)
	must.Eq(t, 2, a.frames[0].GetSeq())
}

// A sidecar is killed after it forwarded a request and restarts without state.
// The entry's resend must not run a second time and must be refused with the
// outcome unknown.
func TestResendToRestarted(t *testing.T) {
	service := newService(t, false, answerPosting)
	before := serve(t, newServer(service.URL))
	mustBeComplete(t, `{"posting":1}`, send(before, posting("r1")))
	restarted := serve(t, newServer(service.URL))
	resend := posting("r1")
	resend.SetResend(true)
	mustBeRefused(t, unknown, "not_known", send(restarted, resend))
	must.Eq(t, 1, service.runs.Load())
}

func TestHeartbeats(t *testing.T) {
	service := newService(t, true, answerPosting)
	client := serve(t, newServer(service.URL))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stream, err := client.Run(ctx, posting("r1"))
	must.NoError(t, err)
	for range 3 {
		frame, err := stream.Recv()
		must.NoError(t, err)
		must.True(t, frame.HasBeat())
	}
	close(service.release)
	mustBeComplete(t, `{"posting":1}`, read(stream))
}

// A caller cancels a queued request. The request was never forwarded, so it must end as
// not run.
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
	mustBeComplete(t, postingAnswer, receive(t, running))
	must.Eq(t, 1, service.runs.Load())
}

// A caller cancels a running non-idempotent request. Stopping the request would leave its
// outcome unknown, so it must complete, and the resend must get its answer.
func TestCancelOfNonIdempotentRequest(t *testing.T) {
	service := newService(t, true, answerPosting)
	client := serve(t, newServer(service.URL))
	running := sendAsync(client, posting("r1"))
	receive(t, service.arrived)
	mustCancel(t, client, "r1")
	close(service.release)
	mustBeComplete(t, postingAnswer, receive(t, running))
	mustBeComplete(t, postingAnswer, send(client, posting("r1")))
	must.Eq(t, 1, service.runs.Load())
}

// A caller cancels a running idempotent request. The request must be stopped at the
// backend server at once, and its outcome must be unknown, since it may have run.
func TestCancelOfIdempotentRequest(t *testing.T) {
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
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		reply, err := client.Cancel(context.Background(), peerpb.CancelRequest_builder{Id: id}.Build())
		must.NoError(t, err)
		if reply.GetKnown() {
			return
		}
	}
	t.Fatalf("%s is not known", id)
}
