package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEvent is the largest server-sent event in bytes.
const MaxEvent = 256 << 10

// Events reads server-sent events (the event stream format of the HTML standard) and returns their data; other fields
// are ignored.
type Events struct {
	r    *bufio.Reader
	data []byte
}

// NewEvents returns a reader of the events in body, with a buffer of its own.
func NewEvents(body io.Reader) *Events { return &Events{r: bufio.NewReaderSize(body, 2048)} }

// Next returns the data of the next event, valid until the next call. The error is io.EOF if the stream ended between
// events, and io.ErrUnexpectedEOF if it ended inside one.
func (e *Events) Next() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.line()
		if err != nil {
			if errors.Is(err, io.EOF) && hasData {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data"))
		if !ok || len(value) > 0 && value[0] != ':' {
			continue // a comment or another field
		}
		value = bytes.TrimPrefix(bytes.TrimPrefix(value, []byte(":")), []byte(" "))
		if hasData {
			e.data = append(e.data, '\n')
		}
		hasData = true
		if len(e.data)+len(value) > MaxEvent {
			return nil, ErrTooLarge
		}
		e.data = append(e.data, value...)
	}
}

// line reads one line. Lines longer than the buffer are collected up to MaxEvent.
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

// RawEvents splits a stream at event boundaries without changing its bytes. Each event is returned as soon as its last
// byte has been received, wherever chunks end.
type RawEvents struct {
	body     io.Reader
	buf      []byte
	returned int // bytes of buf that the last call returned
	scanned  int // bytes of buf that were searched for the end of an event
	sawData  bool
	ended    bool // an earlier call returned the event [DONE]
}

// rawBufferSize is the initial size of the buffer in bytes. It grows once less than a quarter of this is free.
const rawBufferSize = 1 << 10

// NewRawEvents returns a reader of the events in body. An event of more than MaxEvent bytes is ErrTooLarge.
func NewRawEvents(body io.Reader) *RawEvents { return &RawEvents{body: body} }

// Next returns one or more whole events, valid until the next call. Bytes before the first event with data are returned
// together with it or not at all, since they are no answer yet. At the end of the stream, any remaining bytes that no
// blank line ended are returned together with io.EOF.
func (e *RawEvents) Next() ([]byte, error) {
	e.ended = e.ended || hasField(e.buf[:e.returned], "data: [DONE]")
	e.buf = append(e.buf[:0], e.buf[e.returned:]...)
	e.scanned -= e.returned
	e.returned = 0
	for {
		if end := e.lastEventEnd(); end > 0 && e.hasData(end) {
			e.returned = end
			return e.buf[:end], nil
		}
		if len(e.buf) > MaxEvent {
			return nil, ErrTooLarge
		}
		if cap(e.buf)-len(e.buf) < rawBufferSize/4 {
			e.buf = append(make([]byte, 0, max(2*cap(e.buf), rawBufferSize)), e.buf...)
		}
		n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		if err != nil && n == 0 {
			if !errors.Is(err, io.EOF) || !e.hasData(len(e.buf)) {
				return nil, err
			}
			e.returned = len(e.buf)
			return e.buf, err
		}
	}
}

// lastEventEnd returns the position after the last blank line among the new bytes, or 0.
func (e *RawEvents) lastEventEnd() int {
	from := max(e.scanned-3, 0) // a blank line may have come in parts
	e.scanned = len(e.buf)
	end := 0
	for i := len(e.buf) - 1; i > from && end == 0; i-- {
		if e.buf[i] == '\n' && (e.buf[i-1] == '\n' || i > 1 && e.buf[i-1] == '\r' && e.buf[i-2] == '\n') {
			end = i + 1
		}
	}
	return end
}

// hasData reports whether buf[:end], or an earlier event, has a data field.
func (e *RawEvents) hasData(end int) bool {
	e.sawData = e.sawData || hasField(e.buf[:end], "data:")
	return e.sawData
}

// hasField reports whether a line begins with the given text.
func hasField(lines []byte, text string) bool {
	return bytes.HasPrefix(lines, []byte(text)) || bytes.Contains(lines, []byte("\n"+text))
}

// Advanced reports whether what Next returned last is a further part of the answer: it has an event with data, and the
// event [DONE], which ends an answer, came in no earlier call.
func (e *RawEvents) Advanced() bool {
	returned := e.buf[:e.returned]
	return !e.ended && hasField(returned, "data:")
}
