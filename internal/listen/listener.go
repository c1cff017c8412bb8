package listen

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// logInterval is the interval between log lines about rejected and closed connections.
const logInterval = time.Second

// listener accepts the connections of an HTTP server and bounds their number.
type listener struct {
	net.Listener

	limits  Limits
	isTLS   bool
	metrics *Metrics

	mutex   sync.Mutex
	conns   map[*conn]bool
	logRate *rate.Limiter
	// silent counts the lines that were not logged.
	silent int
}

// listenTCP listens on an address with small receive buffers, which accepted connections inherit.
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Without the option, connections have the system's default buffers.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	return config.Listen(ctx, "tcp", address)
}

func newListener(inner net.Listener, limits Limits, isTLS bool, metrics *Metrics) *listener {
	return &listener{Listener: inner, limits: limits, isTLS: isTLS, metrics: metrics, conns: map[*conn]bool{}, logRate: rate.NewLimiter(rate.Every(logInterval), 1)}
}

// Accept returns the next connection. If there are too many, the one that has waited for its client for the longest
// time is closed. If all of them run requests, the new one is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l, reservation: l.limits.Budget.NewReservation(), isTLS: l.isTLS, since: time.Now()}
		if l.add(c) {
			return c, nil
		}
		l.metrics.countClosed("refused")
		l.log("closed a new connection; all others run requests", accepted)
		_ = accepted.Close()
	}
}

// add returns false if there are too many connections, and all of them run requests.
func (l *listener) add(c *conn) bool {
	for {
		l.mutex.Lock()
		if len(l.conns) < l.limits.MaxConns {
			l.conns[c] = true
			l.mutex.Unlock()
			return true
		}
		oldest := l.oldestIdle()
		l.mutex.Unlock()
		if oldest == nil {
			return false
		}
		if oldest.evict() {
			l.metrics.countClosed("evicted")
			l.log("closed a connection that waited for its client, for a new one", oldest)
		}
	}
}

// oldestIdle returns the connection that has waited for its client for the longest time, or nil. The mutex must be held.
func (l *listener) oldestIdle() *conn {
	var oldest *conn
	var oldestSince time.Time
	for c := range l.conns {
		since, isIdle := c.idleSince()
		if isIdle && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	return oldest
}

func (l *listener) remove(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, c)
}

func (l *listener) countRejected(status int) { l.metrics.countRejected(status) }

// log logs at most one line an interval.
func (l *listener) log(text string, c net.Conn) {
	l.mutex.Lock()
	isLogged := l.logRate.Allow()
	silent := l.silent
	l.silent++
	if isLogged {
		l.silent = 0
	}
	l.mutex.Unlock()
	if isLogged {
		klog.InfoS("listen: "+text, "address", l.Addr().String(), "client", c.RemoteAddr().String(), "maxConns", l.limits.MaxConns, "alike", silent)
	}
}

// Metrics counts what servers reject. All servers of a process share it.
type Metrics struct {
	rejected *prometheus.CounterVec
	closed   *prometheus.CounterVec
}

// NewMetrics returns registered metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_listen_rejected_heads_total",
			Help: "Heads of requests that were rejected before they were whole, by HTTP status: 431 too large, 503 no memory.",
		}, []string{"status"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_listen_closed_connections_total",
			Help: "Connections that were closed since there were too many: evicted ones waited for their client, refused ones were new.",
		}, []string{"reason"}),
	}
	registerer.MustRegister(m.rejected, m.closed, malformedAnswers)
	return m
}

func (m *Metrics) countRejected(status int) {
	if m != nil {
		m.rejected.WithLabelValues(strconv.Itoa(status)).Inc()
	}
}

func (m *Metrics) countClosed(reason string) {
	if m != nil {
		m.closed.WithLabelValues(reason).Inc()
	}
}
