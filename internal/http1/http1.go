// Package http1 reads and writes HTTP/1.1 messages (RFC 9112) on bufio readers and writers, with limits on the size of
// every part. A head is the start line and the header section of a message. The package owns no connections and starts
// no goroutines.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// Limits of a head: bytes of a line, number of fields, bytes of the whole head.
const (
	MaxLine    = 8 << 10
	MaxHeaders = 64
	MaxHead    = 32 << 10
)

// Errors for messages that are refused.
var (
	ErrTooLarge  = errors.New("http: head too large")
	ErrMalformed = errors.New("http: malformed message")

	ErrBodyTooLarge   = errors.New("http: body too large")
	ErrBudgetExceeded = errors.New("http: too many large bodies are under way")
)

// Field is one header field; its name keeps its case.
type Field struct{ Name, Value string }

// Header is a list of fields in the order in which they were sent.
type Header []Field

// Get returns the first value of a field, or "". Names are compared case-insensitively.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Has reports whether a comma-separated field contains a token, case-insensitively.
func (h Header) Has(name, token string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Request is the head of a request.
type Request struct {
	Method, Target string
	Minor          int // minor version: x of HTTP/1.x
	Header         Header
}

// Response is the head of a response.
type Response struct {
	Status int
	Reason string
	Minor  int
	Header Header
}

// ReadRequest reads the head of a request. The error is io.EOF if the peer closed the connection before its first byte.
func ReadRequest(r *bufio.Reader) (*Request, error) {
	remaining := MaxHead
	line, err := readLine(r, &remaining)
	if err != nil {
		return nil, err
	}
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	minor, ok3 := minorVersion(version)
	if !ok || !ok2 || !ok3 || !isToken(method) || target == "" || strings.ContainsAny(target, " \t") {
		return nil, fmt.Errorf("%w: request line", ErrMalformed)
	}
	req := &Request{Method: method, Target: target, Minor: minor}
	req.Header, err = readHeader(r, &remaining)
	return req, err
}

// ReadResponse reads the head of a response.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	remaining := MaxHead
	line, err := readLine(r, &remaining)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor, ok := minorVersion(version)
	status, err := strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 {
		return nil, fmt.Errorf("%w: status line", ErrMalformed)
	}
	res := &Response{Status: status, Reason: reason, Minor: minor}
	res.Header, err = readHeader(r, &remaining)
	return res, err
}

func minorVersion(version string) (int, bool) {
	switch version {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// readLine reads one line, and counts its bytes against remaining. An end of input inside a line is
// io.ErrUnexpectedEOF.
func readLine(r *bufio.Reader, remaining *int) (string, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		*remaining -= len(part)
		if *remaining < 0 || len(long)+len(part) > MaxLine {
			return "", ErrTooLarge
		}
		switch {
		case err == nil && long == nil:
			return trimLine(part)
		case err == nil:
			return trimLine(append(long, part...))
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, part...)
		case errors.Is(err, io.EOF) && len(long)+len(part) > 0:
			return "", io.ErrUnexpectedEOF
		default:
			return "", err
		}
	}
}

// trimLine removes the line terminator. A bare LF is refused, and so is a bare CR: if peers disagree about where a line
// ends, requests can be smuggled.
func trimLine(line []byte) (string, error) {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return "", fmt.Errorf("%w: line end", ErrMalformed)
	}
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return "", fmt.Errorf("%w: control character", ErrMalformed)
		}
	}
	return string(line), nil
}

func readHeader(r *bufio.Reader, remaining *int) (Header, error) {
	var h Header
	for {
		line, err := readLine(r, remaining)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if line == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // also refuses line folding and whitespace before the colon
			return nil, fmt.Errorf("%w: header line", ErrMalformed)
		}
		if len(h) == MaxHeaders {
			return nil, ErrTooLarge
		}
		h = append(h, Field{name, strings.Trim(value, " \t")})
	}
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// Body reads the body of a message and returns io.EOF at its end. If the peer closes the connection before the end, the
// error is io.ErrUnexpectedEOF.
type Body struct {
	r          *bufio.Reader
	remaining  int64 // bytes of the body or of the current chunk
	maxChunk   int64 // largest size of a chunk; 0: any
	chunked    bool
	untilClose bool
	started    bool
	done       bool
}

// NoBody returns an empty body.
func NoBody() *Body { return &Body{done: true} }

// RequestBody returns the body that follows the head of a request.
func RequestBody(r *bufio.Reader, h Header) (*Body, error) { return newBody(r, h, false) }

// ResponseBody returns the body that follows the head of a response.
func ResponseBody(r *bufio.Reader, res *Response) (*Body, error) {
	if res.Status < 200 || res.Status == 204 || res.Status == 304 {
		return NoBody(), nil
	}
	return newBody(r, res.Header, true)
}

func newBody(r *bufio.Reader, h Header, untilClose bool) (*Body, error) {
	b := &Body{r: r}
	coding, length, lengths := "", "", 0
	for _, f := range h {
		if strings.EqualFold(f.Name, "Transfer-Encoding") {
			coding += f.Value + ","
		}
		if strings.EqualFold(f.Name, "Content-Length") {
			lengths++
			length = f.Value
		}
	}
	switch {
	case coding != "" && (lengths > 0 || !strings.EqualFold(coding, "chunked,")):
		return nil, fmt.Errorf("%w: transfer coding", ErrMalformed) // both together allow request smuggling (RFC 9112, section 6.1)
	case coding != "":
		b.chunked = true
	case lengths == 1:
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil {
			return nil, fmt.Errorf("%w: content length", ErrMalformed)
		}
		b.remaining, b.done = int64(n), n == 0
	case lengths > 1:
		return nil, fmt.Errorf("%w: content length", ErrMalformed)
	case untilClose:
		b.untilClose = true
	default:
		b.done = true
	}
	return b, nil
}

// Length returns the unread bytes of a body with a Content-Length, and 0 for other bodies.
func (b *Body) Length() int64 {
	if b.chunked || b.untilClose {
		return 0
	}
	return b.remaining
}

// LimitChunk sets the largest chunk size; a larger chunk fails with ErrTooLarge before its data is read.
func (b *Body) LimitChunk(chunk int64) { b.maxChunk = chunk }

// Complete reports whether the body has been read to its end, so that the connection can be reused.
func (b *Body) Complete() bool { return b.done && !b.untilClose }

// Read reads the content, without chunk framing.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.untilClose {
		n, err := b.r.Read(p)
		b.done = errors.Is(err, io.EOF)
		return n, err
	}
	if b.chunked && b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && b.remaining == 0 && !b.chunked {
		b.done = true
	}
	return n, err
}

// nextChunk reads the size line of the next chunk, and the trailer section after the last chunk.
func (b *Body) nextChunk() error {
	remaining := MaxHead
	if b.started {
		if line, err := readLine(b.r, &remaining); err != nil || line != "" {
			return bodyError(err, "chunk end")
		}
	}
	b.started = true
	size, err := readChunkSize(b.r)
	if err != nil {
		return bodyError(err, "chunk size")
	}
	if b.maxChunk > 0 && size > b.maxChunk {
		return ErrTooLarge
	}
	b.remaining = size
	if size > 0 {
		return nil
	}
	if _, err := readHeader(b.r, &remaining); err != nil {
		return bodyError(err, "trailer")
	}
	b.done = true
	return nil
}

// readChunkSize reads the hexadecimal size of a chunk and skips chunk extensions, without allocating.
func readChunkSize(r *bufio.Reader) (int64, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return 0, ErrTooLarge
	}
	if err != nil {
		return 0, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return 0, ErrMalformed
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > 12 {
		return 0, ErrMalformed
	}
	var n int64
	for _, c := range size {
		var d byte
		switch {
		case c >= '0' && c <= '9':
			d = c - '0'
		case c >= 'a' && c <= 'f':
			d = c - 'a' + 10
		case c >= 'A' && c <= 'F':
			d = c - 'A' + 10
		default:
			return 0, ErrMalformed
		}
		n = n<<4 | int64(d)
	}
	return n, nil
}

// Chunked reports whether the body has the chunked transfer coding.
func (b *Body) Chunked() bool { return b.chunked }

// Budget counts the bytes of all bodies that are in memory at the same time. Its zero value is ready for use.
type Budget struct{ used atomic.Int64 }

// Reserve counts n bytes, unless the sum would exceed maxTotal.
func (b *Budget) Reserve(n, maxTotal int64) bool {
	if b.used.Add(n) <= maxTotal {
		return true
	}
	b.used.Add(-n)
	return false
}

// Add counts bytes that are in memory already, without a limit.
func (b *Budget) Add(n int64) { b.used.Add(n) }

// Release returns n bytes that ReadAll, Reserve or Add counted.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// ReadAll reads a body of up to maxBytes. Memory grows with the bytes received, not with the announced length. The
// bytes count in the budget, up to maxTotal for all bodies, until the caller releases held, also after an error. The
// error is ErrBodyTooLarge, ErrBudgetExceeded or one of the connection.
func (b *Body) ReadAll(maxBytes, maxTotal int64, budget *Budget) (text []byte, held int64, err error) {
	if b.Length() > maxBytes {
		return nil, 0, ErrBodyTooLarge
	}
	text = make([]byte, 0, min(max(b.Length(), minInitialBuffer), maxInitialBuffer))
	for {
		if len(text) == cap(text) {
			text = slices.Grow(text, 1)
		}
		n, err := b.Read(text[len(text):cap(text)])
		text, held = text[:len(text)+n], held+int64(n)
		switch {
		case budget.used.Add(int64(n)) > maxTotal:
			return nil, held, ErrBudgetExceeded
		case held > maxBytes:
			return nil, held, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return text, held, nil
		case err != nil:
			return nil, held, err
		}
	}
}

// Bytes of the buffer for a body before any of it has been received.
const (
	minInitialBuffer = 512
	maxInitialBuffer = 4 << 10
)

func bodyError(err error, part string) error {
	switch {
	case err == nil:
		return fmt.Errorf("%w: %s", ErrMalformed, part)
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteHead writes a head without flushing.
func WriteHead(w *bufio.Writer, start string, h Header) error {
	w.WriteString(start)
	w.WriteString("\r\n")
	for _, f := range h {
		w.WriteString(f.Name)
		w.WriteString(": ")
		w.WriteString(f.Value)
		w.WriteString("\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

// AppendChunk appends one chunk; an empty chunk ends the body.
func AppendChunk(b, p []byte) []byte {
	b = strconv.AppendInt(b, int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	return append(b, "\r\n"...)
}

// WriteChunk writes one chunk and flushes; an empty chunk ends the body.
func WriteChunk(w *bufio.Writer, p []byte) error {
	var size [16]byte
	w.Write(strconv.AppendInt(size[:0], int64(len(p)), 16))
	w.WriteString("\r\n")
	w.Write(p)
	w.WriteString("\r\n")
	return w.Flush()
}
