package measure

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	memberQuiet  = 3 * time.Second
	memberBound  = 60 * time.Second
	memberConfig = 10_000
	memberFull   = 1330
)

// Membership measures how membership and facts are spread, against probes
// without pushes and against whole tables in each exchange.
func Membership() Experiment {
	return Experiment{Name: "membership", Run: func(seed uint64) []Result {
		return []Result{
			{Policy: "probes and pushes", Figures: memberFigures(memberFull, seed, false)},
			{Policy: "probes alone", Figures: memberFigures(memberFull, seed, true)},
			{Policy: "whole tables", Figures: memberWholeTables(memberFull)},
		}
	}}
}

// MembershipSlope measures the same by the number of processes.
func MembershipSlope() Experiment {
	return Experiment{Name: "membership-size", Run: func(seed uint64) []Result {
		var results []Result
		for _, size := range []int{10, 40, 120, 400} {
			figures := memberFigures(size, seed, false)
			results = append(results, Result{Policy: fmt.Sprint(size), Figures: figures})
		}
		return results
	}}
}

// memberFigures gives the bytes a second of a process while nothing happens,
// the time until an accepted configuration is known everywhere with the bytes
// that it costs a process, and the time until all know that one has died.
func memberFigures(size int, seed uint64, noPush bool) []Figure {
	loop := NewMemberLoop(size, seed)
	loop.NoPush = noPush
	loop.Run(time.Second, never)
	quiet := loop.perProcess(func() { loop.Run(memberQuiet, never) }) / memberQuiet.Seconds()
	var known time.Duration
	change := loop.perProcess(func() { known = loop.accept() })
	died := loop.loseOne()
	return []Figure{
		{Name: "quiet B/s", Value: quiet},
		{Name: "change s", Value: known.Seconds()},
		{Name: "change B", Value: change},
		{Name: "death s", Value: died.Seconds()},
	}
}

// memberWholeTables works out what an exchange of whole tables costs a process
// that asks one other and is asked by one each second; its other figures are
// not a number, since it is not run.
func memberWholeTables(size int) []Figure {
	loop := &MemberLoop{now: time.Unix(1_700_000_000, 0)}
	table := &peerpb.Gossip{}
	for i := range size {
		table.SetProcesses(append(table.GetProcesses(), loop.process(i, size)))
	}
	bytes := 2 * float64(proto.Size(table)+callBytes)
	none := math.NaN()
	return []Figure{
		{Name: "quiet B/s", Value: bytes},
		{Name: "change s", Value: none},
		{Name: "change B", Value: none},
		{Name: "death s", Value: none},
	}
}

// perProcess returns the bytes that a process sends on average while do runs.
func (l *MemberLoop) perProcess(do func()) float64 {
	before := l.Bytes()
	do()
	return float64(l.Bytes()-before) / float64(len(l.nodes))
}

// accept gives one process a configuration and waits until all have it.
func (l *MemberLoop) accept() time.Duration {
	value := make([]byte, memberConfig)
	fact := peerpb.Fact_builder{Name: member.FactConfig, Revision: 7, Value: value}.Build()
	l.Tell(func(members *member.Members) { members.Offer(fact) })
	return l.Run(memberBound, func() bool {
		return l.Share(func(members *member.Members) bool { return members.Fact(member.FactConfig) != nil }) == 1
	})
}

// loseOne ends a process and waits until all know.
func (l *MemberLoop) loseOne() time.Duration {
	lost := l.nodes[len(l.nodes)-1].members.Self().GetName()
	l.Kill(func(process *peerpb.Process) bool { return process.GetName() == lost })
	return l.Run(memberBound, func() bool { return l.knownFailed(lost) == 1 })
}

func (l *MemberLoop) knownFailed(name string) float64 {
	return l.Share(func(members *member.Members) bool {
		return members.Process(name).GetState() == peerpb.State_STATE_FAILED
	})
}

func never() bool { return false }
