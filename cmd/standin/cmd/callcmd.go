package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// callCmd sends HTTP requests and prints the responses.
type callCmd struct {
	Address []string      `arg:"" help:"URL to request; several are requested in turn."`
	Method  string        `short:"X" default:"GET" help:"HTTP method."`
	Body    string        `short:"d" help:"Request body."`
	Header  []string      `short:"H" sep:"none" help:"Request header as NAME: VALUE; may be repeated."`
	Key     string        `help:"Key of a client account."`
	Timeout time.Duration `default:"20s" help:"Timeout of all requests together."`
	Quiet   bool          `help:"Omit the response headers."`
}

func (callCmd) Help() string {
	return "Example:\n  standin call http://127.0.0.1:8000/v1/models --key K"
}

// Run prints status, headers and body of each response as they arrive; it fails
// if a response is truncated.
func (cc *callCmd) Run(c *config) error {
	ctx, cancel := context.WithTimeout(context.Background(), cc.Timeout)
	defer cancel()
	for _, address := range cc.Address {
		if err := cc.call(ctx, c, address); err != nil {
			return err
		}
	}
	return nil
}

func (cc *callCmd) call(ctx context.Context, c *config, address string) error {
	request, err := http.NewRequestWithContext(ctx, cc.Method, address, strings.NewReader(cc.Body))
	if err != nil {
		return err
	}
	for _, header := range cc.Header {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if cc.Key != "" {
		request.Header.Set("Authorization", "Bearer "+cc.Key)
	}
	response, err := listen.Client("call").DoRequest(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	fmt.Fprintln(c.stdout, "status", response.StatusCode)
	if !cc.Quiet {
		cc.printHeaders(c.stdout, response.Header)
	}
	if _, err := io.Copy(c.stdout, response.Body); err != nil {
		return err
	}
	fmt.Fprintln(c.stdout)
	return nil
}

func (cc *callCmd) printHeaders(w io.Writer, headers http.Header) {
	names := make([]string, 0, len(headers))
	for name := range headers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s: %s\n", name, strings.Join(headers[name], ", "))
	}
}
