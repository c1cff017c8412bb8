package listen

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 64
	defaultIdleTimeout = 30 * time.Second
	// maxResponseHeaderBytes limits the head of an answer, with informational ones before it.
	maxResponseHeaderBytes = 64 << 10
)

// Client returns an HTTP client for one remote service. It has no circuit breaker and
// follows no redirects. net/http never repeats a request without GetBody and without an
// Idempotency-Key header; callers clear both for requests that must not be repeated.
func Client(name string) httpc.Service {
	return ClientWithOptions(name, ClientOptions{})
}

// ClientTLS returns a Client with the given TLS settings; nil means the system's.
func ClientTLS(name string, config *tls.Config) httpc.Service {
	return ClientWithOptions(name, ClientOptions{TLS: config})
}

// ClientOptions holds the settings that differ between services.
type ClientOptions struct {
	// TLS holds the TLS settings; nil means the system's.
	TLS *tls.Config
	// IdleTimeout is how long an unused connection is kept; 0 means 30 s.
	IdleTimeout time.Duration
	// OneRequestPerConn closes each connection after one request.
	OneRequestPerConn bool
	// WrapConn, if not nil, wraps each new connection.
	WrapConn func(net.Conn) net.Conn
}

// ClientWithOptions returns a Client with options.
func ClientWithOptions(name string, options ClientOptions) httpc.Service {
	logx.SetWriter(klogWriter{})
	breaker.NoBreakerFor(name)
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepaliveTime}
	dial := dialer.DialContext
	if options.WrapConn != nil {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return options.WrapConn(conn), nil
		}
	}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			TLSClientConfig:     options.TLS,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     options.IdleTimeout,
			DisableKeepAlives:   options.OneRequestPerConn,
			// Without this limit, net/http buffers 10 MB of a head for each request.
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return httpc.NewServiceWithClient(name, client)
}
