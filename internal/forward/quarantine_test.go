package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/poison"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

const (
	poolName     = "look"
	suspectsPath = "live/poison/"
	idHeader     = "Attempt-Id"
	firstEvent   = "id: 1\ndata: x\n\n"
	// quarantineCrashes is the number of crashes after which a request is refused.
	quarantineCrashes = 3
	requestTimeout    = 10 * time.Second
	awaitTimeout      = 10 * time.Second
	// largeBytes is the size of a body that is too large to be buffered.
	largeBytes = 1 << 20
)

var (
	idempotent = table.Route{Kind: table.Idempotent, MaxAttempts: 1}
	twice      = table.Route{Kind: table.Idempotent, MaxAttempts: 2}
	repeated   = table.Route{Kind: table.Idempotent, MaxAttempts: 3}
	once       = table.Route{Kind: table.Once, MaxAttempts: 1}
	stream     = table.Route{Kind: table.Stream, MaxAttempts: 1}
	resumable  = table.Route{Kind: table.Stream, MaxAttempts: 3, Resumable: true}

	largeBody = strings.Repeat("x", largeBytes)
	errCut    = refusal.Unknown(http.StatusBadGateway, backend.CodeInterrupted, "cut")
)

// crash ends the connection.
func crash(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// reply sends an answer with a length or in chunks.
func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// sendPart sends part of an answer, and then ends as another reply does.
func sendPart(body string, end http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		end(w, r)
	}
}

// hold sends nothing until the caller leaves.
func hold(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// finish ends an answer.
func finish(http.ResponseWriter, *http.Request) {}

// unframed sends an answer without a length or chunks, which ends with its connection.
func unframed(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", idHeader, r.Header.Get(idHeader), body)
		_ = connection.Close()
	}
}

// service is a gateway's forwarder with some backend servers.
type service struct {
	t          *testing.T
	store      *platformtest.Store
	quarantine *poison.Quarantine
	forwarder  *forward.Forwarder
	servers    []string

	mutex sync.Mutex
	// reached are the servers that requests have reached, in their order.
	reached []string
}

// newService starts as many servers as there are replies. The first request gets the first reply, whichever server it
// reaches.
func newService(t *testing.T, replies ...http.HandlerFunc) *service {
	t.Helper()
	s := &service{t: t, store: &platformtest.Store{}}
	s.quarantine = &poison.Quarantine{Store: s.store, Prefix: suspectsPath}
	s.forwarder = &forward.Forwarder{Roster: &roster.Roster{Wire: platform.Wire{}}, Quarantine: s.quarantine}
	for i := range replies {
		s.startServer(fmt.Sprint("s", i+1), 1, replies)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.quarantine.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// startServer starts a server, or starts it again with a later start time.
func (s *service) startServer(id string, startedAtMillis int64, replies []http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		replies[s.recordRequest(id)](w, r)
	}))
	s.t.Cleanup(server.Close)
	s.servers = append(s.servers, id)
	s.forwarder.Roster.Set(roster.Entry{
		ID: id, Pool: poolName, Address: server.Listener.Addr().String(), Slots: 4, StartedAtMillis: startedAtMillis,
	})
}

// recordRequest records that a request has reached a server, and returns the number of earlier ones.
func (s *service) recordRequest(server string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reached = append(s.reached, server)
	return len(s.reached) - 1
}

func (s *service) reachedServers() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.reached)
}

// run sends a copy of the request.
func (s *service) run(ctx context.Context, route table.Route) (*forward.Answer, error) {
	route.Shares = []table.Share{{Pool: poolName, Weight: 1}}
	identity := s.identity()
	return s.forwarder.Run(ctx, &forward.Request{
		Request: backend.Request{
			ID: "r1", Account: identity.Account, Method: identity.Method, Host: identity.Host, Target: identity.Target, Body: identity.Body,
		},
		Route: &route, Deadline: clock.Now().Add(requestTimeout),
	})
}

func (s *service) identity() poison.Identity {
	return poison.Identity{Account: "acme", Method: http.MethodPost, Host: "h", Target: "/look/x", Body: []byte("text")}
}

// mustRun sends a copy of the request that gets an answer, reads it to its end and returns the error there.
func (s *service) mustRun(route table.Route) error {
	s.t.Helper()
	answer, err := s.run(s.t.Context(), route)
	must.NoError(s.t, err)
	defer answer.Finish()
	return readAll(answer)
}

// readAll reads an answer to its end; nil means that it was whole.
func readAll(answer *forward.Answer) error {
	if answer.Next == nil {
		_, err := io.Copy(io.Discard, answer.Answer.Body)
		return err
	}
	for {
		if _, err := answer.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// recordCrashes records crashes of other servers under other copies of the request.
func (s *service) recordCrashes(servers ...string) {
	tracker := s.track()
	defer tracker.Close()
	for _, server := range servers {
		tracker.RecordFailure(context.Background(), server, errCut)
	}
}

func (s *service) track() *poison.Tracker { return s.quarantine.Track("other", s.identity()) }

// mustCountCrashes checks how many crashes count, by adding others until the request is refused.
func (s *service) mustCountCrashes(want int) {
	s.t.Helper()
	added := 0
	for s.track().HeldFor() == 0 {
		added++
		s.recordCrashes(fmt.Sprint("added", added))
	}
	must.Eq(s.t, want, quarantineCrashes-added)
}

// awaitStored waits until the store holds the crashes of these servers.
func (s *service) awaitStored(servers ...string) {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.Timeout(awaitTimeout), wait.Gap(5*time.Millisecond), wait.ErrorFunc(func() error {
		if stored := s.storedServers(); !slices.Equal(stored, servers) {
			return fmt.Errorf("the store holds %v", stored)
		}
		return nil
	})))
}

// storedServers returns the crashed servers of the only suspect that the store holds.
func (s *service) storedServers() []string {
	list, err := s.store.List(context.Background(), suspectsPath)
	must.NoError(s.t, err)
	if len(list.Values) != 1 {
		return nil
	}
	stored := &statepb.Suspect{}
	must.NoError(s.t, proto.Unmarshal(list.Values[0].Data, stored))
	return stored.GetServers()
}

// mustHaveFreeSlots checks that no request counts as running at a server.
func (s *service) mustHaveFreeSlots() {
	s.t.Helper()
	for _, id := range s.servers {
		must.Eq(s.t, 0, s.forwarder.Roster.Running(s.forwarder.Roster.Find(id)), must.Sprint(id))
	}
}

// mustSend checks how many requests have reached a server.
func (s *service) mustSend(want int) {
	s.t.Helper()
	must.SliceLen(s.t, want, s.reachedServers())
}

// Guards against copies that crash one server each, through different gateways, and are never added up.
func TestCrashOfAnUnansweredRequestIsShared(t *testing.T) {
	t.Run("a request that ends with an error", func(t *testing.T) {
		s := newService(t, crash)
		_, err := s.run(t.Context(), once)
		must.Error(t, err)
		s.awaitStored("s1@1")
	})
	t.Run("a request whose answer proves nothing", func(t *testing.T) {
		s := newService(t, crash, reply(http.StatusInternalServerError, "text"))
		must.NoError(t, s.mustRun(twice))
		s.awaitStored(s.reachedServers()[0] + "@1")
	})
}

// Guards against two crashes of a server that started again in between, which other gateways take for one.
func TestEachStartOfAServerCounts(t *testing.T) {
	for name, test := range map[string]struct {
		route table.Route
		reply http.HandlerFunc
	}{
		"before the answer":   {once, crash},
		"within a large body": {idempotent, sendPart(largeBody, crash)},
	} {
		t.Run(name, func(t *testing.T) {
			replies := []http.HandlerFunc{test.reply, test.reply}
			s := newService(t)
			for i := range replies {
				s.startServer("s1", int64(i+1), replies)
				if answer, err := s.run(t.Context(), test.route); err == nil {
					must.Error(t, readAll(answer))
					answer.Finish()
				}
			}
			s.awaitStored("s1@1", "s1@2")
		})
	}
}

// Guards against a suspicion that is ended by an error of whatever stands before a crashed server, or that outlasts an
// answer of a server.
func TestOnlyAnswersBelow500EndASuspicion(t *testing.T) {
	for status, want := range map[int]int{
		http.StatusOK: 0, http.StatusNotFound: 0, http.StatusUnprocessableEntity: 0, http.StatusTooManyRequests: 0,
		http.StatusInternalServerError: 2, http.StatusBadGateway: 2, http.StatusServiceUnavailable: 2,
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			s := newService(t, reply(status, "text"))
			s.recordCrashes("a", "b")
			must.NoError(t, s.mustRun(idempotent))
			s.mustCountCrashes(want)
		})
	}
}

// Guards against a long text that stays suspected although a server has generated it to its end.
func TestEndOfAStreamIsAnAnswer(t *testing.T) {
	s := newService(t, reply(http.StatusOK, firstEvent))
	s.recordCrashes("a", "b")
	must.NoError(t, s.mustRun(resumable))
	s.mustCountCrashes(0)
}

// Guards against crashes and answers that are missed because the gateway passes the body on while it reads it.
func TestEndOfABodyThatIsPassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		route table.Route
		body  string
	}{
		"large body":                     {idempotent, largeBody},
		"stream that may not be resumed": {stream, firstEvent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("cut by the server is a crash", func(t *testing.T) {
				s := newService(t, sendPart(test.body, crash))
				s.recordCrashes("a", "b")
				must.Error(t, s.mustRun(test.route))
				s.mustCountCrashes(3)
			})
			t.Run("whole is an answer", func(t *testing.T) {
				s := newService(t, sendPart(test.body, finish))
				s.recordCrashes("a", "b")
				must.NoError(t, s.mustRun(test.route))
				s.mustCountCrashes(0)
			})
			t.Run("left by the caller is neither", func(t *testing.T) {
				s := newService(t, sendPart(test.body, hold))
				s.recordCrashes("a", "b")
				ctx, cancel := context.WithCancel(t.Context())
				answer, err := s.run(ctx, test.route)
				must.NoError(t, err)
				cancel()
				must.Error(t, readAll(answer))
				answer.Finish()
				s.mustCountCrashes(2)
			})
			t.Run("not read to its end is neither", func(t *testing.T) {
				s := newService(t, sendPart(test.body, hold))
				s.recordCrashes("a", "b")
				answer, err := s.run(t.Context(), test.route)
				must.NoError(t, err)
				answer.Finish()
				s.mustCountCrashes(2)
			})
		})
	}
}

// Guards against a crash that is taken for the end of an answer: without a length or chunks both look the same.
func TestUnframedBodyIsNoAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		route table.Route
		body  string
	}{
		"short body":                     {idempotent, "text"},
		"large body":                     {idempotent, largeBody},
		"stream that may be resumed":     {resumable, firstEvent},
		"stream that may not be resumed": {stream, firstEvent},
	} {
		t.Run(name, func(t *testing.T) {
			s := newService(t, unframed(test.body))
			s.recordCrashes("a", "b")
			must.NoError(t, s.mustRun(test.route))
			s.mustCountCrashes(2)
		})
	}
}

// Guards against slots that stay taken by requests that were never sent, until the pool seems full.
func TestQuarantinedRequestTakesNoSlot(t *testing.T) {
	s := newService(t, finish)
	s.recordCrashes("a", "b", "c")
	_, err := s.run(t.Context(), idempotent)
	must.Eq(t, poison.CodeQuarantined, refusal.Of(err).Code)
	must.True(t, refusal.IsNotRun(err))
	must.Positive(t, refusal.Of(err).RetryAfter)
	s.mustSend(0)
	s.mustHaveFreeSlots()
}

// Guards against a stream that crashes a server at each resumption after it was quarantined.
func TestQuarantinedStreamIsNotResumed(t *testing.T) {
	s := newService(t, sendPart(firstEvent, crash), reply(http.StatusOK, firstEvent))
	s.recordCrashes("a", "b")
	answer, err := s.run(t.Context(), resumable)
	must.NoError(t, err)
	event, err := answer.Next()
	must.NoError(t, err)
	must.Eq(t, firstEvent, string(event))
	_, err = answer.Next()
	must.Error(t, err)
	must.False(t, errors.Is(err, io.EOF))
	answer.Finish()
	s.mustSend(1)
	s.mustHaveFreeSlots()
}

// Guards against a trial that ends a server for each attempt of its request.
func TestTrialIsSentToOneServer(t *testing.T) {
	other := reply(http.StatusOK, firstEvent)
	for name, test := range map[string]struct {
		route table.Route
		reply http.HandlerFunc
	}{
		"a crash":                    {repeated, crash},
		"an error":                   {repeated, reply(http.StatusInternalServerError, "")},
		"a cut stream":               {resumable, sendPart(firstEvent, crash)},
		"a stream without an answer": {resumable, crash},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newService(t, test.reply, other, other)
			s.recordCrashes("a", "b", "c")
			s.awaitStored("a", "b", "c")
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.track().HeldFor() == 0 }), wait.Timeout(awaitTimeout), wait.Gap(10*time.Millisecond)))
			answer, err := s.run(t.Context(), test.route)
			if err == nil {
				err = readAll(answer)
				answer.Finish()
			}
			must.Error(t, err)
			must.False(t, refusal.IsNotRun(err))
			s.mustSend(1)
			s.mustHaveFreeSlots()
		})
	}
}
