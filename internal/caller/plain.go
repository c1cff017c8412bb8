package caller

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const servicePrefix = "/services/"

// forwardedHeaders are the only request headers that a plain service receives.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since",
}

// returnedHeaders are the only response headers that a caller receives.
var returnedHeaders = map[string]bool{
	"Cache-Control":       true,
	"Content-Disposition": true,
	"Content-Language":    true,
	"Content-Type":        true,
	"Etag":                true,
	"Last-Modified":       true,
	"Location":            true,
	"Retry-After":         true,
	"Vary":                true,
}

func isService(path string) bool {
	return strings.HasPrefix(path, servicePrefix)
}

// plain serves /services/SERVICE/PATH with any method.
func (h *Handler) plain(c *call) error {
	service, target, err := splitService(c.request.URL)
	if err != nil {
		return err
	}
	if err := c.checkPlan("the service", service, c.grant.Plan().GetServices()); err != nil {
		return err
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	headers := c.requestHeaders()
	if err := c.rejectKeyLeak(append(headerValues(headers), target, service, string(body))...); err != nil {
		return err
	}
	claim, err := c.claim(service)
	if err != nil {
		return err
	}
	request := peerpb.RunRequest_builder{
		Pool:       service,
		Claim:      claim,
		Kind:       peerpb.Kind_KIND_PLAIN,
		Method:     c.request.Method,
		Path:       target,
		Headers:    headers,
		Body:       body,
		Idempotent: isIdempotent(c.request.Method),
	}.Build()
	return c.run(request, &plainResponse{call: c}, 0)
}

// splitService returns the service, and the path and query that it receives.
// It refuses paths with dot segments: libraries resolve them differently, so a
// request could reach an unintended path.
func splitService(address *url.URL) (service, target string, err error) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(address.EscapedPath(), servicePrefix), "/")
	decoded := strings.TrimPrefix(address.Path, servicePrefix)
	if service == "" || path.Clean("/"+decoded) != strings.TrimSuffix("/"+decoded, "/") {
		return "", "", refusal.NotRun(http.StatusNotFound, "not_found", "the path names no service")
	}
	target = "/" + rest
	if address.RawQuery != "" {
		target += "?" + address.RawQuery
	}
	return service, target, nil
}

func (c *call) requestHeaders() []*peerpb.Header {
	var headers []*peerpb.Header
	for _, name := range forwardedHeaders {
		for _, value := range c.request.Header.Values(name) {
			headers = append(headers, peerpb.Header_builder{Name: name, Value: value}.Build())
		}
	}
	return headers
}

// rejectKeyLeak refuses a request that contains its key in a forwarded part.
//
// A key in a query, a body or another header would reach the backend server,
// its logs and caches. The allow lists drop unknown headers, but not a key in
// allowed parts, so rejectKeyLeak searches each of them as sent and unescaped.
func (c *call) rejectKeyLeak(forwarded ...string) error {
	for _, text := range forwarded {
		unescaped, err := url.PathUnescape(text)
		if strings.Contains(text, c.key) || err == nil && strings.Contains(unescaped, c.key) {
			return refusal.NotRun(http.StatusBadRequest, "key_in_request", "send the key in the Authorization header alone")
		}
	}
	return nil
}

func headerValues(headers []*peerpb.Header) []string {
	var texts []string
	for _, header := range headers {
		texts = append(texts, header.GetValue())
	}
	return texts
}

func isIdempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}
