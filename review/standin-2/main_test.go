//go:build review

package standin2

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the case that REVIEW_CASE names and exits with 1 if its rule was broken, 0 if it held and 2 if the case
// couldn't run. TROUBLE=0 leaves out the disruption.
func TestMain(*testing.M) {
	file, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		os.Exit(2)
	}
	record = &recorder{file: file, start: time.Now()}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		unable("the case was stopped")
	}()
	cases := map[string]func(isTroubled bool) bool{
		"retention": retentionCase,
		"refused":   refusedCase,
		"ended":     endedCase,
		"compact":   compactCase,
		"flood":     floodCase,
		"reset":     resetCase,
		"lines":     linesCase,
		"host":      hostCase,
	}
	run := cases[os.Getenv("REVIEW_CASE")]
	if run == nil {
		unable("no such case: %s", os.Getenv("REVIEW_CASE"))
	}
	isTroubled := os.Getenv("TROUBLE") != "0"
	record.log("case %s, trouble %t", os.Getenv("REVIEW_CASE"), isTroubled)
	isBroken := run(isTroubled)
	record.log("rule broken: %t", isBroken)
	if isBroken {
		finish(1)
	}
	finish(0)
}
