// Package scenario_test runs scripted scenarios: the real programs as processes
// on loopback, with failures between them. docs/developer/testing.md lists the verbs.
package scenario_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	standin "github.com/bramleyhatch/bramleyhatch/cmd/standin/cmd"
	"github.com/bramleyhatch/bramleyhatch/internal/cmd"
)

func TestMain(m *testing.M) {
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
