package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const postingAnswer = `{"posting":1}`

// Two requests with the same idempotency key arrive through two entries while the backend
// server works on the first. The request must run once, and both callers must get its
// answer.
func TestSameKeyAtOnce(t *testing.T) {
	p := newPool(t, newService(t, true, answerPosting), testTimeout)
	home, _ := p.home()
	first := sendAsync(p.clients[home], p.posting("r1"))
	receive(t, p.arrived)
	second := sendAsync(p.clients[home], p.posting("r2"))
	close(p.release)
	mustBeComplete(t, postingAnswer, receive(t, first))
	mustBeComplete(t, postingAnswer, receive(t, second))
	must.Eq(t, 1, p.runs.Load())
}

// The home's sidecar is killed after it forwarded a request, and restarts without
// its claims. A retry with the same key must not run again, since the witness
// still has the claim.
func TestRetryAtRestartedHome(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, _ := p.home()
	mustBeComplete(t, postingAnswer, p.send(home, "r1"))
	p.start(home, false)
	other := p.posting("r3")
	other.SetBody([]byte("{}"))
	mustBeRefused(t, notRun, "key_reused", send(p.clients[home], other))
	mustBeRefused(t, unknown, "claimed_elsewhere", p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// The home's host is replaced after a request ran. The witness becomes the home
// and must recognise the claim that it witnessed.
func TestRetryAfterHomeRemoved(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, witness := p.home()
	mustBeComplete(t, postingAnswer, p.send(home, "r1"))
	p.remove(home)
	p.setAddress(home, "127.0.0.1:1")
	mustBeRefused(t, unknown, "claimed_elsewhere", p.send(witness, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// The home leaves the pool after a request ran, and its sidecar still drains. A
// retry reaches the new home and must get the answer of the first request.
func TestRetryWhileHomeDrains(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, witness := p.home()
	mustBeComplete(t, postingAnswer, p.send(home, "r1"))
	p.remove(home)
	mustBeComplete(t, postingAnswer, p.send(witness, "r2"))
	mustBeComplete(t, postingAnswer, p.send(witness, "r3"))
	other := p.posting("r4")
	other.SetBody([]byte("{}"))
	mustBeRefused(t, notRun, "key_reused", send(p.clients[witness], other))
	must.Eq(t, 1, p.runs.Load())
}

// Home and witness restart without their claims within the window. Whether the key was
// used is unknown, so a retry must not run, and its outcome must not be "not run".
func TestRetryAfterBothRestarted(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, witness := p.home()
	mustBeComplete(t, postingAnswer, p.send(home, "r1"))
	p.start(home, false)
	p.start(witness, false)
	mustBeRefused(t, unknown, "claim_lost", p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// Both sidecars of a pool restart one after the other within the window, as in a
// rolling upgrade. Each must restore its claims from the other: a used key must
// not run again, and a new key must not be refused.
func TestRollingReplacement(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, witness := p.home()
	mustBeComplete(t, postingAnswer, p.send(home, "r1"))
	p.restart(home)
	p.restart(witness)
	p.restart(home)
	mustBeRefused(t, unknown, "not_known", p.send(home, "r2"))
	other := p.posting("r3")
	other.SetClaim(keyOfHome(p, home))
	mustBeComplete(t, postingAnswer, send(p.clients[home], other))
	must.Eq(t, 2, p.runs.Load())
}

// keyOfHome returns a key that differs from the constant key and has the given home.
func keyOfHome(p *pool, home string) string {
	for i := 0; ; i++ {
		if other := fmt.Sprintf("other-%d", i); claim.Home(other, p.fleet.Load()) == home {
			return other
		}
	}
}

// The witness doesn't answer. If a request ran now, the loss of its home would make its
// outcome unknown, so it is refused. A retry with the same key runs once the witness is
// available again.
func TestNoWitness(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, witness := p.home()
	address := p.address[witness]
	p.setAddress(witness, "127.0.0.1:1")
	mustBeRefused(t, notRun, "no_witness", p.send(home, "r1"))
	must.Eq(t, 0, p.runs.Load())
	p.setAddress(witness, address)
	mustBeComplete(t, postingAnswer, p.send(home, "r2"))
}

// The witness records the claim but its reply is lost, and the request doesn't run. A
// retry finds the claim at the witness and must still run, since the home knows that the
// first send ended as not run.
func TestWitnessAnswerLost(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, _ := p.home()
	p.dropsReplies.Store(true)
	mustBeRefused(t, notRun, "no_witness", p.send(home, "r1"))
	p.dropsReplies.Store(false)
	mustBeComplete(t, postingAnswer, p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// An entry with an outdated fleet sends a request to a server that isn't its home. The
// refusal must leave no claim that keeps the home from running the request.
func TestWrongHome(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, witness := p.home()
	mustBeRefused(t, notRun, "wrong_home", p.send(witness, "r1"))
	mustBeComplete(t, postingAnswer, p.send(home, "r1"))
	must.Eq(t, 1, p.runs.Load())
}

// A server joins; an entry with the previous epoch still finds the same home. A
// refusal would interrupt all requests with a key on each change of the pool.
func TestOldEpochOfEntry(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, _ := p.home()
	old := p.posting("r1")
	p.setFleet("live", "live")
	mustBeComplete(t, postingAnswer, send(p.clients[home], old))
	mustBeComplete(t, postingAnswer, p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// A home asks with an older epoch than its witness has. In the newer fleet the claim may
// have another home, so the witness must refuse.
func TestOldEpochOfHome(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	_, witness := p.home()
	request := peerpb.ClaimRequest_builder{Claim: key, Server: "s9", Pool: "ledger", Epoch: 0, Id: "r1"}.Build()
	reply, err := p.clients[witness].Claim(context.Background(), request)
	must.NoError(t, err)
	must.Eq(t, "wrong_epoch", reply.GetRefusal().GetCode())
}

// The backend server stops answering after it received a request, so the outcome is
// unknown. A retry with the same key must also report an unknown outcome and must not
// run.
func TestSilentAfterSend(t *testing.T) {
	p := newPool(t, newService(t, true, answerPosting), 200*time.Millisecond)
	home, _ := p.home()
	mustBeRefused(t, unknown, "backend_silent", p.send(home, "r1"))
	mustBeRefused(t, unknown, "backend_silent", p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// A queued request is cancelled and ends as not run. A retry with the same key
// must then run.
func TestRetryAfterNotRun(t *testing.T) {
	p := newPool(t, newService(t, true, answerPosting), testTimeout)
	home, _ := p.home()
	running := sendAsync(p.clients[home], posting("running"))
	receive(t, p.arrived)
	mustCancelQueued(t, p, home)
	close(p.release)
	receive(t, running)
	mustBeComplete(t, postingAnswer, p.send(home, "r2"))
	must.Eq(t, 2, p.runs.Load())
}

// mustCancelQueued sends a request with the key while the slot is taken, and cancels it.
func mustCancelQueued(t *testing.T, p *pool, home string) {
	t.Helper()
	waiting := sendAsync(p.clients[home], p.posting("r1"))
	mustCancel(t, p.clients[home], "r1")
	mustBeRefused(t, notRun, "cancelled", receive(t, waiting))
}

// A sidecar and an entry are partitioned from the store and the other processes.
// The fleet may have changed twice on the other side, so a request with a key
// must not run here.
func TestIsolated(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, _ := p.home()
	p.isolated.Store(true)
	mustBeRefused(t, notRun, "isolated", p.send(home, "r1"))
	p.isolated.Store(false)
	mustBeComplete(t, postingAnswer, p.send(home, "r1"))
}

// Two callers share a queued run and the first caller cancels. The second must still get
// the answer.
func TestCancelOfSharedRun(t *testing.T) {
	p := newPool(t, newService(t, true, answerPosting), testTimeout)
	home, _ := p.home()
	running := sendAsync(p.clients[home], posting("running"))
	receive(t, p.arrived)
	first := sendAsync(p.clients[home], p.posting("r1"))
	mustBecomeKnown(t, p.clients[home], "r1")
	second := sendAsync(p.clients[home], p.posting("r2"))
	mustBeJoined(t, p, home)
	mustCancel(t, p.clients[home], "r1")
	close(p.release)
	receive(t, running)
	mustBeComplete(t, postingAnswer, receive(t, first))
	mustBeComplete(t, postingAnswer, receive(t, second))
}

func TestKeyReused(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	home, _ := p.home()
	mustBeComplete(t, postingAnswer, p.send(home, "r1"))
	other := p.posting("r2")
	other.SetBody([]byte(`{"member":"m","hours":2}`))
	mustBeRefused(t, notRun, "key_reused", send(p.clients[home], other))
}

func TestSingleServer(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), testTimeout)
	p.setFleet("live")
	mustBeComplete(t, postingAnswer, p.send("s1", "r1"))
}

func (p *pool) remove(server string) {
	states := map[string][]string{"s1": {"removed", "live"}, "s2": {"live", "removed"}}
	p.setFleet(states[server]...)
}

// mustBecomeKnown waits until the sidecar knows a run. It asks for a frame that does not
// exist yet, so that the probe starts no run.
func mustBecomeKnown(t *testing.T, client peerpb.SidecarClient, id string) {
	t.Helper()
	probe := posting(id)
	probe.SetFrom(1)
	for range 10000 {
		if send(client, probe).refusal.GetCode() == "frames_dropped" {
			return
		}
	}
	t.Fatalf("%s is not known", id)
}

// mustBeJoined sends a third request with the key and waits until the request has joined
// the run.
func mustBeJoined(t *testing.T, p *pool, home string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stream, err := p.clients[home].Run(ctx, p.posting("r3"))
	must.NoError(t, err)
	frame, err := stream.Recv()
	must.NoError(t, err)
	must.True(t, frame.HasBeat())
}
