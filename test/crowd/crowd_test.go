// Package crowd_test runs the real processes before clients that don't behave. The tests check what doesn't depend on the
// machine's speed: that the process lives, its memory and descriptors, and that it answers an ordinary client afterwards.
package crowd_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
)

const (
	// crowdSize is the number of clients of a crowd.
	crowdSize = 600
	// hostMemory is the memory of a host, and the bound of each process on it.
	hostMemory = 216 << 20
	// hostDescriptors is the number of descriptors of a host, and fewDescriptors that of a host on which a crowd has more
	// connections.
	hostDescriptors = 4096
	fewDescriptors  = 400
	// maxBodyBytes is the limit on bodies of the configuration in the tests.
	maxBodyBytes = 1 << 20
	// missingBytes is how many bytes short of its end a body stops.
	missingBytes = 10
	// endlessBytes is how much a client sends of what has no end.
	endlessBytes = 4 << 20
	largeChunk   = 16 << 10
	smallChunk   = 4
)

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "crowd")
	if err == nil {
		err = build(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// target is a listener of a process before which a crowd stands.
type target struct {
	*process

	// address is the listener.
	address string
	// head is the head of a request with a body, without its length and end.
	head string
	// ask sends one ordinary request and reports whether it was answered.
	ask func() bool
}

// mustWithstand checks that the process keeps its bounds before the crowd, and answers an ordinary client while the crowd
// stays and after it has left.
func (p *target) mustWithstand(t *testing.T, send listentest.Send) {
	t.Helper()
	watcher := listentest.Watch(t, p.pid(), p.address)
	crowd := listentest.Join(t, p.address, crowdSize, send)
	watcher.Sample()
	p.awaitAnswer(t, "an ordinary client is answered beside the crowd")
	watcher.Sample()
	crowd.Leave()
	p.awaitAnswer(t, "an ordinary client is answered after the crowd")
	usage := watcher.Stop()
	t.Logf("%s: %d MB, %d descriptors", p.name, usage.Memory>>20, usage.Descriptors)
	must.True(t, p.lives(), must.Sprint("the process has ended"))
	must.LessEq(t, p.host.memory, usage.Memory, must.Sprint("memory with unread bytes"))
	must.LessEq(t, p.host.descriptors, usage.Descriptors, must.Sprint("open descriptors"))
}

func (p *target) awaitAnswer(t *testing.T, what string) {
	t.Helper()
	await(t, what, func() bool { return !p.lives() || p.ask() })
	must.True(t, p.lives(), must.Sprint("the process has ended"))
}

// endlessHeads are the ways to send a head without end.
func endlessHeads(path string) map[string]listentest.Send {
	start := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n"
	return map[string]listentest.Send{
		"line":        listentest.Repeat(start+"X-Long: ", "x", endlessBytes),
		"lines":       listentest.Repeat(start, "X-Long: "+strings.Repeat("x", 100)+"\r\n", endlessBytes/110),
		"short lines": listentest.Repeat(start, "a:\n", endlessBytes/3),
		"empty lines": listentest.Repeat("", "\r\n", endlessBytes/2),
		"target":      listentest.Repeat("GET /", "x", endlessBytes),
	}
}

// bodies are the ways to send a body of legal size without its end.
func bodies(head string) map[string]listentest.Send {
	return map[string]listentest.Send{
		"cut":          listentest.Body(head, maxBodyBytes, missingBytes),
		"large chunks": listentest.Chunks(head, maxBodyBytes, largeChunk),
		"small chunks": listentest.Chunks(head, maxBodyBytes, smallChunk),
	}
}

// Guards against a head without end, or with many short lines, that the front holds in memory.
func TestFrontHeadOneLine(t *testing.T)    { testFront(t, endlessHeads("/look/x")["line"]) }
func TestFrontHeadManyLines(t *testing.T)  { testFront(t, endlessHeads("/look/x")["lines"]) }
func TestFrontHeadShortLines(t *testing.T) { testFront(t, endlessHeads("/look/x")["short lines"]) }
func TestFrontHeadTarget(t *testing.T)     { testFront(t, endlessHeads("/look/x")["target"]) }

// Guards against empty lines without end before a request.
func TestFrontEmptyLines(t *testing.T) { testFront(t, endlessHeads("/look/x")["empty lines"]) }

// Guards against many heads within the limit that stop short of their end.
func TestFrontHeadsCut(t *testing.T) {
	testFront(t, listentest.Repeat("GET /look/x HTTP/1.1\r\nHost: h.example\r\n", "a:\n", 5000))
}

// Guards against many bodies of legal size at once, whole or without their end.
func TestFrontBodiesWhole(t *testing.T) {
	g := newGateway(t, hostDescriptors)
	// The server keeps the requests until the clients leave.
	g.app.SetFault(hangUnless("ordinary"))
	g.front().mustWithstand(t, listentest.Body(g.front().head, maxBodyBytes, 0))
}

func TestFrontBodiesCut(t *testing.T) { testFront(t, bodies(frontHead("/look/x"))["cut"]) }
func TestFrontBodiesLargeChunks(t *testing.T) {
	testFront(t, bodies(frontHead("/look/x"))["large chunks"])
}
func TestFrontBodiesSmallChunks(t *testing.T) {
	testFront(t, bodies(frontHead("/look/x"))["small chunks"])
}

// Guards against batches that take far more memory when decoded than as text.
func TestFrontBatchesOfSmallItems(t *testing.T) {
	testFront(t, batches(func() string { return "crowd" }))
}

// Guards against many accepted batches of one account, each of which fits into the store.
func TestFrontBatchesKept(t *testing.T) {
	var count atomic.Int64
	testFront(t, batches(func() string { return fmt.Sprintf("crowd%d", count.Add(1)) }))
}

// Guards against answers that are not read, with requests waiting behind them.
func TestFrontAnswersUnread(t *testing.T) {
	testFront(t, answersUnread(frontHead("/look/x")))
}

// Guards against reads of an ended batch, each of which loads it from the store, whose answers aren't read.
func TestFrontStoredReads(t *testing.T) {
	g := newGateway(t, hostDescriptors)
	await(t, "the batch is accepted", func() bool {
		status, _ := request(http.MethodPost, g.frontAddress+"/batch/b1", batchOfSmallItems(5000), "Attempt-Id", "b1", "Authorization", "Bearer key-acme")
		return status == http.StatusAccepted
	})
	await(t, "the batch is ended", func() bool {
		status, _ := request(http.MethodDelete, g.frontAddress+"/bramleyhatch/lots/b1", "", "Authorization", "Bearer key-acme")
		return status == http.StatusOK
	})
	read := "GET /bramleyhatch/lots/b1?after=0 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-acme\r\n\r\n"
	g.front().mustWithstand(t, listentest.Repeat("", read, 20))
}

// Guards against bytes behind a waiting request that nobody reads.
func TestFrontBytesBehindRequest(t *testing.T) {
	g := newGateway(t, hostDescriptors)
	g.app.SetFault(hangUnless("ordinary"))
	g.front().mustWithstand(t, listentest.Repeat(g.front().head+"Content-Length: 0\r\n\r\n", "x", endlessBytes))
}

// Guards against silent connections, and bodies of refused requests, that take all descriptors.
func TestFrontSilent(t *testing.T) {
	newGateway(t, fewDescriptors).front().mustWithstand(t, silent)
}

func TestFrontRefusedBodies(t *testing.T) {
	head := "POST /look/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\n"
	newGateway(t, fewDescriptors).front().mustWithstand(t, listentest.Body(head, 1000, missingBytes))
}

func testFront(t *testing.T, send listentest.Send) {
	t.Helper()
	newGateway(t, hostDescriptors).front().mustWithstand(t, send)
}

// Guards against heads without end, and silent connections, at the listener of readiness checks.
func TestReadyHeads(t *testing.T) {
	newGateway(t, hostDescriptors).readiness().mustWithstand(t, endlessHeads("/bramleyhatch/ready")["line"])
}
func TestReadyShortLines(t *testing.T) {
	newGateway(t, hostDescriptors).readiness().mustWithstand(t, endlessHeads("/bramleyhatch/ready")["short lines"])
}
func TestReadySilent(t *testing.T) {
	newGateway(t, fewDescriptors).readiness().mustWithstand(t, silent)
}
func TestReadyBodiesCut(t *testing.T) {
	newGateway(t, hostDescriptors).readiness().mustWithstand(t, bodies("GET /bramleyhatch/ready HTTP/1.1\r\nHost: h.example\r\n")["cut"])
}

// Guards against heads without end at the listener of metrics.
func TestMetricsHeads(t *testing.T) {
	newGateway(t, hostDescriptors).metrics().mustWithstand(t, endlessHeads("/metrics")["line"])
}

// Guards against heads without end, and bodies that stop short of their end, at an entry.
func TestEntryHeadOneLine(t *testing.T) { testEntry(t, endlessHeads("/v1/completions")["line"]) }
func TestEntryHeadShortLines(t *testing.T) {
	testEntry(t, endlessHeads("/v1/completions")["short lines"])
}
func TestEntryBodiesCut(t *testing.T) { testEntry(t, bodies(entryHead("/v1/completions"))["cut"]) }
func TestEntryBodiesSmallChunks(t *testing.T) {
	testEntry(t, bodies(entryHead("/v1/completions"))["small chunks"])
}
func TestEntryTrainerBodiesCut(t *testing.T) {
	testEntry(t, bodies(entryHead("/v1/trainers/drafter/steps"))["cut"])
}
func TestEntryOperatorBodiesCut(t *testing.T) { testEntry(t, bodies(operatorHead)["cut"]) }
func TestEntrySilent(t *testing.T) {
	newEntry(t, fewDescriptors).callers().mustWithstand(t, silent)
}

func testEntry(t *testing.T, send listentest.Send) {
	t.Helper()
	newEntry(t, hostDescriptors).callers().mustWithstand(t, send)
}

// Guards against metrics that are asked for without being read.
func TestEntryMetricsUnread(t *testing.T) {
	testEntry(t, listentest.Repeat("", "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n", 400))
}

// Guards against heads without end at a sidecar's listener of metrics.
func TestSidecarHeads(t *testing.T) {
	newEntry(t, hostDescriptors).sidecarMetrics().mustWithstand(t, endlessHeads("/metrics")["line"])
}

// Guards against what is no HTTP/2, and heads without end, at the listener for other processes.
func TestPeersHeads(t *testing.T) {
	g := newGateway(t, hostDescriptors)
	(&target{process: g.process, address: g.peer, ask: g.askFront}).mustWithstand(t, endlessHeads("/x")["line"])
}

// Guards against header frames without end, and silent connections, at the listener for other processes.
func TestPeersHeaderFrames(t *testing.T) {
	g := newGateway(t, hostDescriptors)
	(&target{process: g.process, address: g.peer, ask: g.askFront}).mustWithstand(t, headerFrames())
}

func TestKeeperHeads(t *testing.T) {
	g := newGateway(t, hostDescriptors)
	(&target{process: g.keeper, address: g.keeper.peer, ask: g.askFront}).mustWithstand(t, endlessHeads("/x")["line"])
}

// headerFrames sends a request over HTTP/2 whose header frames have no end.
func headerFrames() listentest.Send {
	const frameBytes, typeHeaders, typeContinuation = 16384, 1, 9
	fields := strings.Repeat("\x00\x01a\x01b", frameBytes/5)
	frame := func(kind byte) string {
		length := len(fields)
		return string([]byte{byte(length >> 16), byte(length >> 8), byte(length), kind, 0, 0, 0, 0, 1}) + fields
	}
	preface := "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + string([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0})
	return listentest.Repeat(preface+frame(typeHeaders), frame(typeContinuation), endlessBytes/frameBytes)
}

// silent sends nothing.
func silent(net.Conn) error { return nil }

func frontHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-acme\r\nAttempt-Id: crowd\r\n"
}

// operatorHead is the head of a request of an operator.
const operatorHead = "PUT /operator/v1/config HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + operatorToken + "\r\n"

// batchOfSmallItems returns a batch of about the given size.
func batchOfSmallItems(size int) string {
	var items strings.Builder
	for i := 0; items.Len() < size; i++ {
		fmt.Fprintf(&items, `{"id":"%d","path":"/"},`, i)
	}
	return `{"step":1,"model":"m","min-version":1,"desired":1,"items":[` + strings.TrimSuffix(items.String(), ",") + `]}`
}

// batches sends a batch of many small items, with the ID that newID returns.
func batches(newID func() string) listentest.Send {
	body := batchOfSmallItems(maxBodyBytes - 100)
	return func(conn net.Conn) error {
		id := newID()
		head := strings.Replace(frontHead("/batch/"+id), "Attempt-Id: crowd", "Attempt-Id: "+id, 1)
		return listentest.Repeat(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)), body, 1)(conn)
	}
}

// answersUnread sends requests whose answers are as long as their bodies, one behind the other.
func answersUnread(head string) listentest.Send {
	const requests, length = 24, 200 << 10
	return listentest.Repeat("", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, length, strings.Repeat("x", length)), requests)
}
