package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/forward"
)

// relay writes an answer to the caller.
func (h *Handler) relay(w http.ResponseWriter, answer *forward.Answer) error {
	header := w.Header()
	for name, values := range endToEndHeaders(answer.Header) {
		header[name] = values
	}
	if answer.Complete {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.StatusCode)
		_, err := w.Write(answer.Body)
		logWriteError(err)
		return nil
	}
	if answer.ContentLength >= 0 && answer.Next == nil {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.StatusCode)
	if _, err := w.Write(answer.Body); err != nil {
		logWriteError(err)
		return nil
	}
	streamBody(w, answer)
	return nil
}

// streamBody forwards the rest of an answer as it arrives. If the answer is cut off,
// streamBody aborts the response, which would otherwise look complete to the caller.
func streamBody(w http.ResponseWriter, answer *forward.Answer) {
	next := answer.Next
	if next == nil {
		next = readChunks(answer.Answer.Body)
	}
	flusher, _ := w.(http.Flusher)
	for {
		part, err := next()
		if len(part) > 0 {
			if _, writeErr := w.Write(part); writeErr != nil {
				logWriteError(writeErr)
				return
			}
			if flusher != nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			klog.InfoS("caller: the backend server's response was cut off", "err", err.Error())
			panic(http.ErrAbortHandler)
		}
	}
}

// readChunks returns a function that reads the next bytes of a body.
func readChunks(body io.Reader) func() ([]byte, error) {
	buffer := make([]byte, 4096)
	return func() ([]byte, error) {
		n, err := body.Read(buffer)
		return buffer[:n], err
	}
}

// hopByHopHeaders are valid for a single connection.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// endToEndHeaders returns the headers without hop-by-hop headers.
func endToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}
