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

// relay gives an answer to the caller.
func (h *Handler) relay(w http.ResponseWriter, answer *forward.Answer) error {
	header := w.Header()
	for name, values := range forwarded(answer.Header) {
		header[name] = values
	}
	if answer.Complete {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.StatusCode)
		_, err := w.Write(answer.Body)
		logWrite(err)
		return nil
	}
	if answer.ContentLength >= 0 && answer.Next == nil {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.StatusCode)
	if _, err := w.Write(answer.Body); err != nil {
		logWrite(err)
		return nil
	}
	flow(w, answer)
	return nil
}

// flow passes the rest of an answer on as it comes. One that is cut off is cut
// off here too: ended in good order, it would look whole to the caller.
func flow(w http.ResponseWriter, answer *forward.Answer) {
	next := answer.Next
	if next == nil {
		next = parts(answer.Answer.Body)
	}
	flusher, _ := w.(http.Flusher)
	for {
		part, err := next()
		if len(part) > 0 {
			if _, failed := w.Write(part); failed != nil {
				logWrite(failed)
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
			klog.InfoS("caller: the backend server's answer broke off", "err", err.Error())
			panic(http.ErrAbortHandler)
		}
	}
}

// parts returns the bytes of a body as they come.
func parts(body io.Reader) func() ([]byte, error) {
	buffer := make([]byte, 4096)
	return func() ([]byte, error) {
		n, err := body.Read(buffer)
		return buffer[:n], err
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// forwarded returns the headers that don't concern one connection only.
func forwarded(header http.Header) http.Header {
	kept := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}
