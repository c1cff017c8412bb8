package bramleyhatch

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/secure"
)

// identify reads the certificates that the settings name.
func (p *Process) identify() error {
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

// credentials returns what connections between processes use; nil is no TLS.
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
