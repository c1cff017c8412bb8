package secure

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
	serial      int64
}

func newTestAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "authority"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IsCA:         true,
		KeyUsage:     x509.KeyUsageCertSign,

		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	a := &authority{certificate: certificate, key: key, file: filepath.Join(t.TempDir(), "authority.pem"), serial: 1}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue writes a new certificate and key for a name and returns settings with their paths.
func (a *authority) issue(t *testing.T, folder, name string, dnsNames ...string) *settingspb.Secure {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		DNSNames:     dnsNames,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	must.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	certificate, keyFile := filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key")
	writePEM(t, certificate, "CERTIFICATE", der)
	writePEM(t, keyFile, "PRIVATE KEY", private)
	return settingspb.Secure_builder{Authority: a.file, Certificate: certificate, Key: keyFile}.Build()
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func (a *authority) identity(t *testing.T, name, role string) *Identity {
	t.Helper()
	identity, err := newIdentity(a.issue(t, t.TempDir(), name, NameProcess, role), name, 0)
	must.NoError(t, err)
	return identity
}

type memberServer struct {
	peerpb.UnimplementedMemberServer
}

// Exchange returns an empty reply.
func (memberServer) Exchange(context.Context, *peerpb.Gossip) (*peerpb.Gossip, error) {
	return &peerpb.Gossip{}, nil
}

// Drain returns an empty reply.
func (memberServer) Drain(context.Context, *peerpb.DrainRequest) (*peerpb.DrainReply, error) {
	return &peerpb.DrainReply{}, nil
}

func serveAs(t *testing.T, identity credentials.TransportCredentials) string {
	t.Helper()
	listening := make(chan string, 1)
	server := &listen.GRPC{
		Address:     "127.0.0.1:0",
		Credentials: identity,
		Options:     ServerOptions(),
		Register:    func(registrar grpc.ServiceRegistrar) { peerpb.RegisterMemberServer(registrar, memberServer{}) },
		OnListening: func(address string) { listening <- address },
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, 0) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return <-listening
}

// call calls Drain if drain is set, or else Exchange, on a new connection.
func call(t *testing.T, identity *Identity, address, sender string, drain bool) codes.Code {
	t.Helper()
	var connection *grpc.ClientConn
	var err error
	if identity == nil {
		connection, err = listen.Dial(address, nil)
	} else {
		connection, err = listen.Dial(address, identity)
	}
	must.NoError(t, err)
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client := peerpb.NewMemberClient(connection)
	if drain {
		_, err = client.Drain(ctx, &peerpb.DrainRequest{})
	} else {
		_, err = client.Exchange(ctx, peerpb.Gossip_builder{Sender: peerpb.Process_builder{Name: sender}.Build()}.Build())
	}
	return status.Code(err)
}

// Guards against calls to an entry from a host outside the deployment or from a compromised
// sidecar. Calls from the host must be rejected, and the sidecar must not impersonate another
// process or make calls reserved for entries.
func TestCallAuthorization(t *testing.T) {
	a, other := newTestAuthority(t), newTestAuthority(t)
	address := serveAs(t, a.identity(t, "e1", NameEntry))
	sidecar, entry := a.identity(t, "s1", NameSidecar), a.identity(t, "e2", NameEntry)
	tests := map[string]struct {
		identity *Identity
		sender   string
		drain    bool
		code     codes.Code
	}{
		"sidecar":             {sidecar, "s1", false, codes.OK},
		"entry":               {entry, "e2", false, codes.OK},
		"entry drains":        {entry, "", true, codes.OK},
		"sidecar drains":      {sidecar, "", true, codes.PermissionDenied},
		"for another process": {sidecar, "e2", false, codes.PermissionDenied},
		"no certificate":      {nil, "s1", false, codes.Unavailable},
		"other authority":     {other.identity(t, "s1", NameSidecar), "s1", false, codes.Unavailable},
		"no role":             {a.identity(t, "x1", "x"), "x1", false, codes.PermissionDenied},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, test.code, call(t, test.identity, address, test.sender, test.drain))
		})
	}
}

// Guards against sending requests to an impostor: an address was reassigned to a
// host whose certificate the deployment's authority did not sign.
func TestServerCertificateIsVerified(t *testing.T) {
	a, other := newTestAuthority(t), newTestAuthority(t)
	config, err := other.identity(t, "e1", NameEntry).config()
	must.NoError(t, err)
	config.ClientAuth = tls.NoClientCert
	address := serveAs(t, credentials.NewTLS(config))
	must.Eq(t, codes.Unavailable, call(t, a.identity(t, "e2", NameEntry), address, "e2", false))
}

// Certificates expire and are replaced while the process runs. New connections must
// use the new certificate, and a truncated file must not make all handshakes fail.
func TestCertificateReload(t *testing.T) {
	a, folder := newTestAuthority(t), t.TempDir()
	settings := a.issue(t, folder, "e1", NameProcess, NameSidecar)
	identity, err := newIdentity(settings, "e1", 0)
	must.NoError(t, err)
	address := serveAs(t, a.identity(t, "e2", NameEntry))
	must.Eq(t, codes.PermissionDenied, call(t, identity, address, "e1", true))

	must.NoError(t, os.WriteFile(settings.GetCertificate(), []byte("cut"), 0o600))
	touch(t, settings.GetCertificate(), time.Minute)
	must.Eq(t, codes.OK, call(t, identity, address, "e1", false))

	a.issue(t, folder, "e1", NameProcess, NameEntry)
	touch(t, settings.GetCertificate(), 2*time.Minute)
	must.Eq(t, codes.OK, call(t, identity, address, "e1", true))
}

func touch(t *testing.T, file string, ahead time.Duration) {
	t.Helper()
	at := time.Now().Add(ahead)
	must.NoError(t, os.Chtimes(file, at, at))
}

func TestSettingsAreChecked(t *testing.T) {
	a := newTestAuthority(t)
	good := a.issue(t, t.TempDir(), "e1", NameProcess, NameEntry)
	_, err := NewIdentity(good, "e9")
	must.ErrorContains(t, err, "[secure] certificate: is for e1")
	partial := settingspb.Secure_builder{Authority: a.file}.Build()
	_, err = NewIdentity(partial, "e1")
	must.ErrorContains(t, err, "[secure] certificate: missing")
	none, err := NewIdentity(&settingspb.Secure{}, "e1")
	must.NoError(t, err)
	must.Nil(t, none)
	_, err = CallerTLSConfig(settingspb.Secure_builder{CallerKey: "x"}.Build())
	must.ErrorContains(t, err, "[secure] caller_certificate: missing")
}

// The callers' certificate expires and is replaced. Callers can connect to the entry
// over HTTPS throughout, and see the new certificate without a restart.
func TestCallersTLS(t *testing.T) {
	a, folder := newTestAuthority(t), t.TempDir()
	issued := a.issue(t, folder, "callers", NameProcess)
	config, err := newCallerTLSConfig(settingspb.Secure_builder{
		CallerCertificate: issued.GetCertificate(),
		CallerKey:         issued.GetKey(),
	}.Build(), 0)
	must.NoError(t, err)
	address := serveHTTPS(t, config, issued)
	must.Eq(t, 2, serialAt(t, a, address))
	a.issue(t, folder, "callers", NameProcess)
	touch(t, issued.GetCertificate(), time.Minute)
	must.Eq(t, 3, serialAt(t, a, address))
}

func serveHTTPS(t *testing.T, config *tls.Config, issued *settingspb.Secure) string {
	t.Helper()
	listening := make(chan string, 1)
	server := &listen.HTTP{
		Address:     "127.0.0.1:0",
		TLS:         config,
		Certificate: issued.GetCertificate(),
		Key:         issued.GetKey(),
		OnListening: func(address string) { listening <- address },
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, time.Second) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return <-listening
}

// serialAt returns the serial number of the certificate served at an address.
func serialAt(t *testing.T, a *authority, address string) int64 {
	t.Helper()
	config, err := OperatorTLSConfig(a.file)
	must.NoError(t, err)
	config.ServerName = NameProcess
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	response, err := client.Get("https://" + address)
	must.NoError(t, err)
	must.Eq(t, http.StatusNotFound, response.StatusCode)
	must.NoError(t, response.Body.Close())
	return response.TLS.PeerCertificates[0].SerialNumber.Int64()
}
