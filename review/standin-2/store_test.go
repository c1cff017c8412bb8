//go:build review

package standin2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeAnswerTime is the usual time of an answer of the platform's store, as the sheets of the small deployments say.
const storeAnswerTime = 4 * time.Millisecond

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"mod-rev"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	address string
	// slowdown is the factor by which answers take longer.
	slowdown atomic.Int64

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
	// compacted is the revision up to which the history is gone; deaf is closed when watches, which hear nothing until
	// then, are cut.
	compacted uint64
	deaf      chan struct{}
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 100, changed: make(chan struct{})}
	s.slowdown.Store(1)
	s.address = serve(s, nil)
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

// put writes a key as the operator, a trainer or a server does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		unable("encode %s: %v", key, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.write(key, text, 0)
	s.wake()
}

// removeKey removes a key as the platform does.
func (s *store) removeKey(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

func (s *store) write(key string, value []byte, lease uint64) {
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = written
	s.events = append(s.events, written)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, each := range s.leases {
		if time.Now().After(each.expires) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, each := range s.items {
		if each.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query, path := r.URL.Query(), r.URL.Path
	var status int
	var reply any
	switch {
	case path == "/bramleyhatch/kv-key":
		status, reply = s.get(query.Get("key"))
	case path == "/bramleyhatch/kv-range":
		status, reply = s.list(query.Get("prefix"), query.Get("after"))
	case path == "/bramleyhatch/kv-watch":
		status, reply = s.watch(r, query.Get("prefix"), number(query.Get("after")), number(query.Get("wait-ms")))
	case path == "/bramleyhatch/kv-txn":
		status, reply = s.commit(r)
	case path == "/bramleyhatch/kv-lease":
		status, reply = s.grant(r)
	case strings.HasPrefix(path, "/bramleyhatch/kv-keep/"):
		status, reply = s.keep(number(path[strings.LastIndex(path, "/")+1:]))
	case strings.HasPrefix(path, "/bramleyhatch/kv-lease-end/"):
		status, reply = s.release(number(path[strings.LastIndex(path, "/")+1:]))
	default:
		status = http.StatusNotFound
	}
	time.Sleep(storeAnswerTime * time.Duration(s.slowdown.Load()))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reply != nil {
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func number(text string) uint64 {
	value, _ := strconv.ParseUint(text, 10, 64)
	return value
}

func (s *store) get(key string) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]any{"current-rev": s.revision}
	}
	return http.StatusOK, struct {
		item
		Current uint64 `json:"current-rev"`
	}{found, s.revision}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []item{}
	for key, each := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, each)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	const page = 500
	more := len(found) > page
	return http.StatusOK, map[string]any{"items": found[:min(len(found), page)], "more-pages": more, "current-rev": s.revision}
}

// compact makes watches hear nothing for a time, then drops the history and cuts them.
func (s *store) compact(length time.Duration) {
	deaf := make(chan struct{})
	s.mutex.Lock()
	s.deaf = deaf
	s.wake()
	s.mutex.Unlock()
	time.Sleep(length)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted, s.events, s.deaf = s.revision, nil, nil
	close(deaf)
}

func (s *store) watch(r *http.Request, prefix string, after, waitMS uint64) (int, any) {
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for isLast := false; ; {
		s.mutex.Lock()
		if deaf := s.deaf; deaf != nil {
			s.mutex.Unlock()
			select {
			case <-deaf:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		if after < s.compacted {
			s.mutex.Unlock()
			return http.StatusGone, nil
		}
		found := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, each := range s.events[first:] {
			if strings.HasPrefix(each.Key, prefix) {
				found = append(found, each)
			}
		}
		current, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(found) > 0 || isLast {
			return http.StatusOK, map[string]any{"events": found, "current-rev": current}
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-r.Context().Done():
			isLast = true
		}
	}
}

func (s *store) commit(r *http.Request) (int, any) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"mod-rev"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, holds := []item{}, true
	for _, expect := range body.Expect {
		found, ok := s.items[expect.Key]
		if ok {
			current = append(current, found)
		}
		holds = holds && found.Revision == expect.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, write := range body.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	s.revision++
	for _, write := range body.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]any{"mod-rev": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextID++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.nextID, "ttl-ms": body.TTL}
}

func (s *store) keep(id uint64) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.leases[id]
	if found == nil {
		return http.StatusNotFound, nil
	}
	found.expires = time.Now().Add(found.ttl)
	return http.StatusOK, map[string]any{"ttl-ms": found.ttl.Milliseconds()}
}

func (s *store) release(id uint64) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.end(id)
	return http.StatusOK, map[string]any{}
}
