//go:build review

package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is a sampler's answer with a length.
type answer struct {
	status int
	header map[string]string
	body   string
}

func (a answer) bytes() []byte {
	text := &strings.Builder{}
	fmt.Fprintf(text, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for name, value := range a.header {
		fmt.Fprintf(text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(text, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return []byte(text.String())
}

// sampler is a stand-in of a sampler or, without models, of a plain service.
type sampler struct {
	id      string
	pool    string
	zone    string
	slots   int
	queue   int
	work    time.Duration
	events  int
	gap     time.Duration
	models  []string
	record  *record
	address string

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	held     int
	versions map[string]uint64
	orders   uint64
	random   *rand.Rand
	born     int64
	places   chan struct{}

	// extra is the share of answers that are sent a second time, where the next answer is expected.
	extra float64
	// failing is the share of requests that fail with a status of 500.
	failing float64
}

// setFaults sets the shares of answers that are sent twice and of requests that fail.
func (s *sampler) setFaults(extra, failing float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.extra, s.failing = extra, failing
}

func (s *sampler) faults() (extra, failing float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.extra, s.failing
}

// start begins to serve at the address that the sampler had before, or at a new one.
func (s *sampler) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener, s.address = listener, listener.Addr().String()
	s.conns, s.held, s.orders = map[net.Conn]bool{}, 0, 0
	s.places = make(chan struct{}, s.slots)
	s.born = time.Now().UnixMilli()
	if s.versions == nil {
		s.versions = map[string]uint64{}
		for _, model := range s.models {
			s.versions[model] = 1
		}
	}
	if s.random == nil {
		s.random = rand.New(rand.NewSource(int64(len(s.id)) + int64(s.id[len(s.id)-1])))
	}
	go s.accept(listener)
	return nil
}

// crash resets all channels and refuses new ones.
func (s *sampler) crash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.listener.Close()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	s.conns = nil
}

func (s *sampler) entry(state string) map[string]any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := map[string]any{
		"backend": s.pool, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold-left-ms": 0, "seq": 1, "born": s.born,
	}
	if len(s.models) > 0 {
		entry["phase"], entry["models"] = "dual", s.listModels()
	}
	return entry
}

func (s *sampler) listModels() []map[string]any {
	list := []map[string]any{}
	for _, model := range s.models {
		list = append(list, map[string]any{"name": model, "version": s.versions[model], "loras": []string{}})
	}
	return list
}

func (s *sampler) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		if s.conns == nil {
			_ = conn.Close()
		} else {
			s.conns[conn] = true
		}
		s.mutex.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests of one channel, one at a time.
func (s *sampler) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mutex.Lock()
		delete(s.conns, conn)
		s.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	var lateText string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		if late != nil {
			s.record.add("sampler %s: sends a second answer to %s, where the answer to %s is expected", s.id, lateText, id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		reply, ok := s.handle(conn, request, body, id)
		if !ok {
			return
		}
		if reply == nil {
			continue
		}
		if _, err := conn.Write(reply.bytes()); err != nil {
			return
		}
		if extra, _ := s.faults(); id != "" && s.draw(extra) {
			late, lateText = reply.bytes(), fmt.Sprintf("%s (%d, Not-Executed %q)", id, reply.status, reply.header["Not-Executed"])
		}
	}
}

func (s *sampler) draw(share float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

// handle answers a request. It returns nil if it has written the answer itself, and false if the channel is to be closed.
func (s *sampler) handle(conn net.Conn, request *http.Request, body []byte, id string) (*answer, bool) {
	header := map[string]string{"Content-Type": "application/json"}
	if id != "" {
		header["Attempt-Id"] = id
	}
	if expected := request.Header.Get("Expect-Sampler"); expected != "" && expected != s.id {
		header["Sampler-Id"] = s.id
		return &answer{status: http.StatusMisdirectedRequest, header: header}, true
	}
	switch request.URL.Path {
	case "/health":
		return &answer{status: http.StatusOK, header: map[string]string{"Sampler-Id": s.id}}, true
	case "/bramleyhatch/report":
		return s.report(), true
	case "/bramleyhatch/order":
		return s.order(body), true
	}
	if id == "" {
		header["Not-Executed"] = "1"
		return &answer{status: http.StatusBadRequest, header: header}, true
	}
	if !s.enter() {
		s.record.add("sampler %s: %s refused, 503 Not-Executed", s.id, id)
		header["Not-Executed"] = "1"
		return &answer{status: http.StatusServiceUnavailable, header: header}, true
	}
	defer s.leave()
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	s.record.ran(s.id, id, after, request)
	header["Sampler-Signature"] = "proof." + s.id + "." + id
	if _, failing := s.faults(); s.draw(failing) {
		s.record.add("sampler %s: %s failed, 500", s.id, id)
		return &answer{status: http.StatusInternalServerError, header: header}, true
	}
	if len(s.models) > 0 {
		return nil, s.stream(conn, header, request.Header.Get("Model"), id, after)
	}
	time.Sleep(s.work)
	return &answer{status: http.StatusOK, header: header, body: "done " + id}, true
}

// enter waits for a slot. It returns false if the queue is full.
func (s *sampler) enter() bool {
	s.mutex.Lock()
	places := s.places
	if s.held >= s.slots+s.queue {
		s.mutex.Unlock()
		return false
	}
	s.held++
	s.mutex.Unlock()
	places <- struct{}{}
	return true
}

func (s *sampler) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.held--
	<-s.places
}

// stream sends the events after a number, in chunks.
func (s *sampler) stream(conn net.Conn, header map[string]string, model, id string, after int) bool {
	s.mutex.Lock()
	version := s.versions[model]
	s.mutex.Unlock()
	text := &strings.Builder{}
	fmt.Fprint(text, "HTTP/1.1 200 OK\r\n")
	header["Content-Type"] = "text/event-stream"
	header["Weight-Versions"] = strconv.FormatUint(version, 10)
	header["Transfer-Encoding"] = "chunked"
	for name, value := range header {
		fmt.Fprintf(text, "%s: %s\r\n", name, value)
	}
	fmt.Fprint(text, "\r\n")
	if _, err := conn.Write([]byte(text.String())); err != nil {
		return false
	}
	for number := after + 1; number <= s.events; number++ {
		time.Sleep(s.gap)
		event := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", number, id, number)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			s.record.add("sampler %s: %s ended by its caller before event %d", s.id, id, number)
			return false
		}
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	s.record.add("sampler %s: %s sent whole", s.id, id)
	return err == nil
}

func (s *sampler) report() *answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text, _ := json.Marshal(map[string]any{
		"phase": "dual", "models": s.listModels(), "busy": false, "seq": s.orders, "queue-depth": max(0, s.held-s.slots), "in-flight": s.held, "kv-used": 0, "kv-total": 60000, "handles": 0,
	})
	return &answer{status: http.StatusOK, header: map[string]string{"Content-Type": "application/json"}, body: string(text)}
}

func (s *sampler) order(body []byte) *answer {
	var order struct {
		Model   string  `json:"model"`
		Version uint64  `json:"version"`
		Orders  *uint64 `json:"precondition"`
		Owner   string  `json:"owner"`
		Fence   uint64  `json:"fencing-token"`
	}
	if json.Unmarshal(body, &order) != nil || order.Owner == "" || order.Fence == 0 {
		return &answer{status: http.StatusBadRequest}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if order.Orders != nil && *order.Orders != s.orders {
		return &answer{status: http.StatusConflict}
	}
	s.orders++
	s.versions[order.Model] = order.Version
	return &answer{status: http.StatusAccepted}
}
