package bramleyhatch

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/secure"
)

// loadIdentity reads the certificates that the settings name.
func (p *Process) loadIdentity() error {
	identity, err := secure.NewIdentity(p.Secure, p.Settings.GetName())
	if err != nil {
		return err
	}
	callerTLS, err := secure.CallerTLSConfig(p.Secure)
	if err != nil {
		return err
	}
	p.identity, p.callerTLS = identity, callerTLS
	return nil
}

// credentials returns the transport credentials between processes; nil means no TLS.
func (p *Process) credentials() credentials.TransportCredentials {
	if p.identity == nil {
		return nil
	}
	return p.identity
}

func (p *Process) serverOptions() []grpc.ServerOption {
	if p.identity == nil {
		return nil
	}
	return secure.ServerOptions()
}
