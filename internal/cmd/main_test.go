package cmd_test

import (
	"errors"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleyhatch/bramleyhatch/internal/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bramleyhatch": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/scripts",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exitcode": exitCode},
	})
}

// exitCode runs a command and compares its exit code with the first argument.
func exitCode(script *testscript.TestScript, _ bool, arguments []string) {
	var failed *exec.ExitError
	code := 0
	if err := script.Exec(arguments[1], arguments[2:]...); errors.As(err, &failed) {
		code = failed.ExitCode()
	}
	if strconv.Itoa(code) != arguments[0] {
		script.Fatalf("exit code %d, not %s", code, arguments[0])
	}
}
