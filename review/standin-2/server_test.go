//go:build review

package standin2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxQueue is how many requests a server queues beyond its slots.
const maxQueue = 24

// server is a stand-in of a sampler (with a model) or of a plain application (without).
type server struct {
	id      string
	address string
	pool    string
	model   string
	zone    string
	slots   int
	store   *store

	// events and gap are the text of an item: its number of events and the time between two of them.
	events int
	gap    time.Duration
	// work is how long a plain application works on a request.
	work time.Duration
	// data returns the data of an event; nil means eventData.
	data func(id string, event int) string
	// fail returns the status with which a request that was run fails, or 0.
	fail func(id string) int
	// spoil reports whether the next event of an item is a line that doesn't end.
	spoil func(id string, event int) bool
	// onRun is called with the body of each request that is run.
	onRun func(body string)
	// onArrival is called when a request reaches the server, before it gets a slot.
	onArrival func(s *server, r *http.Request)

	free chan struct{}

	stop func()

	mutex    sync.Mutex
	version  uint64
	orders   uint64
	waiting  int
	running  int
	ran      map[string]int
	finished map[string]bool
	conns    map[net.Conn]bool
	isGone   bool
}

func (d *deployment) newServer(id, pool, model, zone string, slots int) *server {
	s := &server{
		id: id, pool: pool, model: model, zone: zone, slots: slots, store: d.store, events: 20, gap: 40 * time.Millisecond, work: 20 * time.Millisecond,
		version: 1, free: make(chan struct{}, slots), ran: map[string]int{}, finished: map[string]bool{}, conns: map[net.Conn]bool{},
	}
	s.address, s.stop = serveUntil(s, func(conn net.Conn, state http.ConnState) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		switch state {
		case http.StateNew:
			s.conns[conn] = true
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, conn)
		case http.StateActive, http.StateIdle:
		}
	})
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; !s.hasGone(); seq++ {
			s.register(born, seq)
			time.Sleep(heartbeat)
		}
	}()
	return s
}

// heartbeat is heartbeat-ms of the small deployments.
const heartbeat = 1200 * time.Millisecond

func (s *server) hasGone() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isGone
}

// crash ends the server for good. Its registration is removed after three intervals of silence.
func (s *server) crash() {
	s.mutex.Lock()
	s.isGone = true
	s.mutex.Unlock()
	s.stop()
	s.reset(func() bool { return true })
	time.AfterFunc(3*heartbeat, func() { s.store.removeKey("servers/" + s.id) })
}

func (s *server) register(born int64, seq int) {
	entry := map[string]any{
		"backend": s.pool, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "serving", "cold-left-ms": 0, "seq": seq, "born": born,
	}
	if s.model != "" {
		s.mutex.Lock()
		entry["phase"], entry["models"] = "dual", []map[string]any{{"name": s.model, "version": s.version, "loras": []string{}}}
		s.mutex.Unlock()
	}
	s.store.put("servers/"+s.id, entry)
}

// proof returns the signature of an answer.
func (s *server) proof(id string) string { return "proof." + s.id + "." + id }

// eventData returns the data of one event of an item's text.
func eventData(id string, event int) string { return fmt.Sprintf("%s.%d", id, event) }

// wholeText returns the whole text of an item.
func (s *server) wholeText(id string) string {
	var parts []string
	for event := 1; event <= s.events; event++ {
		parts = append(parts, s.dataOf(id, event))
	}
	return strings.Join(parts, "\n")
}

func (s *server) dataOf(id string, event int) string {
	if s.data != nil {
		return s.data(id, event)
	}
	return eventData(id, event)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expect-Sampler"); expected != "" && expected != s.id {
		w.Header().Set("Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/bramleyhatch/report":
		s.report(w)
	case "/bramleyhatch/order":
		s.order(w, r)
	default:
		s.run(w, r, id)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "dual", "models": []map[string]any{{"name": s.model, "version": s.version, "loras": []string{}}}, "busy": false, "seq": s.orders,
		"queue-depth": s.waiting, "in-flight": s.running, "kv-used": 1000 * s.running, "kv-total": 66020, "handles": 0,
	})
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Version      uint64  `json:"version"`
		Owner        string  `json:"owner"`
		Fence        uint64  `json:"fencing-token"`
		Precondition *uint64 `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Owner == "" || body.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case body.Precondition != nil && *body.Precondition != s.orders:
		w.WriteHeader(http.StatusConflict)
	case body.Version == s.version:
		w.WriteHeader(http.StatusOK)
	default:
		s.orders++
		s.version = body.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// run serves a request: it waits for a slot, works, and answers.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.onArrival != nil {
		s.onArrival(s, r)
	}
	w.Header().Set("Attempt-Id", id)
	if !s.enter(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.mutex.Lock()
	s.ran[id]++
	version := s.version
	s.mutex.Unlock()
	w.Header().Set("Sampler-Signature", s.proof(id))
	if s.onRun != nil {
		s.onRun(string(body))
	}
	if s.model == "" {
		time.Sleep(s.work)
		if s.fail != nil {
			if status := s.fail(id); status != 0 {
				w.WriteHeader(status)
				return
			}
		}
		_, _ = w.Write(append([]byte("done "), body...))
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	for event := after + 1; event <= s.events; event++ {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
		if s.spoil != nil && s.spoil(id, event) {
			s.flood(w, r, event)
			return
		}
		lines := strings.Split(s.dataOf(id, event), "\n")
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, strings.Join(lines, "\ndata: "))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finished[id] = true
}

// Limits of a line that doesn't end: the link of an entry host carries 1,000 Mbit/s, and wrong bytes last 5.5 s at most.
const (
	floodBytes    = 1 << 20
	floodInterval = 10 * time.Millisecond
	floodTime     = 5 * time.Second
)

// flood sends an event whose data has no end, until its time is over or the client closes the channel.
func (s *server) flood(w http.ResponseWriter, r *http.Request, event int) {
	began, sent := time.Now(), 0
	record.log("%s sends an event without an end", s.id)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: ", event)
	part := []byte(strings.Repeat("x", floodBytes))
	for time.Since(began) < floodTime {
		n, err := w.Write(part)
		sent += n
		if err != nil || r.Context().Err() != nil {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(sent/floodBytes) * floodInterval)))
	}
	record.log("%s has sent %d MB of it", s.id, sent>>20)
	panic(http.ErrAbortHandler)
}

// hasFinished reports whether this server has finished the text of an item.
func (s *server) hasFinished(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.finished[id]
}

// enter waits for a slot. It returns false if the queue is full or the client has left.
func (s *server) enter(r *http.Request) bool {
	s.mutex.Lock()
	if s.waiting+s.running >= s.slots+maxQueue {
		s.mutex.Unlock()
		return false
	}
	s.waiting++
	s.mutex.Unlock()
	select {
	case s.free <- struct{}{}:
		s.mutex.Lock()
		s.waiting--
		s.running++
		s.mutex.Unlock()
		return true
	case <-r.Context().Done():
		s.mutex.Lock()
		s.waiting--
		s.mutex.Unlock()
		return false
	}
}

func (s *server) leave() {
	<-s.free
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// load returns the numbers of requests that run here and that wait.
func (s *server) load() (running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, s.waiting
}

func (s *server) runs(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran[id]
}

// reset resets the channels to this server that choose picks.
func (s *server) reset(choose func() bool) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for conn := range s.conns {
		if !choose() {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		count++
	}
	return count
}
