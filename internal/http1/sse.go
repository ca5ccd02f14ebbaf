package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEvent bounds the data of one server-sent event.
const MaxEvent = 256 << 10

// Events reads server-sent events (the event stream format of the HTML
// standard); only their data is kept.
type Events struct {
	r    *bufio.Reader
	data []byte
}

// NewEvents reads events from a body, with a buffer of its own.
func NewEvents(body io.Reader) *Events { return &Events{r: bufio.NewReaderSize(body, 2048)} }

// Next is the data of the next event, valid until the next call. io.EOF tells
// that the stream ended between events; inside one, io.ErrUnexpectedEOF.
func (e *Events) Next() ([]byte, error) {
	e.data = e.data[:0]
	some := false
	for {
		line, err := e.line()
		if err != nil {
			if errors.Is(err, io.EOF) && some {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if some {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data"))
		if !ok || len(value) > 0 && value[0] != ':' {
			continue // a comment, or a field that nothing here needs
		}
		value = bytes.TrimPrefix(bytes.TrimPrefix(value, []byte(":")), []byte(" "))
		if some {
			e.data = append(e.data, '\n')
		}
		some = true
		if len(e.data)+len(value) > MaxEvent {
			return nil, ErrTooLarge
		}
		e.data = append(e.data, value...)
	}
}

// line reads one line; longer ones than the buffer are gathered up to MaxEvent.
func (e *Events) line() ([]byte, error) {
	part, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(part)
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(long) > MaxEvent {
				return nil, ErrTooLarge
			}
			part, err = e.r.ReadSlice('\n')
			long = append(long, part...)
		}
		part = long
	}
	if err != nil {
		if errors.Is(err, io.EOF) && len(part) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return bytes.TrimSuffix(bytes.TrimSuffix(part, []byte("\n")), []byte("\r")), nil
}

// RawEvents passes a stream of events on as it came, by whole events: each as
// soon as its last byte is there, however chunks cut the stream.
type RawEvents struct {
	body io.Reader
	buf  []byte
	told int // of buf, returned by the last call
	seen int // of buf, looked at for the end of an event
	data bool
}

// rawPart is how much is read at a time, and at first.
const rawPart = 1 << 10

// NewRawEvents reads a stream. An event of over MaxEvent bytes is ErrTooLarge.
func NewRawEvents(body io.Reader) *RawEvents { return &RawEvents{body: body} }

// Next is one or more whole events, valid until the next call. What comes before
// the first event with data comes with it, or not at all: it is no answer yet.
// With io.EOF, the end, come the bytes that no blank line ended, if any.
func (e *RawEvents) Next() ([]byte, error) {
	e.buf = append(e.buf[:0], e.buf[e.told:]...)
	e.seen -= e.told
	e.told = 0
	for {
		if end := e.lastEnd(); end > 0 && e.hasData(end) {
			e.told = end
			return e.buf[:end], nil
		}
		if len(e.buf) > MaxEvent {
			return nil, ErrTooLarge
		}
		if cap(e.buf)-len(e.buf) < rawPart/4 {
			e.buf = append(make([]byte, 0, max(2*cap(e.buf), rawPart)), e.buf...)
		}
		n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		if err != nil && n == 0 {
			if !errors.Is(err, io.EOF) || !e.hasData(len(e.buf)) {
				return nil, err
			}
			e.told = len(e.buf)
			return e.buf, err
		}
	}
}

// lastEnd is where the last blank line ends, 0 where there is none.
func (e *RawEvents) lastEnd() int {
	from := max(e.seen-3, 0) // a blank line may be in pieces
	e.seen = len(e.buf)
	end := 0
	for i := len(e.buf) - 1; i > from && end == 0; i-- {
		if e.buf[i] == '\n' && (e.buf[i-1] == '\n' || i > 1 && e.buf[i-1] == '\r' && e.buf[i-2] == '\n') {
			end = i + 1
		}
	}
	return end
}

// hasData tells whether an event with data has come, up to a place.
func (e *RawEvents) hasData(end int) bool {
	e.data = e.data || bytes.HasPrefix(e.buf[:end], []byte("data:")) || bytes.Contains(e.buf[:end], []byte("\ndata:"))
	return e.data
}
