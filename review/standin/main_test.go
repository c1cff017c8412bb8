//go:build review

// Package standin plays the cases of the review against the project's gateways: it is the clients, the samplers, the
// platform's store and the operator.
//
// It is built as a test binary, whose arguments are the number of the case and the file of the record.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Exit codes of a case.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	code int
	text string
}

// TestMain plays one case in place of tests.
func TestMain(*testing.M) {
	cases := map[string]func(d *deployment, trouble bool) (verdict, error){"1": extraAnswer, "3": resumedStream}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run func(d *deployment, trouble bool) (verdict, error), file string, trouble bool) int {
	record, err := newRecord(file)
	if err != nil {
		fmt.Println("could not run:", err)
		return couldNotRun
	}
	d, err := newDeployment(record)
	if err != nil {
		fmt.Println("could not run:", err)
		return couldNotRun
	}
	defer d.close()
	closeOnSignal(d)
	record.add("trouble: %v", trouble)
	result, err := run(d, trouble)
	if err != nil {
		result = verdict{code: couldNotRun, text: "could not run: " + err.Error()}
	}
	record.add("result: %s", result.text)
	fmt.Println(result.text)
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		for _, gateway := range d.gateways {
			text, _ := os.ReadFile(gateway.log.Name())
			_ = os.WriteFile(folder+"/"+gateway.name+".log", text, 0o600)
		}
	}
	return result.code
}

// closeOnSignal ends all processes and removes the folder if the case is ended from outside.
func closeOnSignal(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.close()
		os.Exit(couldNotRun)
	}()
}
