package claim

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Verdict is a home's decision on a request under a claim.
type Verdict int

// Verdicts of a Plan.
const (
	// Pass: the claim is stored and no request under it was passed on before.
	Pass Verdict = iota
	// Known: another sidecar knows the claim already.
	Known
	// Lost: sidecars that may have stored the claim are gone, or don't answer.
	Lost
	// NoWitness: no request was passed on before, and the witness doesn't answer.
	NoWitness
	// NoOtherServer: no request was passed on before, and the pool has no other server.
	NoOtherServer
)

// Answer is a sidecar's answer to a request to store a claim.
type Answer int

// Answers of a sidecar.
const (
	// Kept: the sidecar did not know the claim and has stored it. Its journal
	// is complete.
	Kept Answer = iota
	// KeptAfterRestart: as Kept, but the sidecar restarted within the window and has
	// lost the claims that it stored before.
	KeptAfterRestart
	// AlreadyKnown: the sidecar knew the claim already.
	AlreadyKnown
	// NoAnswer: the sidecar didn't answer, or refused.
	NoAnswer
)

// Asker asks a server's sidecar to store the claim; the home itself is asked too.
type Asker func(server string) Answer

// Plan lists the servers that a home has to ask before it passes a request on.
type Plan struct {
	home      string
	witness   string
	pastHomes []candidate
}

// NewPlan returns the plan for a claim. Retries of a request may come within
// retryPeriod after it; sidecars store claims for Window(retryPeriod).
func NewPlan(claim string, fleet *statepb.Fleet, now time.Time, retryPeriod time.Duration) *Plan {
	return &Plan{
		home:      Home(claim, fleet),
		witness:   Witness(claim, fleet),
		pastHomes: newHistory(claim, fleet, now, Window(retryPeriod)).homes,
	}
}

// Window returns how long sidecars have to store a claim so that a retry within
// retryPeriod finds it.
func Window(retryPeriod time.Duration) time.Duration { return retryPeriod + 2*MaxFleetLag }

// Home returns the claim's home.
func (p *Plan) Home() string { return p.home }

// Check asks the sidecars, each at most once, and returns the verdict.
//
// A claim may run if each server that may have been its home within the window
// confirms that it has not passed a request on or, where a home can't confirm
// it, each of its possible witnesses does. If a home and a witness are both
// lost, no process knows whether the request was passed on, and the home does
// not pass it on.
func (p *Plan) Check(ask Asker) Verdict {
	c := checker{ask: ask, answers: map[string]Answer{}}
	for _, home := range p.pastHomes {
		if verdict := c.checkHome(home); verdict != Pass {
			return verdict
		}
	}
	if p.witness == "" {
		return p.checkOnlyServer(&c)
	}
	switch c.answer(p.witness) {
	case AlreadyKnown:
		return Known
	case NoAnswer:
		return NoWitness
	default:
		return Pass
	}
}

func (p *Plan) checkOnlyServer(c *checker) Verdict {
	if c.answer(p.home) != Kept {
		return Lost
	}
	return NoOtherServer
}

// checker asks each server at most once and caches the answers.
type checker struct {
	ask     Asker
	answers map[string]Answer
}

func (c *checker) answer(server string) Answer {
	answer, asked := c.answers[server]
	if !asked {
		answer = c.ask(server)
		c.answers[server] = answer
	}
	return answer
}

// checkHome returns Pass if the past home has not passed a request on.
func (c *checker) checkHome(home candidate) Verdict {
	if !home.isRemoved {
		switch c.answer(home.server) {
		case Kept:
			return Pass
		case AlreadyKnown:
			return Known
		default:
		}
	}
	if home.mayLackWitness || len(home.witnesses) == 0 {
		return Lost
	}
	for _, witness := range home.witnesses {
		if verdict := c.checkWitness(witness); verdict != Pass {
			return verdict
		}
	}
	return Pass
}

func (c *checker) checkWitness(witness candidate) Verdict {
	if witness.isRemoved {
		return Lost
	}
	switch c.answer(witness.server) {
	case Kept:
		return Pass
	case AlreadyKnown:
		return Known
	default:
		return Lost
	}
}
