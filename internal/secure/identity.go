// Package secure holds TLS between processes and towards callers: certificates
// that are read again when their files change, and what a process may ask of
// another by the role in its certificate.
//
// A process's certificate is signed by the deployment's authority. Its common
// name is the process's name; its DNS names are "process.bramleyhatch" and
// "entry.bramleyhatch" or "sidecar.bramleyhatch".
package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// DNS names in the certificates of processes.
const (
	NameProcess = "process.bramleyhatch"
	NameEntry   = "entry.bramleyhatch"
	NameSidecar = "sidecar.bramleyhatch"
)

// Identity is the certificate of this process and the authority that others
// are checked by. It is gRPC's transport credentials on both sides.
type Identity struct {
	pair      *watched[*tls.Certificate]
	authority *watched[*x509.CertPool]
}

var _ credentials.TransportCredentials = &Identity{}

// NewIdentity returns the identity that the settings name, or nil if they name
// none. name is the process's name, which the certificate must bear.
func NewIdentity(secure *settingspb.Secure, name string) (*Identity, error) {
	return newIdentity(secure, name, checkInterval)
}

func newIdentity(secure *settingspb.Secure, name string, interval time.Duration) (*Identity, error) {
	given := []string{secure.GetAuthority(), secure.GetCertificate(), secure.GetKey()}
	if given[0]+given[1]+given[2] == "" {
		return nil, nil
	}
	for i, key := range []string{"authority", "certificate", "key"} {
		if given[i] == "" {
			return nil, fault(key, "missing; authority, certificate and key belong together")
		}
	}
	identity := &Identity{
		pair:      newPair(secure.GetCertificate(), secure.GetKey(), interval),
		authority: newAuthority(secure.GetAuthority(), interval),
	}
	if _, err := identity.authority.get(); err != nil {
		return nil, fault("authority", err.Error())
	}
	pair, err := identity.pair.get()
	if err != nil {
		return nil, fault("certificate", err.Error())
	}
	if pair.Leaf.Subject.CommonName != name {
		return nil, fault("certificate", "is for "+pair.Leaf.Subject.CommonName+", this process is "+name)
	}
	return identity, nil
}

// ClientHandshake shows this process's certificate and checks the other's.
func (i *Identity) ClientHandshake(ctx context.Context, _ string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := i.config()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(config).ClientHandshake(ctx, NameProcess, conn)
}

// Clone returns the same identity, which holds no state of a connection.
func (i *Identity) Clone() credentials.TransportCredentials { return i }

// Info tells gRPC which protocol this is.
func (i *Identity) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// OverrideServerName does nothing: the name of processes is fixed.
func (i *Identity) OverrideServerName(string) error { return nil }

// ServerHandshake shows this process's certificate and checks the other's.
func (i *Identity) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := i.config()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(config).ServerHandshake(conn)
}

func (i *Identity) config() (*tls.Config, error) {
	pair, err := i.pair.get()
	if err != nil {
		return nil, err
	}
	authority, err := i.authority.get()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   NameProcess,
	}, nil
}

// CallerTLSConfig returns the TLS settings of the callers' interface, or nil if the
// settings name no certificate.
func CallerTLSConfig(secure *settingspb.Secure) (*tls.Config, error) {
	return forCallers(secure, checkInterval)
}

func forCallers(secure *settingspb.Secure, interval time.Duration) (*tls.Config, error) {
	certificate, key := secure.GetCallerCertificate(), secure.GetCallerKey()
	switch {
	case certificate == "" && key == "":
		return nil, nil
	case certificate == "":
		return nil, fault("caller_certificate", "missing, though caller_key is given")
	case key == "":
		return nil, fault("caller_key", "missing, though caller_certificate is given")
	}
	pair := newPair(certificate, key, interval)
	if _, err := pair.get(); err != nil {
		return nil, fault("caller_certificate", err.Error())
	}
	current := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		newest, err := pair.get()
		if err != nil {
			return nil, err
		}
		return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*newest}}, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: current}, nil
}

// OperatorTLSConfig returns the TLS settings of an operator's command that trusts
// the authority in a file.
func OperatorTLSConfig(file string) (*tls.Config, error) {
	authority, err := readAuthority(file)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authority}, nil
}

func newAuthority(file string, interval time.Duration) *watched[*x509.CertPool] {
	return &watched[*x509.CertPool]{
		files:    []string{file},
		interval: interval,
		load:     func() (*x509.CertPool, error) { return readAuthority(file) },
	}
}

func readAuthority(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("%s holds no certificate", file)
	}
	return pool, nil
}

func fault(key, problem string) error {
	return &settings.Error{File: "settings", Section: "secure", Key: key, Problem: problem}
}
