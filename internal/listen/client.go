package listen

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
)

const (
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 64
	defaultIdleTimeout = 30 * time.Second
)

// malformedAnswers counts for all clients of the process; clients are created where no registry is at hand.
var malformedAnswers = prometheus.NewCounter(prometheus.CounterOpts{
	Name: "bramleyhatch_listen_malformed_answers_total",
	Help: "Answers of servers that are no valid HTTP/1 responses; their connections were closed.",
})

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

// ClientWithOptions returns a Client with options. Its calls fail with a *http1.MalformedAnswerError if the server sends a
// malformed answer. A read from the body of an answer without a length fails with a *http1.CutError if the connection broke
// before the server had ended it.
func ClientWithOptions(name string, options ClientOptions) httpc.Service {
	logx.SetWriter(klogWriter{})
	breaker.NoBreakerFor(name)
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	dialer := &clientDialer{
		Dialer:   net.Dialer{Timeout: dialTimeout, KeepAlive: keepaliveTime},
		name:     name,
		wrapConn: options.WrapConn,
		tls:      options.TLS,
	}
	client := &http.Client{
		Transport: &http1.Transport{Transport: &http.Transport{
			DialContext:         dialer.dial,
			DialTLSContext:      dialer.dialTLS,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     options.IdleTimeout,
			DisableKeepAlives:   options.OneRequestPerConn,
			// Without this limit, net/http buffers 10 MB of a head for each request. http1 rejects a head just below it.
			MaxResponseHeaderBytes: http1.MaxHeadBytes + 1,
		}, HeadMemory: headMemory},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return httpc.NewServiceWithClient(name, client)
}

// headMemory takes memory for the head of an answer from that of the client's request that is passed on.
func headMemory(ctx context.Context) func(bytes int64) bool {
	if reservation := ReservationOf(ctx); reservation != nil {
		return reservation.TryGrow
	}
	return nil
}

// clientDialer opens the connections of a client.
type clientDialer struct {
	net.Dialer

	name string
	// wrapConn wraps each connection below TLS; it may be nil.
	wrapConn func(net.Conn) net.Conn
	// tls is nil for the system's settings.
	tls *tls.Config
}

func (d *clientDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialPlain(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.checkAnswers(conn), nil
}

func (d *clientDialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialPlain(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{}
	if d.tls != nil {
		config = d.tls.Clone()
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return d.checkAnswers(secured), nil
}

func (d *clientDialer) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if d.wrapConn != nil {
		conn = d.wrapConn(conn)
	}
	return &http1.Socket{Conn: conn}, nil
}

// checkAnswers returns a connection that fails on malformed answers.
func (d *clientDialer) checkAnswers(conn net.Conn) net.Conn {
	return &http1.Conn{Conn: conn, OnMalformed: func(fault *http1.MalformedAnswerError) {
		malformedAnswers.Inc()
		klog.InfoS("listen: a server sent a malformed answer", "client", d.name, "address", conn.RemoteAddr(), "problem", fault.Problem, "line", fault.Line)
	}}
}
