package listen_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
)

// sendRaw hijacks the connection of a request and sends a text.
func sendRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, text)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Guards against a malformed answer that a client takes for one, over TLS or not, or that is not counted.
func TestClientRejectsMalformedAnswers(t *testing.T) {
	registry := prometheus.NewRegistry()
	listen.NewMetrics(registry)
	count := func() float64 {
		families, err := registry.Gather()
		must.NoError(t, err)
		for _, family := range families {
			if family.GetName() == "bramleyhatch_listen_malformed_answers_total" {
				return family.GetMetric()[0].GetCounter().GetValue()
			}
		}
		return -1
	}
	for name, text := range listentest.MalformedAnswers(http.StatusOK, "", "{}") {
		for transport, start := range map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer} {
			t.Run(name+", "+transport, func(t *testing.T) {
				server := start(sendRaw(text))
				defer server.Close()
				before := count()
				client := listen.ClientTLS("test", trust(server))
				request, err := listen.NewJSONRequest(t.Context(), http.MethodPost, server.URL, []byte("{}"))
				must.NoError(t, err)
				status, _, err := listen.Exchange(client, request, 1<<10)
				var malformed *http1.MalformedAnswerError
				must.True(t, errors.As(err, &malformed), must.Sprint(err))
				must.True(t, status == 0 || strings.Contains(name, "trailer"))
				must.Eq(t, before+1, count())
			})
		}
	}
}

func trust(server *httptest.Server) *tls.Config {
	if server.Certificate() == nil {
		return nil
	}
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
}

func TestClientTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	defer server.Close()
	exchange := func(config *tls.Config, address string) (int, error) {
		request, err := listen.NewJSONRequest(t.Context(), http.MethodGet, address, nil)
		must.NoError(t, err)
		status, _, err := listen.Exchange(listen.ClientTLS("test", config), request, 1<<10)
		return status, err
	}
	t.Run("trusted", func(t *testing.T) {
		config := trust(server)
		status, err := exchange(config, server.URL)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, "", config.ServerName)
	})
	t.Run("not trusted", func(t *testing.T) {
		_, err := exchange(nil, server.URL)
		var unknown x509.UnknownAuthorityError
		must.True(t, errors.As(err, &unknown), must.Sprint(err))
	})
	t.Run("another name", func(t *testing.T) {
		config := trust(server)
		config.ServerName = "other.example.org"
		_, err := exchange(config, server.URL)
		var hostname x509.HostnameError
		must.True(t, errors.As(err, &hostname), must.Sprint(err))
	})
	t.Run("no server", func(t *testing.T) {
		_, err := exchange(trust(server), "https://"+listentest.FreeAddress(t))
		var refused *net.OpError
		must.True(t, errors.As(err, &refused), must.Sprint(err))
	})
}

// Guards against a log line that holds all of a malformed answer.
func TestMalformedAnswerIsLoggedInShort(t *testing.T) {
	const maxLine = 1 << 10
	log := &bytes.Buffer{}
	flags := flag.NewFlagSet("", flag.PanicOnError)
	klog.InitFlags(flags)
	must.NoError(t, flags.Set("logtostderr", "false"))
	klog.SetOutput(log)
	defer func() {
		klog.Flush()
		klog.SetOutput(io.Discard)
		must.NoError(t, flags.Set("logtostderr", "true"))
	}()
	server := listentest.StartRaw(t, func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nX Own: " + strings.Repeat("\x00", 32<<10) + "\r\n\r\n"
	})
	request, err := listen.NewJSONRequest(t.Context(), http.MethodGet, "http://"+server.Address, nil)
	must.NoError(t, err)
	_, _, err = listen.Exchange(listen.Client("test"), request, 1<<10)
	must.Error(t, err)
	klog.Flush()
	must.StrContains(t, log.String(), "malformed answer")
	must.StrContains(t, log.String(), server.Address)
	must.Less(t, maxLine, log.Len())
	must.Less(t, maxLine, len(err.Error()))
}
