package http1

import (
	"bytes"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MaxHeadBytes limits the heads of an answer together: informational ones and the final one. It limits trailers too.
const MaxHeadBytes = 64 << 10

// phase is the part of an answer that a scanner expects.
type phase int

const (
	// phaseUnchecked is a body that ends by its length or with its connection, or what arrives after the answer.
	phaseUnchecked phase = iota
	phaseStatus
	phaseFields
	phaseChunkSize
	phaseChunk
	phaseTrailer
)

// scanner checks the bytes of one answer as they arrive.
type scanner struct {
	phase phase
	// isHead is true if the request's method is HEAD, whose answers have no body.
	isHead bool
	head   head
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// size is the number of bytes of the heads, or of the trailers.
	size int
	// left is the number of bytes left of a chunk, with its line end.
	left int64
	// endsWithConn is true once the final head has arrived, if the body ends with the connection.
	endsWithConn bool

	// reserve takes memory for the heads; nil takes none.
	reserve func(bytes int64) bool
	// fields is the number of lines of the heads.
	fields int64
	// reserved is the memory that the heads may take: freeHeadBytes, and what was taken.
	reserved int64
}

// Memory of heads while net/http parses them.
const (
	// byteCost is the memory for each byte: a line is copied while it grows.
	byteCost = 4
	// fieldCost is the memory for each field, which becomes an entry of a map.
	fieldCost = 256
	// freeHeadBytes is the memory of heads for which none is taken. Hardly any head needs more.
	freeHeadBytes = 16 << 10
	// reserveStep is how much memory is taken at a time.
	reserveStep = 16 << 10
)

// head is what a head states about the answer's framing.
type head struct {
	status    int
	version   string
	lengths   []string
	encodings []string
}

func (h *head) isInformational() bool { return h.status < minFinalStatus }

// hasBody reports whether an answer with the head has a body, which it has not if the request's method was HEAD.
func (h *head) hasBody() bool { return h.status != statusNoContent && h.status != statusNotModified }

// newScanner returns a scanner of an answer. reserve takes memory for its heads; nil takes none.
func newScanner(isHead bool, reserve func(bytes int64) bool) scanner {
	return scanner{phase: phaseStatus, isHead: isHead, reserve: reserve, reserved: freeHeadBytes}
}

// isHeadComplete reports whether the final head has arrived.
func (s *scanner) isHeadComplete() bool { return s.phase != phaseStatus && s.phase != phaseFields }

// scan checks the next bytes. The error is a *MalformedAnswerError or a *MemoryError. With an error it returns how many
// bytes may be passed on: those before the line with the fault, and at least one byte of an answer. net/http sends a
// request again if its connection fails before the first byte.
func (s *scanner) scan(data []byte) (valid int, err error) {
	isFirst := s.phase == phaseStatus && s.size == 0
	for at := 0; at < len(data); {
		switch s.phase {
		case phaseUnchecked:
			return len(data), nil
		case phaseChunk:
			at += s.skipChunk(len(data) - at)
			continue
		default:
		}
		length, err := s.scanLine(data[at:])
		if err != nil && isFirst {
			return max(at, 1), err
		}
		if err != nil {
			return at, err
		}
		at += length
	}
	return len(data), nil
}

// skipChunk skips bytes of a chunk and returns their number.
func (s *scanner) skipChunk(available int) int {
	skipped := min(int64(available), s.left)
	s.left -= skipped
	if s.left == 0 {
		s.phase = phaseChunkSize
	}
	return int(skipped)
}

// scanLine checks the rest of a line, or keeps it until its end arrives. It returns the number of its bytes.
func (s *scanner) scanLine(data []byte) (length int, err error) {
	end := bytes.IndexByte(data, '\n')
	length = end + 1
	if end < 0 {
		length = len(data)
	}
	s.size += length
	if s.size > MaxHeadBytes {
		return 0, s.endless(data[:length])
	}
	if end >= 0 {
		s.fields++
	}
	if !s.hasMemory() {
		return 0, &MemoryError{}
	}
	if end < 0 {
		s.line = append(s.line, data...)
		return length, nil
	}
	line := data[:end]
	if len(s.line) > 0 {
		line = append(s.line, line...)
		// The memory is used again for the beginning of a later line.
		s.line = line[:0]
	}
	return length, s.checkLine(string(bytes.TrimSuffix(line, []byte("\r"))))
}

// hasMemory takes memory for a head that has grown. It returns false if there is none.
func (s *scanner) hasMemory() bool {
	if s.reserve == nil || s.isHeadComplete() {
		return true
	}
	for byteCost*int64(s.size)+fieldCost*s.fields > s.reserved {
		if !s.reserve(reserveStep) {
			return false
		}
		s.reserved += reserveStep
	}
	return true
}

// endless returns the fault of a head or trailers that are too large. net/http limits the line of a chunk's size.
func (s *scanner) endless(data []byte) error {
	if s.phase == phaseChunkSize {
		s.phase = phaseUnchecked
		return nil
	}
	line := s.line
	if len(line) == 0 {
		line = data
	}
	return newFault("a head of more than "+strconv.Itoa(MaxHeadBytes)+" bytes", string(line[:min(len(line), maxQuotedBytes)]))
}

func (s *scanner) checkLine(line string) error {
	switch {
	case s.phase == phaseStatus:
		s.phase = phaseFields
		return s.head.parseStatusLine(line)
	case s.phase == phaseChunkSize:
		s.parseChunkSize(line)
		return nil
	case line != "":
		return s.checkField(line)
	case s.phase == phaseTrailer:
		s.phase = phaseUnchecked
		return nil
	default:
		return s.endHead()
	}
}

// endHead determines what follows a head.
func (s *scanner) endHead() error {
	if err := s.head.checkFraming(); err != nil {
		return err
	}
	ended := s.head
	s.head = head{}
	switch {
	case ended.isInformational():
		s.phase = phaseStatus
	case s.isHead || !ended.hasBody():
		s.phase = phaseUnchecked
	case len(ended.encodings) > 0:
		s.phase = phaseChunkSize
		s.size = 0
	default:
		s.phase = phaseUnchecked
		s.endsWithConn = len(ended.lengths) == 0
	}
	return nil
}

// parseChunkSize determines what follows the line of a chunk's size. net/http rejects a line that can't be parsed.
func (s *scanner) parseChunkSize(line string) {
	s.size = 0
	digits, _, _ := strings.Cut(line, ";")
	// The size and the line end after the chunk must not overflow.
	const maxSizeBits, lineEnd = 62, 2
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, maxSizeBits)
	switch {
	case err != nil:
		s.phase = phaseUnchecked
	case size == 0:
		s.phase = phaseTrailer
	default:
		s.phase, s.left = phaseChunk, int64(size)+lineEnd
	}
}

const (
	minStatus = 100
	// minFinalStatus is the lowest status that ends an answer. 101 would end one too, but only after a request to switch
	// protocols, which no client here sends.
	minFinalStatus           = 200
	maxStatus                = 599
	statusSwitchingProtocols = 101
	statusNoContent          = 204
	statusNotModified        = 304
)

// parseStatusLine parses a line such as "HTTP/1.1 200 OK".
func (h *head) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, isVersion1 := strings.CutPrefix(version, "HTTP/1.")
	if !isVersion1 || !isDigits(minor, 1) {
		return newFault("a status line without version 1 of HTTP", line)
	}
	status, reason, _ := strings.Cut(rest, " ")
	if !isDigits(status, 3) || !httpguts.ValidHeaderFieldValue(reason) {
		return newFault("a malformed status line", line)
	}
	h.version = version
	h.status, _ = strconv.Atoi(status)
	if h.status < minStatus || h.status > maxStatus || h.status == statusSwitchingProtocols {
		return newFault("an invalid status", line)
	}
	return nil
}

// isDigits reports whether a text is a number of decimal digits.
func isDigits(text string, count int) bool {
	return len(text) == count && strings.Trim(text, "0123456789") == ""
}

// checkField checks the line of a field in a head or a trailer. net/http accepts a blank in a name, joins a line that
// begins with a blank to the one before, and skips a field without a name: a Content-Length that is spelt so is ignored,
// and the body ends elsewhere.
func (s *scanner) checkField(line string) error {
	name, value, hasColon := strings.Cut(line, ":")
	if !hasColon || !httpguts.ValidHeaderFieldName(name) {
		return newFault("a field without a valid name", line)
	}
	value = strings.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(value) {
		return newFault("a field without a valid value", line)
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		s.head.lengths = append(s.head.lengths, value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.head.encodings = append(s.head.encodings, value)
	}
	return nil
}

// checkFraming checks that the fields state one way to find the end of the body.
func (h *head) checkFraming() error {
	for _, length := range h.lengths {
		if length != h.lengths[0] || strings.Trim(length, "0123456789") != "" || length == "" {
			return newFault("an invalid Content-Length", strings.Join(h.lengths, ", "))
		}
	}
	if len(h.encodings) == 0 {
		return nil
	}
	if len(h.encodings) > 1 || !strings.EqualFold(h.encodings[0], "chunked") {
		return newFault("an unknown Transfer-Encoding", strings.Join(h.encodings, ", "))
	}
	if len(h.lengths) > 0 || h.version == "HTTP/1.0" {
		return newFault("a Transfer-Encoding beside a Content-Length or in HTTP/1.0", strings.Join(h.lengths, ", "))
	}
	return nil
}
