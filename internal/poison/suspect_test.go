package poison

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

func stored(trials uint32, servers ...string) *statepb.Suspect {
	return statepb.Suspect_builder{Servers: servers, Trials: trials}.Build()
}

func TestQuarantinedAfterCrashesOfDifferentServers(t *testing.T) {
	var s suspect
	must.True(t, s.recordCrash("a", 0, 1))
	must.False(t, s.recordCrash("a", 0, 2))
	must.True(t, s.recordCrash("b", 0, 3))
	must.False(t, s.isQuarantined())
	must.True(t, s.recordCrash("c", 0, 4))
	must.True(t, s.isQuarantined())
}

// Guards against crashes that aren't counted because a server's restart under its old identity isn't known yet.
func TestLaterCrashUnderTheSameIdentityCounts(t *testing.T) {
	var s suspect
	must.True(t, s.recordCrash("a", 1, 2))
	must.False(t, s.recordCrash("a", 1, 3), must.Sprint("another copy that ran there"))
	must.True(t, s.recordCrash("a", 3, 4))
	must.True(t, s.recordCrash("a", 5, 6))
	must.Eq(t, []string{"a", "a#2", "a#3"}, s.servers)
}

func TestMergeKeepsCrashesOfBothSides(t *testing.T) {
	s := suspect{servers: []string{"a", "b"}}
	s.merge(stored(0, "b", "c"), 7, 9, 5)
	must.Eq(t, []string{"b", "c", "a"}, s.servers)
	must.Eq(t, clock.Boot(5), s.changedAt)
	must.True(t, s.needsWrite())
	s.merge(stored(0, "b", "c", "a"), 8, 9, 6)
	must.Eq(t, clock.Boot(5), s.changedAt)
	must.False(t, s.needsWrite())
}

// Guards against crashes that count again though another gateway has seen an answer since.
func TestMergeDropsWhatTheStoreDropped(t *testing.T) {
	var s suspect
	s.merge(stored(0, "a", "b"), 1, 9, 1)
	s.merge(stored(0, "c"), 2, 9, 2)
	must.Eq(t, []string{"c"}, s.servers)
}

// Guards against an answer that is forgotten because another gateway writes a crash at the same time.
func TestMergeKeepsAnAnswer(t *testing.T) {
	var s suspect
	s.merge(stored(1, "a", "b", "c"), 1, 9, 1)
	s.recordAnswer()
	must.True(t, s.needsWrite())
	s.merge(stored(1, "a", "b", "c", "d"), 2, 9, 2)
	must.Eq(t, []string{"d"}, s.servers)
	must.Eq(t, uint32(0), s.trials)
	must.True(t, s.needsWrite())
	s.merge(stored(0, "d"), 3, 9, 3)
	must.False(t, s.needsWrite())
	s.merge(stored(1, "d"), 4, 9, 4)
	must.Eq(t, uint32(1), s.trials)
}

func TestRemoveStoredKeepsOwnCrashes(t *testing.T) {
	var s suspect
	s.merge(stored(1, "a"), 4, 9, 1)
	s.recordCrash("b", 1, 2)
	s.removeStored()
	must.Eq(t, []string{"b"}, s.servers)
	must.Eq(t, uint64(0), s.revision)
	must.False(t, s.isOver(2))
}

func TestNeedsWrite(t *testing.T) {
	for name, test := range map[string]struct {
		suspect suspect
		want    bool
	}{
		"one crash, the copy still runs":       {suspect{servers: []string{"a"}}, false},
		"one crash, the copy is unanswered":    {suspect{servers: []string{"a"}, isUnanswered: true}, true},
		"two crashes":                          {suspect{servers: []string{"a", "b"}}, true},
		"one crash more than the store knows":  {suspect{servers: []string{"a", "b"}, stored: []string{"a"}, revision: 3}, true},
		"no crash that the store doesn't know": {suspect{servers: []string{"a"}, stored: []string{"a"}, revision: 3, isUnanswered: true}, false},
		"answered":                             {suspect{answered: []string{"a"}, stored: []string{"a"}, revision: 3}, true},
		"answered, not in the store":           {suspect{answered: []string{"a"}, isUnanswered: true}, false},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, test.suspect.needsWrite()) })
	}
}

func TestUntilTrial(t *testing.T) {
	s := suspect{servers: []string{"a", "b", "c"}, fingerprint: "8000"}
	delay := trialDelays[0].min + trialDelays[0].spread/2
	must.Eq(t, delay-time.Second, s.untilTrial(clock.Boot(time.Second)))
	must.Eq(t, 0, s.untilTrial(clock.Boot(delay)))
	s.claimFailedAt = clock.Boot(delay)
	must.Eq(t, trialRetryDelay, s.untilTrial(clock.Boot(delay)))
	s.isClaiming = true
	must.Eq(t, trialRetryDelay, s.untilTrial(clock.Boot(time.Hour)))
	s = suspect{trials: 1, fingerprint: "0000"}
	must.Eq(t, trialDelays[1].min-time.Second, s.untilTrial(clock.Boot(time.Second)))
	s.trials = uint32(len(trialDelays))
	must.Eq(t, retention-time.Minute, s.untilTrial(clock.Boot(time.Minute)))
}

// Guards against requests that are on trial at the same time, on the same servers, because the same crashes have
// quarantined them.
func TestTrialsOfDifferentRequestsAreSpread(t *testing.T) {
	delays := map[time.Duration]bool{}
	for i := range 20 {
		identity := Identity{Target: strconv.Itoa(i)}
		delay := trialDelays[0].of(identity.fingerprint())
		must.Between(t, trialDelays[0].min, delay, trialDelays[0].min+trialDelays[0].spread)
		delays[delay] = true
	}
	must.MapLen(t, 20, delays)
}

// Guards against a suspect that a process remembers for ever because it missed the end of its key.
func TestSuspectIsOverAfterItsRetention(t *testing.T) {
	var s suspect
	s.merge(stored(0, "a", "b", "c"), 1, 9, 1)
	must.False(t, s.isOver(clock.Boot(retention)))
	must.True(t, s.isOver(clock.Boot(2*retention)))
}

func TestFingerprintSeparatesFields(t *testing.T) {
	base := Identity{Account: "ab", Method: "POST", Host: "h", Target: "/x", Body: []byte("body")}
	must.Eq(t, base.fingerprint(), (&Identity{Account: "ab", Method: "POST", Host: "H:80", Target: "/x", Body: []byte("body")}).fingerprint())
	for _, other := range []Identity{
		{Account: "a", Method: "bPOST", Host: "h", Target: "/x", Body: []byte("body")},
		{Account: "ab", Method: "POST", Host: "h", Target: "/xb", Body: []byte("ody")},
		{Account: "ab", Method: "POST", Host: "h", Target: "/x"},
	} {
		must.NotEq(t, base.fingerprint(), other.fingerprint())
	}
}

// newSuspect returns a suspect whose crashes were learned one after the other, a second apart.
func newSuspect(first clock.Boot, servers ...string) *suspect {
	var s suspect
	for i, server := range servers {
		s.recordCrash(server, 0, first.Add(time.Duration(i)*time.Second))
	}
	return &s
}

// Guards against requests that are quarantined with the one that crashed the servers on which they ran.
func TestCrashesAreExplainedByTheLikelierCause(t *testing.T) {
	poison := newSuspect(1, "a", "b", "c", "d")
	bystander := newSuspect(1, "a", "b", "e")
	equal := newSuspect(1, "a", "b", "c", "f")
	suspects := map[string]*suspect{"poison": poison, "bystander": bystander, "equal": equal}
	explain(suspects)
	must.True(t, poison.isQuarantined())
	must.False(t, bystander.isQuarantined())
	must.True(t, equal.isQuarantined())
	delete(suspects, "poison")
	delete(suspects, "equal")
	explain(suspects)
	must.True(t, bystander.isQuarantined(), must.Sprint("nothing explains its crashes any more"))
}

// Guards against a quarantined request that is freed by another one that collects more crashes later.
func TestLaterSuspectExplainsNothing(t *testing.T) {
	poison := newSuspect(1, "a", "b", "c")
	later := newSuspect(clock.Boot(time.Minute), "a", "b", "d", "e")
	explain(map[string]*suspect{"poison": poison, "later": later})
	must.True(t, poison.isQuarantined())
	must.True(t, later.isQuarantined())
}
