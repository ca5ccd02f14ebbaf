// Package http1 reads and writes HTTP/1.1 (RFC 9112) heads and bodies on bufio,
// with bounds on every part. It holds no connections and starts no goroutines.
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

// Bounds of a head.
const (
	MaxLine    = 8 << 10
	MaxHeaders = 64
	MaxHead    = 32 << 10
)

// Errors of bad messages.
var (
	ErrTooLarge  = errors.New("http: head too large")
	ErrMalformed = errors.New("http: malformed message")

	ErrBodyTooLarge = errors.New("http: body too large")
	ErrCrowded      = errors.New("http: too many large bodies are under way")
)

// Field is one header field; names are kept as sent.
type Field struct{ Name, Value string }

// Header is the fields in order.
type Header []Field

// Get is the first value of a field, by name without case, or "".
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Has tells whether a comma-separated field holds a token, without case.
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

// Request is a request's head.
type Request struct {
	Method, Target string
	Minor          int // of HTTP/1.x
	Header         Header
}

// Response is a response's head.
type Response struct {
	Status int
	Reason string
	Minor  int
	Header Header
}

// ReadRequest reads a request's head. io.EOF tells that the peer closed before one.
func ReadRequest(r *bufio.Reader) (*Request, error) {
	left := MaxHead
	line, err := readLine(r, &left)
	if err != nil {
		return nil, err
	}
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	minor, ok3 := minorOf(version)
	if !ok || !ok2 || !ok3 || !isToken(method) || target == "" || strings.ContainsAny(target, " \t") {
		return nil, fmt.Errorf("%w: request line", ErrMalformed)
	}
	req := &Request{Method: method, Target: target, Minor: minor}
	req.Header, err = readHeader(r, &left)
	return req, err
}

// ReadResponse reads a response's head.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	left := MaxHead
	line, err := readLine(r, &left)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor, ok := minorOf(version)
	status, err := strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 {
		return nil, fmt.Errorf("%w: status line", ErrMalformed)
	}
	res := &Response{Status: status, Reason: reason, Minor: minor}
	res.Header, err = readHeader(r, &left)
	return res, err
}

func minorOf(version string) (int, bool) {
	switch version {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// readLine reads to the line's end; an end inside a line is an error of its own.
func readLine(r *bufio.Reader, left *int) (string, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		*left -= len(part)
		if *left < 0 || len(long)+len(part) > MaxLine {
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

// trimLine takes the line's end off. A bare LF is refused as a bare CR is: what
// one party takes for a line's end and another does not is a way to smuggle.
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

func readHeader(r *bufio.Reader, left *int) (Header, error) {
	var h Header
	for {
		line, err := readLine(r, left)
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
		if !ok || !isToken(name) { // a folded line or a space before the colon is refused too
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

// Body is a message's body; it reads to io.EOF once whole. A peer that closes
// early gives io.ErrUnexpectedEOF.
type Body struct {
	r       *bufio.Reader
	left    int64 // of the length or of the chunk
	most    int64 // of one chunk; 0: any size
	chunked bool
	toClose bool
	begun   bool
	done    bool
}

// NoBody is a body that is empty.
func NoBody() *Body { return &Body{done: true} }

// RequestBody is the body that follows a request's head.
func RequestBody(r *bufio.Reader, h Header) (*Body, error) { return newBody(r, h, false) }

// ResponseBody is the body that follows a response's head.
func ResponseBody(r *bufio.Reader, res *Response) (*Body, error) {
	if res.Status < 200 || res.Status == 204 || res.Status == 304 {
		return NoBody(), nil
	}
	return newBody(r, res.Header, true)
}

func newBody(r *bufio.Reader, h Header, toClose bool) (*Body, error) {
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
		return nil, fmt.Errorf("%w: transfer coding", ErrMalformed) // both at once is a way to smuggle
	case coding != "":
		b.chunked = true
	case lengths == 1:
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil {
			return nil, fmt.Errorf("%w: content length", ErrMalformed)
		}
		b.left, b.done = int64(n), n == 0
	case lengths > 1:
		return nil, fmt.Errorf("%w: content length", ErrMalformed)
	case toClose:
		b.toClose = true
	default:
		b.done = true
	}
	return b, nil
}

// Length is how long the body is, where that is told; else 0.
func (b *Body) Length() int64 {
	if b.chunked || b.toClose {
		return 0
	}
	return b.left
}

// Bound has a chunk that is said to be larger end the body with ErrTooLarge.
func (b *Body) Bound(chunk int64) { b.most = chunk }

// Whole tells whether the body has been read to its end, so that the connection may be used again.
func (b *Body) Whole() bool { return b.done && !b.toClose }

// Read reads decoded bytes.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.toClose {
		n, err := b.r.Read(p)
		b.done = errors.Is(err, io.EOF)
		return n, err
	}
	if b.chunked && b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && b.left == 0 && !b.chunked {
		b.done = true
	}
	return n, err
}

// nextChunk reads the line of a chunk, and the trailer after the last.
func (b *Body) nextChunk() error {
	left := MaxHead
	if b.begun {
		if line, err := readLine(b.r, &left); err != nil || line != "" {
			return bodyError(err, "chunk end")
		}
	}
	b.begun = true
	size, err := readChunkSize(b.r)
	if err != nil {
		return bodyError(err, "chunk size")
	}
	if b.most > 0 && size > b.most {
		return ErrTooLarge
	}
	b.left = size
	if size > 0 {
		return nil
	}
	if _, err := readHeader(b.r, &left); err != nil {
		return bodyError(err, "trailer")
	}
	b.done = true
	return nil
}

// readChunkSize reads hexadecimal digits and skips extensions, without allocating.
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

// Chunked tells whether the body comes in chunks, which alone tell its end for certain.
func (b *Body) Chunked() bool { return b.chunked }

// Budget counts the bytes of the bodies that are held together. Its zero value is ready for use.
type Budget struct{ used atomic.Int64 }

// Take counts bytes, unless all would be passed.
func (b *Budget) Take(n, all int64) bool {
	if b.used.Add(n) <= all {
		return true
	}
	b.used.Add(-n)
	return false
}

// Add counts bytes that are held already.
func (b *Budget) Add(n int64) { b.used.Add(n) }

// Give takes bytes back that ReadWhole or Take counted.
func (b *Budget) Give(n int64) { b.used.Add(-n) }

// ReadWhole reads a body of most bytes at the most; memory grows as they come,
// whatever length the peer told. What is read counts in the budget, which holds
// all bytes at the most, until the caller gives held back, after an error too.
// Errors are ErrBodyTooLarge, ErrCrowded, or the connection's.
func (b *Body) ReadWhole(most, all int64, budget *Budget) (text []byte, held int64, err error) {
	if b.Length() > most {
		return nil, 0, ErrBodyTooLarge
	}
	text = make([]byte, 0, min(max(b.Length(), firstPart), mostPart))
	for {
		if len(text) == cap(text) {
			text = slices.Grow(text, 1)
		}
		n, err := b.Read(text[len(text):cap(text)])
		text, held = text[:len(text)+n], held+int64(n)
		switch {
		case budget.used.Add(int64(n)) > all:
			return nil, held, ErrCrowded
		case held > most:
			return nil, held, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return text, held, nil
		case err != nil:
			return nil, held, err
		}
	}
}

// Memory for a body before any of it has come.
const (
	firstPart = 512
	mostPart  = 4 << 10
)

func bodyError(err error, what string) error {
	switch {
	case err == nil:
		return fmt.Errorf("%w: %s", ErrMalformed, what)
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteHead writes a start line and the fields, without flushing.
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

// AppendChunk appends one chunk; an empty one ends the body.
func AppendChunk(b, p []byte) []byte {
	b = strconv.AppendInt(b, int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	return append(b, "\r\n"...)
}

// WriteChunk writes one chunk and flushes; an empty one ends the body.
func WriteChunk(w *bufio.Writer, p []byte) error {
	var size [16]byte
	w.Write(strconv.AppendInt(size[:0], int64(len(p)), 16))
	w.WriteString("\r\n")
	w.Write(p)
	w.WriteString("\r\n")
	return w.Flush()
}
