package scenario_test

import (
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

const authorityFile = "authority.pem"

// writeCertificates creates a certificate authority and certificates for processes that
// start later: certificates NAME... Names that begin with "e" get the role of an entry.
func writeCertificates(ts *testscript.TestScript, _ bool, args []string) {
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

// tlsSettings returns the TLS settings of a process, or nil if it has no certificate.
func tlsSettings(ts *testscript.TestScript, name string) []string {
	certificate := ts.MkAbs(name + ".pem")
	if _, err := os.Stat(certificate); err != nil {
		return nil
	}
	return []string{
		"secure.authority=" + ts.MkAbs(authorityFile), "secure.certificate=" + certificate, "secure.key=" + ts.MkAbs(name+".key"),
	}
}
