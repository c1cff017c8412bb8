package listen

import (
	"net"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// listener accepts the connections of an HTTP server.
type listener struct {
	net.Listener

	limits  Limits
	isTLS   bool
	metrics *Metrics
}

func newListener(inner net.Listener, limits Limits, isTLS bool, metrics *Metrics) *listener {
	return &listener{Listener: inner, limits: limits, isTLS: isTLS, metrics: metrics}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, listener: l, lease: l.limits.Budget.NewLease(), isTLS: l.isTLS}, nil
}

func (l *listener) countRejected(status int) { l.metrics.countRejected(status) }

// Metrics counts what servers reject. All servers of a process share it.
type Metrics struct {
	rejected *prometheus.CounterVec
}

// NewMetrics returns registered metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_listen_rejected_heads_total",
			Help: "Heads of requests that were rejected before they were whole, by HTTP status: 431 too large, 503 no memory.",
		}, []string{"status"}),
	}
	registerer.MustRegister(m.rejected)
	return m
}

func (m *Metrics) countRejected(status int) {
	if m != nil {
		m.rejected.WithLabelValues(strconv.Itoa(status)).Inc()
	}
}
