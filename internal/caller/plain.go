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

// passedHeaders are the only headers of a request that a plain service sees.
var passedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since",
}

// returnedHeaders are the only headers of a plain service that a caller sees.
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
	if err := c.mayUse("the service", service, c.grant.Plan().GetServices()); err != nil {
		return err
	}
	body, err := readBody(c.writer, c.request, h.MaxBodyBytes)
	if err != nil {
		return err
	}
	headers := c.headers()
	if err := c.keepKey(append(values(headers), target, service, string(body))...); err != nil {
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
	return c.run(request, &plainAnswer{call: c}, 0)
}

// splitService returns the service and the path with the query that it sees.
// A path with dot segments is refused: libraries resolve them differently, so
// that a request could reach a place that nobody meant.
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

func (c *call) headers() []*peerpb.Header {
	var headers []*peerpb.Header
	for _, name := range passedHeaders {
		for _, value := range c.request.Header.Values(name) {
			headers = append(headers, peerpb.Header_builder{Name: name, Value: value}.Build())
		}
	}
	return headers
}

// keepKey refuses a request that carries its key in a place which is passed on.
//
// A key in a query, a body or another header would reach the backend server,
// its logs and caches. The allow lists keep unknown headers back, but not text
// inside of what is allowed; so each passed text is searched for the key, as
// sent and unescaped.
func (c *call) keepKey(passed ...string) error {
	for _, text := range passed {
		unescaped, err := url.PathUnescape(text)
		if strings.Contains(text, c.key) || err == nil && strings.Contains(unescaped, c.key) {
			return refusal.NotRun(http.StatusBadRequest, "key_in_request", "send the key in the Authorization header alone")
		}
	}
	return nil
}

func values(headers []*peerpb.Header) []string {
	var texts []string
	for _, header := range headers {
		texts = append(texts, header.GetValue())
	}
	return texts
}

func isIdempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}
