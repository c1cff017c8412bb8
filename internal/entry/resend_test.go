package entry_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

func asResend(request *peerpb.RunRequest) *peerpb.RunRequest {
	request.SetResend(true)
	return request
}

// The connection is lost before a request has reached the sidecar, and the entry resends
// it. The sidecar knows that it never received the request, so the request must run.
func TestResendOfLostSend(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, _ := p.home()
	mustBeComplete(t, postingAnswer, send(p.clients[home], asResend(posting("r1"))))
	mustBeComplete(t, postingAnswer, send(p.clients[home], asResend(posting("r1"))))
	must.Eq(t, 1, p.runs.Load())
}

// A sidecar is killed after it forwarded an idempotent request, and the new process
// refuses the resend, for example because the sidecar drains. The request may have run,
// so no refusal may be "not run".
func TestResendIsNeverNotRun(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, _ := p.home()
	p.start(home, false)
	mustOrder(t, p.clients[home], drain, 1)
	read := asResend(posting("r1"))
	read.SetIdempotent(true)
	mustBeRefused(t, unknown, "draining", send(p.clients[home], read))
	other := asResend(posting("r2"))
	other.SetPool("other")
	mustBeRefused(t, unknown, "wrong_pool", send(p.clients[home], other))
	mustBeRefused(t, notRun, "draining", send(p.clients[home], posting("r3")))
}

// The home is killed and restarted, and the entry resends a request with a key. A request
// that was not forwarded before has no claim at the witness and must run; a forwarded one
// must not run again.
func TestResendWithKeyToRestartedHome(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, _ := p.home()
	p.start(home, false)
	mustBeComplete(t, postingAnswer, send(p.clients[home], asResend(p.posting("r1"))))
	p.start(home, false)
	mustBeRefused(t, unknown, "claimed_elsewhere", send(p.clients[home], asResend(p.posting("r1"))))
	must.Eq(t, 1, p.runs.Load())
}
