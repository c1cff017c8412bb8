package claim

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Verdict is what a home decides about a request under a claim.
type Verdict int

// Verdicts of a Plan.
const (
	// Pass: the claim is kept and was not passed on before.
	Pass Verdict = iota
	// Known: another sidecar knows the claim already.
	Known
	// Lost: sidecars that may have kept the claim are gone, or don't answer.
	Lost
	// NoWitness: the claim was not passed on before, and its witness doesn't answer.
	NoWitness
	// NoOtherServer: the claim was not passed on before, and the pool has no other server.
	NoOtherServer
)

// Answer is what a sidecar says when it is asked to keep a claim.
type Answer int

// Answers of a sidecar.
const (
	// Kept: the claim is kept there now and was not known. The sidecar has all
	// its memory.
	Kept Answer = iota
	// KeptAfterRestart: as Kept, but the sidecar was started again lately and has lost
	// what it kept before.
	KeptAfterRestart
	// AlreadyKnown: the claim was known there.
	AlreadyKnown
	// NoAnswer: the sidecar didn't answer, or refused.
	NoAnswer
)

// Asker asks a server's sidecar to keep the claim; the home itself is asked too.
type Asker func(server string) Answer

// Plan is whom a home has to ask before it passes a request on.
type Plan struct {
	home    string
	witness string
	past    []past
}

// NewPlan returns the plan for a claim. Remember is how long after a request its
// retries may come; sidecars keep claims for Window(remember).
func NewPlan(claim string, fleet *statepb.Fleet, now time.Time, remember time.Duration) *Plan {
	return &Plan{
		home:    Home(claim, fleet),
		witness: Witness(claim, fleet),
		past:    newHistory(claim, fleet, now, Window(remember)).found,
	}
}

// Window returns how long sidecars have to keep a claim so that a retry within
// remember finds it.
func Window(remember time.Duration) time.Duration { return remember + 2*MaxFleetLag }

// Home returns the claim's home.
func (p *Plan) Home() string { return p.home }

// Check asks the sidecars and decides. Each server is asked at most once.
//
// A claim may run if each server that may have been its home within the window
// says that it has not passed the request on or, where a home can't say so,
// each of its possible witnesses does. Both lost together leave nobody who
// knows, so the claim is then never passed on.
func (p *Plan) Check(ask Asker) Verdict {
	c := checker{ask: ask, answers: map[string]Answer{}}
	for _, past := range p.past {
		if verdict := c.checkPast(past); verdict != Pass {
			return verdict
		}
	}
	if p.witness == "" {
		return p.checkAlone(&c)
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

func (p *Plan) checkAlone(c *checker) Verdict {
	if c.answer(p.home) != Kept {
		return Lost
	}
	return NoOtherServer
}

// checker asks each server once.
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

// checkPast returns Pass if the past home has not passed the claim on.
func (c *checker) checkPast(past past) Verdict {
	if !past.dead {
		switch c.answer(past.home) {
		case Kept:
			return Pass
		case AlreadyKnown:
			return Known
		default:
		}
	}
	if past.alone || len(past.witnesses) == 0 {
		return Lost
	}
	for _, witness := range past.witnesses {
		if verdict := c.checkWitness(witness); verdict != Pass {
			return verdict
		}
	}
	return Pass
}

func (c *checker) checkWitness(witness past) Verdict {
	if witness.dead {
		return Lost
	}
	switch c.answer(witness.home) {
	case Kept:
		return Pass
	case AlreadyKnown:
		return Known
	default:
		return Lost
	}
}
