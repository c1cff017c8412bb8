package poison

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

func TestQuarantinedAfterCrashesOfDifferentServers(t *testing.T) {
	var s suspect
	must.True(t, s.recordCrash("a", 1))
	must.False(t, s.recordCrash("a", 2))
	must.True(t, s.recordCrash("b", 3))
	must.False(t, s.isQuarantined())
	must.True(t, s.recordCrash("c", 4))
	must.True(t, s.isQuarantined())
}

func TestMergeKeepsCrashesOfBothSides(t *testing.T) {
	s := suspect{servers: []string{"a", "b"}}
	s.merge(statepb.Suspect_builder{Servers: []string{"b", "c"}}.Build(), 7, 9, 5)
	must.Eq(t, []string{"b", "c", "a"}, s.servers)
	must.Eq(t, 2, s.stored)
	must.Eq(t, clock.Boot(5), s.changedAt)
	must.True(t, s.needsWrite())
	s.merge(statepb.Suspect_builder{Servers: []string{"b", "c", "a"}}.Build(), 8, 9, 6)
	must.Eq(t, clock.Boot(5), s.changedAt)
	must.False(t, s.needsWrite())
}

func TestForgetStoredKeepsOwnCrashes(t *testing.T) {
	s := suspect{servers: []string{"a", "b"}, stored: 1, revision: 4, trials: 1}
	must.False(t, s.forgetStored())
	must.Eq(t, []string{"b"}, s.servers)
	must.Eq(t, uint64(0), s.revision)
	s = suspect{servers: []string{"a"}, stored: 1, revision: 4}
	must.True(t, s.forgetStored())
}

func TestNeedsWrite(t *testing.T) {
	for name, test := range map[string]struct {
		suspect suspect
		want    bool
	}{
		"one crash, the copy still runs":       {suspect{servers: []string{"a"}}, false},
		"one crash, the copy is unanswered":    {suspect{servers: []string{"a"}, isUnanswered: true}, true},
		"two crashes":                          {suspect{servers: []string{"a", "b"}}, true},
		"one crash more than the store knows":  {suspect{servers: []string{"a", "b"}, stored: 1, revision: 3}, true},
		"no crash that the store doesn't know": {suspect{servers: []string{"a"}, stored: 1, revision: 3, isUnanswered: true}, false},
		"answered":                             {suspect{servers: []string{"a"}, stored: 1, revision: 3, isCleared: true}, true},
		"answered, not in the store":           {suspect{servers: []string{"a"}, isCleared: true}, false},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, test.suspect.needsWrite()) })
	}
}

func TestUntilTrial(t *testing.T) {
	s := suspect{servers: []string{"a", "b", "c"}}
	must.Eq(t, trialDelays[0]-time.Second, s.untilTrial(clock.Boot(time.Second)))
	must.Eq(t, 0, s.untilTrial(clock.Boot(time.Minute)))
	s.trials = 1
	must.Eq(t, trialDelays[1]-time.Minute, s.untilTrial(clock.Boot(time.Minute)))
	s.trials = uint32(len(trialDelays))
	must.Eq(t, retention-time.Minute, s.untilTrial(clock.Boot(time.Minute)))
}

func TestCrashAfterAnswerStartsAnew(t *testing.T) {
	s := suspect{servers: []string{"a", "b"}, stored: 2, revision: 3, isCleared: true}
	must.True(t, s.recordCrash("a", 1))
	must.Eq(t, []string{"a"}, s.servers)
	must.True(t, s.needsWrite())
}

func TestFingerprintSeparatesFields(t *testing.T) {
	base := Identity{Account: "ab", Method: "POST", Host: "h", Target: "/x", Body: []byte("body")}
	must.Eq(t, base.fingerprint(), (&Identity{Account: "ab", Method: "POST", Host: "h", Target: "/x", Body: []byte("body")}).fingerprint())
	for _, other := range []Identity{
		{Account: "a", Method: "bPOST", Host: "h", Target: "/x", Body: []byte("body")},
		{Account: "ab", Method: "POST", Host: "h", Target: "/xb", Body: []byte("ody")},
		{Account: "ab", Method: "POST", Host: "h", Target: "/x"},
	} {
		must.NotEq(t, base.fingerprint(), other.fingerprint())
	}
}
