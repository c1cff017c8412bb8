// Package secure provides TLS between processes and for callers: certificates that
// are reloaded when their files change, and authorization of calls between
// processes by the role in the certificate.
//
// A process's certificate is signed by the deployment's authority. Its common
// name is the process's name; its DNS names are "process.bramleyhatch" and either
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

// DNS names in processes' certificates.
const (
	NameProcess = "process.bramleyhatch"
	NameEntry   = "entry.bramleyhatch"
	NameSidecar = "sidecar.bramleyhatch"
)

// Identity is the certificate of this process and the authority that verifies
// peers. It implements gRPC transport credentials for clients and servers.
type Identity struct {
	keyPair   *reloader[*tls.Certificate]
	authority *reloader[*x509.CertPool]
}

var _ credentials.TransportCredentials = &Identity{}

// NewIdentity loads the identity from the files in the settings. It returns nil if
// the settings name no files. name is the process's name, which must be the
// certificate's common name.
func NewIdentity(secure *settingspb.Secure, name string) (*Identity, error) {
	return newIdentity(secure, name, minCheckInterval)
}

func newIdentity(secure *settingspb.Secure, name string, interval time.Duration) (*Identity, error) {
	files := []string{secure.GetAuthority(), secure.GetCertificate(), secure.GetKey()}
	if files[0]+files[1]+files[2] == "" {
		return nil, nil
	}
	for i, key := range []string{"authority", "certificate", "key"} {
		if files[i] == "" {
			return nil, settingsError(key, "missing; authority, certificate and key must be set together")
		}
	}
	identity := &Identity{
		keyPair:   newKeyPair(secure.GetCertificate(), secure.GetKey(), interval),
		authority: newAuthorityPool(secure.GetAuthority(), interval),
	}
	if _, err := identity.authority.get(); err != nil {
		return nil, settingsError("authority", err.Error())
	}
	pair, err := identity.keyPair.get()
	if err != nil {
		return nil, settingsError("certificate", err.Error())
	}
	if pair.Leaf.Subject.CommonName != name {
		return nil, settingsError("certificate", "is for "+pair.Leaf.Subject.CommonName+", but this process is "+name)
	}
	return identity, nil
}

// ClientHandshake performs a mutual TLS handshake as the client.
func (i *Identity) ClientHandshake(ctx context.Context, _ string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := i.config()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(config).ClientHandshake(ctx, NameProcess, conn)
}

// Clone returns the identity itself, which holds no per-connection state.
func (i *Identity) Clone() credentials.TransportCredentials { return i }

// Info returns the security protocol.
func (i *Identity) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// OverrideServerName does nothing: the server name is always NameProcess.
func (i *Identity) OverrideServerName(string) error { return nil }

// ServerHandshake performs a mutual TLS handshake as the server.
func (i *Identity) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := i.config()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(config).ServerHandshake(conn)
}

func (i *Identity) config() (*tls.Config, error) {
	pair, err := i.keyPair.get()
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

// CallerTLSConfig returns the TLS configuration of the server for callers, or nil if the
// settings name no certificate.
func CallerTLSConfig(secure *settingspb.Secure) (*tls.Config, error) {
	return newCallerTLSConfig(secure, minCheckInterval)
}

func newCallerTLSConfig(secure *settingspb.Secure, interval time.Duration) (*tls.Config, error) {
	certificate, key := secure.GetCallerCertificate(), secure.GetCallerKey()
	switch {
	case certificate == "" && key == "":
		return nil, nil
	case certificate == "":
		return nil, settingsError("caller_certificate", "missing, although caller_key is set")
	case key == "":
		return nil, settingsError("caller_key", "missing, although caller_certificate is set")
	}
	keyPair := newKeyPair(certificate, key, interval)
	if _, err := keyPair.get(); err != nil {
		return nil, settingsError("caller_certificate", err.Error())
	}
	currentConfig := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		newest, err := keyPair.get()
		if err != nil {
			return nil, err
		}
		return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*newest}}, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: currentConfig}, nil
}

// OperatorTLSConfig returns the TLS configuration of an operator's command, which trusts
// the authority in a file.
func OperatorTLSConfig(file string) (*tls.Config, error) {
	authority, err := readAuthority(file)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authority}, nil
}

func newAuthorityPool(file string, interval time.Duration) *reloader[*x509.CertPool] {
	return &reloader[*x509.CertPool]{
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
		return nil, eris.Errorf("read authority: %s contains no certificate", file)
	}
	return pool, nil
}

func settingsError(key, problem string) error {
	return &settings.Error{File: "settings", Section: "secure", Key: key, Problem: problem}
}
