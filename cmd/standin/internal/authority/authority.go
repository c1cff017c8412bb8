// Package authority is a stand-in for an operator's certificate authority.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/secure"
)

const (
	lifetime  = 24 * time.Hour
	clockSkew = time.Hour
	// authorityFile is the name of the authority's certificate file.
	authorityFile = "authority.pem"
)

// Authority signs certificates. Exported fields are set before Init.
type Authority struct {
	// Folder receives authority.pem, and NAME.pem and NAME.key of each process.
	Folder string

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// Issue writes the certificate and key of a process; role is entry or sidecar.
func (a *Authority) Issue(name, role string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	roles := map[string]string{"entry": secure.NameEntry, "sidecar": secure.NameSidecar}
	template := a.template(name)
	template.DNSNames = []string{secure.NameProcess, roles[role], "localhost"}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certificate, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := a.write(name+".pem", "CERTIFICATE", certificate); err != nil {
		return err
	}
	return a.write(name+".key", "PRIVATE KEY", private)
}

// Init generates the authority's key and writes its certificate.
func (a *Authority) Init() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := a.template("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	a.key = key
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return err
	}
	return a.write(authorityFile, "CERTIFICATE", der)
}

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(lifetime),
	}
}

func (a *Authority) write(name, blockType string, der []byte) error {
	return os.WriteFile(filepath.Join(a.Folder, name), pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600)
}
