//go:build review

package standin

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxPageItems is the number of items in one page of a range.
const maxPageItems = 500

// item is a value of the store, or the removal of one.
type item struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rev     uint64 `json:"mod-rev"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	mutex    sync.Mutex
	values   map[string]item
	history  []item
	rev      uint64
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
	delay    atomic.Int64
	onCommit func(host string, removed []string, written []string)
}

type lease struct {
	length time.Duration
	until  time.Time
}

func newStore() *store {
	s := &store{values: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), rev: 10, nextID: 100}
	go s.expireLeases()
	return s
}

// setDelay sets how long each answer takes.
func (s *store) setDelay(delay time.Duration) { s.delay.Store(int64(delay)) }

// put writes a value as the operator or a sampler does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	s.write(key, base64.StdEncoding.EncodeToString(text), 0)
	s.notify()
}

// remove removes a value as a sampler's platform does.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	s.delete(key)
	s.notify()
}

// write, delete and notify are called with the mutex held.
func (s *store) write(key, value string, lease uint64) {
	next := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if before, ok := s.values[key]; ok {
		next.Created = before.Created
	}
	s.values[key] = next
	s.history = append(s.history, next)
}

func (s *store) delete(key string) {
	if _, ok := s.values[key]; !ok {
		return
	}
	delete(s.values, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mutex.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.until) {
				s.endLease(id)
			}
		}
		s.mutex.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for key, value := range s.values {
		if value.Lease == id {
			s.delete(key)
		}
	}
	s.notify()
}

// listen serves the store to one host and returns the address.
func (s *store) listen(host string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, host) })
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, host string) {
	const prefix = "/bramleyhatch/"
	path := strings.TrimPrefix(r.URL.Path, prefix)
	name, id, _ := strings.Cut(path, "/")
	status, reply := http.StatusNotFound, any(nil)
	switch name {
	case "kv-key":
		status, reply = s.key(r)
	case "kv-range":
		status, reply = s.list(r)
	case "kv-watch":
		status, reply = s.watch(r)
	case "kv-txn":
		status, reply = s.commit(r, host)
	case "kv-lease":
		status, reply = s.grant(r)
	case "kv-keep":
		status, reply = s.keep(id)
	case "kv-lease-end":
		status, reply = s.end(id)
	}
	time.Sleep(time.Duration(s.delay.Load()))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reply != nil {
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func (s *store) key(r *http.Request) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	value, ok := s.values[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, map[string]any{"current-rev": s.rev}
	}
	return http.StatusOK, struct {
		item
		Current uint64 `json:"current-rev"`
	}{value, s.rev}
}

func (s *store) list(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []item{}
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, value)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPageItems
	if more {
		items = items[:maxPageItems]
	}
	return http.StatusOK, map[string]any{"items": items, "more-pages": more, "current-rev": s.rev}
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events, current, changed := s.eventsAfter(query.Get("prefix"), after), s.rev, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current-rev": current}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{"events": events, "current-rev": current}
		case <-deadline:
			return http.StatusOK, map[string]any{"events": events, "current-rev": current}
		}
	}
}

func (s *store) eventsAfter(prefix string, after uint64) []item {
	events := []item{}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
	for _, event := range s.history[start:] {
		if strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

func (s *store) commit(r *http.Request, host string) (int, any) {
	var body struct {
		Expect []struct {
			Key string `json:"key"`
			Rev uint64 `json:"mod-rev"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expect)+len(body.Writes)+len(body.Remove) > 32 {
		return http.StatusBadRequest, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conflict := false
	current := []item{}
	for _, expect := range body.Expect {
		value, ok := s.values[expect.Key]
		conflict = conflict || value.Rev != expect.Rev
		if !ok {
			value = item{Key: expect.Key}
		}
		current = append(current, value)
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	var written []string
	for _, write := range body.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, nil
		}
		written = append(written, write.Key)
	}
	s.rev++
	for _, write := range body.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Remove {
		s.delete(key)
	}
	s.notify()
	if s.onCommit != nil && len(body.Expect) > 0 {
		s.onCommit(host, body.Remove, written)
	}
	return http.StatusOK, map[string]any{"mod-rev": s.rev}
}

func (s *store) grant(r *http.Request) (int, any) {
	var body struct {
		Length int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextID++
	length := max(time.Second, time.Duration(body.Length)*time.Millisecond)
	s.leases[s.nextID] = &lease{length: length, until: time.Now().Add(length)}
	return http.StatusOK, map[string]any{"lease": s.nextID, "ttl-ms": length.Milliseconds()}
}

func (s *store) keep(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return http.StatusNotFound, nil
	}
	lease.until = time.Now().Add(lease.length)
	return http.StatusOK, map[string]any{"lease": id, "ttl-ms": lease.length.Milliseconds()}
}

func (s *store) end(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, map[string]any{}
}
