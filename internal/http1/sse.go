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
