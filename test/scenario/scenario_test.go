// Package scenario_test runs scripted scenarios: the real programs run as processes
// on loopback, with faults injected. docs/developer/testing.md lists the verbs.
package scenario_test

import (
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	standin "github.com/bramleyhatch/bramleyhatch/cmd/standin/cmd"
	"github.com/bramleyhatch/bramleyhatch/internal/cmd"
)

// maxParallelScripts limits the scenarios that run concurrently: each starts about
// fifteen processes, whose inactivity timeouts must not expire for lack of CPU time.
const maxParallelScripts = "3"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelScripts); err != nil {
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
