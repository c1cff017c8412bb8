package listen

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	dialTimeout      = 2 * time.Second
	idleConnections  = 64
	idleConnectionAt = 30 * time.Second
)

// Client returns an HTTP client for one remote service, without the library's
// own decisions: no circuit breaker, no redirects followed. A request without
// GetBody and without an Idempotency-Key header is never sent twice by
// net/http; callers that send a request which may not be repeated clear both.
func Client(name string) httpc.Service {
	return ClientWithOptions(name, ClientOptions{})
}

// ClientTLS returns a Client with TLS settings of its own; nil takes the system's.
func ClientTLS(name string, config *tls.Config) httpc.Service {
	return ClientWithOptions(name, ClientOptions{TLS: config})
}

// ClientOptions differ from service to service.
type ClientOptions struct {
	// TLS is nil for the system's own settings.
	TLS *tls.Config
	// Idle is how long a connection is kept without requests; 0 takes 30 s.
	Idle time.Duration
}

// ClientWithOptions returns a Client with options.
func ClientWithOptions(name string, options ClientOptions) httpc.Service {
	setupOnce.Do(setup)
	logx.SetWriter(klogWriter{})
	breaker.NoBreakerFor(name)
	if options.Idle == 0 {
		options.Idle = idleConnectionAt
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: aliveTime}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     options.TLS,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     options.Idle,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return httpc.NewServiceWithClient(name, client)
}
