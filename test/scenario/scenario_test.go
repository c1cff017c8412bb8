// Package scenario_test runs scripted scenarios: the real programs as processes
// on loopback, with failures between them. docs/developer/testing.md lists the verbs.
package scenario_test

import (
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	standin "github.com/bramleyhatch/bramleyhatch/cmd/standin/cmd"
	"github.com/bramleyhatch/bramleyhatch/internal/cmd"
)

// atOnce is the number of scenarios that run at the same time: each starts some
// fifteen processes, and their bounds on silence must not fire for want of processor time.
const atOnce = "3"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", atOnce); err != nil {
		panic(err)
	}
	testscript.Main(m, map[string]func(){
		"bramleyhatch": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":      func() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		Setup:               setup,
		Cmds:                verbs,
		RequireExplicitExec: true,
	})
}
