package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http/httpguts"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
)

// scanInParts scans data in parts of the given size. It returns the bytes that may be passed on.
func scanInParts(data []byte, size int) (valid []byte, fault error) {
	s := newScanner(false, nil)
	for at := 0; at < len(data); at += size {
		part := data[at:min(at+size, len(data))]
		n, fault := s.scan(part)
		valid = append(valid, part[:n]...)
		if fault != nil {
			return valid, fault
		}
	}
	return valid, nil
}

// FuzzScanner checks that how an answer is split changes nothing, and that net/http gets no answer with a malformed head.
func FuzzScanner(f *testing.F) {
	for _, answers := range []map[string]string{
		listentest.MalformedAnswers(http.StatusOK, "X-First: 1\r\n", "0123456789"),
		listentest.SoundAnswers(http.StatusOK, "X-First: 1\r\n", "0123456789"),
	} {
		for _, text := range answers {
			f.Add([]byte(text), 7)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if size < 1 || len(data) > 2*MaxHeadBytes {
			return
		}
		valid, fault := scanInParts(data, max(1, len(data)))
		_, faultOfParts := scanInParts(data, size)
		must.Eq(t, fault == nil, faultOfParts == nil)
		if fault == nil {
			must.True(t, bytes.Equal(data, valid))
		}
		response, err := readFinal(bytes.NewReader(valid))
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		// A fault in trailers is found after a sound head, and keeps the body from ending.
		must.True(t, fault == nil || err != nil)
		must.Between(t, minFinalStatus, response.StatusCode, maxStatus)
		for _, fields := range []http.Header{response.Header, response.Trailer} {
			for name := range fields {
				must.True(t, httpguts.ValidHeaderFieldName(name), must.Sprintf("%q", name))
			}
		}
	})
}

// readFinal reads the final head of an answer, as a client does.
func readFinal(source io.Reader) (*http.Response, error) {
	reader := bufio.NewReader(source)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode < minStatus || response.StatusCode >= minFinalStatus || response.StatusCode == statusSwitchingProtocols {
			return response, err
		}
	}
}
