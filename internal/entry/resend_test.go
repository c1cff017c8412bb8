package entry_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

func resent(request *peerpb.RunRequest) *peerpb.RunRequest {
	request.SetResend(true)
	return request
}

// The connection is lost before the posting has reached the sidecar, and the
// entry sends it again. The sidecar knows that it never came, so it must run.
func TestResendOfLostSend(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, _ := p.home()
	mustBeWhole(t, postingAnswer, send(p.clients[home], resent(posting("r1"))))
	mustBeWhole(t, postingAnswer, send(p.clients[home], resent(posting("r1"))))
	must.Eq(t, 1, p.runs.Load())
}

// A read was passed on, then its sidecar was killed and started again. The new
// process takes no work when the entry sends the read again. It ran, so no
// refusal may say "not run", whatever the new process refuses it for.
func TestResendIsNeverNotRun(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, _ := p.home()
	p.start(home, false)
	mustOrder(t, p.clients[home], drain, 1)
	read := resent(posting("r1"))
	read.SetIdempotent(true)
	mustBeRefused(t, unknown, "draining", send(p.clients[home], read))
	other := resent(posting("r2"))
	other.SetPool("other")
	mustBeRefused(t, unknown, "wrong_pool", send(p.clients[home], other))
	mustBeRefused(t, notRun, "draining", send(p.clients[home], posting("r3")))
}

// The home is killed and started again, and the entry sends a posting with a key
// again. If the posting had not been passed on, the witness knows of none and it
// runs; if it had, it must not run a second time.
func TestResendWithKeyToRestartedHome(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, _ := p.home()
	p.start(home, false)
	mustBeWhole(t, postingAnswer, send(p.clients[home], resent(p.posting("r1"))))
	p.start(home, false)
	mustBeRefused(t, unknown, "claimed_elsewhere", send(p.clients[home], resent(p.posting("r1"))))
	must.Eq(t, 1, p.runs.Load())
}
