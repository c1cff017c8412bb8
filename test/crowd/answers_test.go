package crowd_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	// almostHead is a number of bytes below the limit on the head of an answer, and almostEvent below that on an event.
	almostHead  = 60 << 10
	almostEvent = 250 << 10
	// endlessAnswer is more than a process may keep of an answer.
	endlessAnswer = 1 << 20
)

// ask sends one whole request with an ID of its own and reads what comes back.
func ask(path string) listentest.Send {
	var count atomic.Int64
	return func(conn net.Conn) error {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-acme\r\nAttempt-Id: crowd%d\r\nContent-Length: 0\r\n\r\n", path, count.Add(1))
		_, err := conn.Write([]byte(head))
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		return err
	}
}

// uniqueFields returns fields of about the given number of bytes, each with another short name.
func uniqueFields(bytes int) string {
	text := &strings.Builder{}
	for number := 0; text.Len() < bytes; number++ {
		_, _ = fmt.Fprintf(text, "%x:\n", number)
	}
	return text.String()
}

// mustWithstandAnswers checks that a gateway keeps its bounds while a server sends a text, which has no end, to each of a
// crowd's requests at once.
func mustWithstandAnswers(t *testing.T, path string, text func(id string) string) {
	t.Helper()
	g := newGatewayOn(t, host{memory: smallestMemory, descriptors: hostDescriptors}, wiretest.NewPlatform())
	raw := func(id string, _ int) (string, bool) {
		if strings.HasPrefix(id, "ordinary") {
			return "", false
		}
		return text(id), true
	}
	g.app.SetRawAnswer(raw)
	g.model.SetRawAnswer(raw)
	g.front().mustWithstand(t, ask(path))
}

// endless returns an answer that begins with a text and goes on with another one.
func endless(begin, text string, bytes int) func(string) string {
	return func(id string) string {
		return strings.ReplaceAll(begin, "ID", id) + strings.Repeat(text, bytes/len(text))
	}
}

const (
	answerStart = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nSampler-Signature: proof.ID\r\n"
	longField   = "X-Long: 0123456789012345678901234567890123456789012345678901234567890123456789\r\n"
)

// Guards against heads of answers without end, or just below the limit, of many servers at once.
func TestAnswerHeadOneLine(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless("", "x", endlessAnswer))
}
func TestAnswerHeadManyLines(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart, longField, endlessAnswer))
}
func TestAnswerHeadEarlyHeads(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless("", "HTTP/1.1 103 Early Hints\r\n\r\n", endlessAnswer))
}
func TestAnswerHeadShortLines(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart+uniqueFields(endlessAnswer), "a:\n", endlessAnswer))
}
func TestAnswerHeadCutLine(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart+"X-Long: ", "x", almostHead))
}
func TestAnswerHeadCutLines(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart, longField, almostHead))
}
func TestAnswerHeadCutShortLines(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart, uniqueFields(almostHead), almostHead))
}

// Guards against bodies of answers without end of many servers at once.
func TestAnswerBodyToTheEnd(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart+"\r\n", "x", endlessAnswer))
}
func TestAnswerBodyChunks(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", endlessAnswer))
}
func TestAnswerBodyChunkExtension(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart+"Transfer-Encoding: chunked\r\n\r\n1;", "x", endlessAnswer))
}
func TestAnswerTrailers(t *testing.T) {
	mustWithstandAnswers(t, "/post/x", endless(answerStart+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n", endlessAnswer))
}

// Guards against events without end, or just below their limit, of many samplers at once.
func TestAnswerEvent(t *testing.T) {
	mustWithstandAnswers(t, "/stream/x", endless(answerStart+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x", endlessAnswer))
}
func TestAnswerEventCut(t *testing.T) {
	mustWithstandAnswers(t, "/stream/x", endless(answerStart+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x", almostEvent))
}
func TestAnswerEventLinesCut(t *testing.T) {
	mustWithstandAnswers(t, "/stream/x", endless(answerStart+"Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n", almostEvent))
}
