package scenario_test

import (
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

const authorityFile = "authority.pem"

// certificates writes an authority and certificates for processes that start
// later: certificates NAME... A name that begins with "e" is an entry's.
func certificates(ts *testscript.TestScript, _ bool, args []string) {
	command := []string{"certificates", ts.MkAbs(".")}
	for _, name := range args {
		role := "sidecar"
		if strings.HasPrefix(name, "e") {
			role = "entry"
		}
		command = append(command, name+":"+role)
	}
	ts.Check(ts.Exec("standin", command...))
}

// secureSettings returns the settings of a process for which there is a certificate.
func secureSettings(ts *testscript.TestScript, name string) []string {
	certificate := ts.MkAbs(name + ".pem")
	if _, err := os.Stat(certificate); err != nil {
		return nil
	}
	return []string{
		"secure.authority=" + ts.MkAbs(authorityFile), "secure.certificate=" + certificate, "secure.key=" + ts.MkAbs(name+".key"),
	}
}
