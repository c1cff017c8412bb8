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
	return ClientTLS(name, nil)
}

// ClientTLS returns a Client with TLS settings of its own; nil takes the system's.
func ClientTLS(name string, config *tls.Config) httpc.Service {
	setupOnce.Do(setup)
	logx.SetWriter(klogWriter{})
	breaker.NoBreakerFor(name)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: aliveTime}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     config,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleConnectionAt,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return httpc.NewServiceWithClient(name, client)
}
