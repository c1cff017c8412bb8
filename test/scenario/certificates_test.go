package scenario_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleyhatch/bramleyhatch/internal/secure"
)

const authorityFile = "authority.pem"

// certificates writes an authority and certificates for processes that start
// later: certificates NAME... A name that begins with "e" is an entry's.
func certificates(ts *testscript.TestScript, _ bool, args []string) {
	authorityKey := newKey(ts)
	authority := newTemplate("authority", 1)
	authority.IsCA, authority.BasicConstraintsValid = true, true
	authority.KeyUsage = x509.KeyUsageCertSign
	writeCertificate(ts, authorityFile, authority, authority, authorityKey, authorityKey)
	for i, name := range args {
		role := secure.NameSidecar
		if strings.HasPrefix(name, "e") {
			role = secure.NameEntry
		}
		key, template := newKey(ts), newTemplate(name, int64(i)+2)
		template.DNSNames = []string{secure.NameProcess, role}
		template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
		writeCertificate(ts, name+".pem", template, authority, key, authorityKey)
		private, err := x509.MarshalPKCS8PrivateKey(key)
		ts.Check(err)
		writePEM(ts, name+".key", "PRIVATE KEY", private)
	}
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

func newKey(ts *testscript.TestScript) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	return key
}

func newTemplate(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func writeCertificate(ts *testscript.TestScript, file string, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	ts.Check(err)
	writePEM(ts, file, "CERTIFICATE", der)
}

func writePEM(ts *testscript.TestScript, file, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	ts.Check(os.WriteFile(ts.MkAbs(file), text, 0o600))
}
