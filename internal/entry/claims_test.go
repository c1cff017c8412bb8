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

// A member's phone sends the same posting twice at once through two entries.
// Both reach the key's home while the ledger works on the first. The ledger
// must post once and both phones must see its answer.
func TestSameKeyAtOnce(t *testing.T) {
	p := newPool(t, newService(t, true, answerPosting), bound)
	home, _ := p.home()
	first := sendAsync(p.clients[home], p.posting("r1"))
	receive(t, p.arrived)
	second := sendAsync(p.clients[home], p.posting("r2"))
	close(p.release)
	mustBeWhole(t, postingAnswer, receive(t, first))
	mustBeWhole(t, postingAnswer, receive(t, second))
	must.Eq(t, 1, p.runs.Load())
}

// The home's sidecar is killed after the posting was passed on and comes back
// without memory. The clerk tries again with the same key. Only the witness
// still knows, and must keep the home from posting again.
func TestRetryAtRestartedHome(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, _ := p.home()
	mustBeWhole(t, postingAnswer, p.send(home, "r1"))
	p.start(home, false)
	other := p.posting("r3")
	other.SetBody([]byte("{}"))
	mustBeRefused(t, notRun, "key_reused", send(p.clients[home], other))
	mustBeRefused(t, unknown, "claimed_elsewhere", p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// The home's host is replaced after the posting ran. The witness becomes the
// home and must recognise the key that it witnessed.
func TestRetryAfterHomeRemoved(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, witness := p.home()
	mustBeWhole(t, postingAnswer, p.send(home, "r1"))
	p.remove(home)
	p.setAddress(home, "127.0.0.1:1")
	mustBeRefused(t, unknown, "claimed_elsewhere", p.send(witness, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// The home leaves the pool after the posting ran and its sidecar still drains.
// The retry comes to the new home and must get the posting's answer.
func TestRetryWhileHomeDrains(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, witness := p.home()
	mustBeWhole(t, postingAnswer, p.send(home, "r1"))
	p.remove(home)
	mustBeWhole(t, postingAnswer, p.send(witness, "r2"))
	mustBeWhole(t, postingAnswer, p.send(witness, "r3"))
	other := p.posting("r4")
	other.SetBody([]byte("{}"))
	mustBeRefused(t, notRun, "key_reused", send(p.clients[witness], other))
	must.Eq(t, 1, p.runs.Load())
}

// Home and witness lose their memory within minutes. Nobody knows whether the
// key was used, so it must not run, and the refusal must not say "not run".
func TestRetryAfterBothRestarted(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, witness := p.home()
	mustBeWhole(t, postingAnswer, p.send(home, "r1"))
	p.start(home, false)
	p.start(witness, false)
	mustBeRefused(t, unknown, "claim_lost", p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// Both sidecars of a pool are replaced one after the other within minutes, as
// in an upgrade. Each has to learn from the other what it kept: the key that was
// used must not run again, and a new key must not be refused.
func TestRollingReplacement(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, witness := p.home()
	mustBeWhole(t, postingAnswer, p.send(home, "r1"))
	p.restart(home)
	p.restart(witness)
	p.restart(home)
	mustBeRefused(t, unknown, "not_known", p.send(home, "r2"))
	other := p.posting("r3")
	other.SetClaim(keyOfHome(p, home))
	mustBeWhole(t, postingAnswer, send(p.clients[home], other))
	must.Eq(t, 2, p.runs.Load())
}

// keyOfHome returns another key with the same home.
func keyOfHome(p *pool, home string) string {
	for i := 0; ; i++ {
		if other := fmt.Sprintf("other-%d", i); claim.Home(other, p.fleet.Load()) == home {
			return other
		}
	}
}

// The witness doesn't answer. A posting that ran now could not be told from a
// new one after the loss of its home, so it waits; once the witness is back the
// same key runs.
func TestNoWitness(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, witness := p.home()
	known := p.address[witness]
	p.setAddress(witness, "127.0.0.1:1")
	mustBeRefused(t, notRun, "no_witness", p.send(home, "r1"))
	must.Eq(t, 0, p.runs.Load())
	p.setAddress(witness, known)
	mustBeWhole(t, postingAnswer, p.send(home, "r2"))
}

// The witness keeps the claim and its answer gets lost. The posting does not
// run; the retry meets the claim at the witness and must still run, since its
// home knows that the first send was given up.
func TestWitnessAnswerLost(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, _ := p.home()
	p.losing.Store(true)
	mustBeRefused(t, notRun, "no_witness", p.send(home, "r1"))
	p.losing.Store(false)
	mustBeWhole(t, postingAnswer, p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// An entry with an old view sends a posting to a server that isn't its home.
// The refusal must leave no trace that keeps the true home from running it.
func TestWrongHome(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, witness := p.home()
	mustBeRefused(t, notRun, "wrong_home", p.send(witness, "r1"))
	mustBeWhole(t, postingAnswer, p.send(home, "r1"))
	must.Eq(t, 1, p.runs.Load())
}

// A server joins and the entry doesn't know yet, but finds the same home. To
// refuse would stop postings with a key for each change of the pool.
func TestOldEpochOfEntry(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, _ := p.home()
	old := p.posting("r1")
	p.setFleet("live", "live")
	mustBeWhole(t, postingAnswer, send(p.clients[home], old))
	mustBeWhole(t, postingAnswer, p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// The home is behind and its witness knows a newer fleet, by which the claim may
// have another home. The witness must not vouch for the old one.
func TestOldEpochOfHome(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	_, witness := p.home()
	request := peerpb.ClaimRequest_builder{Claim: key, Server: "s9", Pool: "ledger", Epoch: 0, Id: "r1"}.Build()
	reply, err := p.clients[witness].Claim(context.Background(), request)
	must.NoError(t, err)
	must.Eq(t, "wrong_epoch", reply.GetRefusal().GetCode())
}

// The ledger goes silent after it was sent the posting. Whether it posted can't
// be known, and a retry with the same key must say so again without a second run.
func TestSilentAfterSend(t *testing.T) {
	p := newPool(t, newService(t, true, answerPosting), 200*time.Millisecond)
	home, _ := p.home()
	mustBeRefused(t, unknown, "backend_silent", p.send(home, "r1"))
	mustBeRefused(t, unknown, "backend_silent", p.send(home, "r2"))
	must.Eq(t, 1, p.runs.Load())
}

// A posting is given up while it waits in the queue, and says "not run". The
// retry with the same key must then run.
func TestRetryAfterNotRun(t *testing.T) {
	p := newPool(t, newService(t, true, answerPosting), bound)
	home, _ := p.home()
	running := sendAsync(p.clients[home], posting("running"))
	receive(t, p.arrived)
	mustCancelled(t, p, home)
	close(p.release)
	receive(t, running)
	mustBeWhole(t, postingAnswer, p.send(home, "r2"))
	must.Eq(t, 2, p.runs.Load())
}

// mustCancelled sends a posting with the key that waits, and cancels it.
func mustCancelled(t *testing.T, p *pool, home string) {
	t.Helper()
	waiting := sendAsync(p.clients[home], p.posting("r1"))
	mustCancel(t, p.clients[home], "r1")
	mustBeRefused(t, notRun, "cancelled", receive(t, waiting))
}

// A sidecar is cut off from the store and the other processes, and an entry
// that is cut off with it sends a posting. The fleet may have changed twice
// outside, so the posting must not run here.
func TestIsolated(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, _ := p.home()
	p.isolated.Store(true)
	mustBeRefused(t, notRun, "isolated", p.send(home, "r1"))
	p.isolated.Store(false)
	mustBeWhole(t, postingAnswer, p.send(home, "r1"))
}

// Two callers sent the same posting; the first gives up while it waits. The
// other one must still get its answer.
func TestCancelOfSharedRun(t *testing.T) {
	p := newPool(t, newService(t, true, answerPosting), bound)
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
	mustBeWhole(t, postingAnswer, receive(t, first))
	mustBeWhole(t, postingAnswer, receive(t, second))
}

func TestKeyReused(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	home, _ := p.home()
	mustBeWhole(t, postingAnswer, p.send(home, "r1"))
	other := p.posting("r2")
	other.SetBody([]byte(`{"member":"m","hours":2}`))
	mustBeRefused(t, notRun, "key_reused", send(p.clients[home], other))
}

func TestAlone(t *testing.T) {
	p := newPool(t, newService(t, false, answerPosting), bound)
	p.setFleet("live")
	mustBeWhole(t, postingAnswer, p.send("s1", "r1"))
}

func (p *pool) remove(server string) {
	states := map[string][]string{"s1": {"removed", "live"}, "s2": {"live", "removed"}}
	p.setFleet(states[server]...)
}

// mustBecomeKnown waits until the sidecar knows a run, without starting it: it
// asks for a frame that is not there yet.
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

// mustBeJoined sends a third posting with the key and waits until it has joined.
func mustBeJoined(t *testing.T, p *pool, home string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	stream, err := p.clients[home].Run(ctx, p.posting("r3"))
	must.NoError(t, err)
	frame, err := stream.Recv()
	must.NoError(t, err)
	must.True(t, frame.HasBeat())
}
