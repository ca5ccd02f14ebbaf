package clients

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"gannethook/internal/connpool"
	"gannethook/internal/http1"
)

// readAhead reads a connection ahead of its user: data that a client pipelines after an
// open request is buffered in bounded memory, so that a disconnect after it is detected.
// It is used by one goroutine at a time.
type readAhead struct {
	nc           net.Conn
	throttle     *workThrottle
	slot         *workSlot // held while costly data of a request is parsed; nil: none
	requestBytes int       // read since the current request began
	budget       *http1.Budget
	limit        int64  // bytes allowed in the whole budget
	buffered     []byte // read ahead
	heldBytes    int64  // counted in the budget
	arrivals     arrivalLog
	droppedBytes int // read and discarded for lack of memory: nothing after them may be used
	smallBuf     [256]byte
}

const (
	maxReadAheadBytes = 1 << 20  // buffered for one connection
	unthrottledBytes  = 32 << 10 // bytes of a request that are parsed without the throttle
)

// largeBuffers are for reading available data; a connection that waits for data uses its smallBuf.
var largeBuffers = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// Read returns buffered data first, then reads the connection. What a request has beyond
// unthrottledBytes is parsed under the throttle: it may be costly for its size, as
// many small chunks are.
func (a *readAhead) Read(p []byte) (int, error) {
	a.endWork()
	n, err := a.next(p)
	a.requestBytes += n
	if n > 0 && a.requestBytes > unthrottledBytes {
		a.slot = a.throttle.acquire()
	}
	return n, err
}

// beginRequest starts counting the bytes of a request.
func (a *readAhead) beginRequest() { a.requestBytes = 0 }

// endWork returns the throttle's slot, if it is held. It must be called once a request
// has been parsed.
func (a *readAhead) endWork() {
	if a.slot != nil {
		a.slot.release()
		a.slot = nil
	}
}

func (a *readAhead) next(p []byte) (int, error) {
	if len(a.buffered) > 0 {
		n := copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		if len(a.buffered) == 0 {
			a.budget.Release(a.heldBytes)
			a.buffered, a.heldBytes = nil, 0
		}
		return n, nil
	}
	if a.droppedBytes > 0 {
		return 0, io.EOF
	}
	n, at, err := a.receive(p)
	if n > 0 {
		a.arrivals.record(n, at)
	}
	return n, err
}

// receive reads the connection, and returns when the data arrived: as it was read, if the
// read waited for it; otherwise at any time since the connection was last seen drained.
func (a *readAhead) receive(p []byte) (int, arrival, error) {
	drained := a.isDrained()
	n, err := a.nc.Read(p)
	now := time.Now()
	at := arrival{earliest: now, latest: now}
	if !drained {
		at.earliest = a.arrivals.drainedAt
	}
	if drained || n > 0 && n < len(p) {
		a.arrivals.drainedAt = now
	}
	return n, at, err
}

// isDrained reports whether the connection has no unread data, or had none a moment ago.
func (a *readAhead) isDrained() bool {
	return time.Since(a.arrivals.drainedAt) <= arrivalResolution || connpool.Look(a.nc) == connpool.Quiet
}

// awaitReadable waits until data or the client's close can be read.
func (a *readAhead) awaitReadable() error {
	drained := a.isDrained()
	err := connpool.AwaitReadable(a.nc)
	if drained {
		a.arrivals.drainedAt = time.Now()
	}
	return err
}

// requestArrival returns when a request arrived whose last byte has just been read from
// a reader that has unread bytes left in its buffer.
func (a *readAhead) requestArrival(unread int) arrival {
	return a.arrivals.take(a.arrivals.received - int64(len(a.buffered)) - int64(unread))
}

// watch reads until the client disconnects (io.EOF or another connection error) or the
// read deadline passes. It keeps reading from a client that sends on and on: a disconnect
// arrives only after all data before it, for which the receive buffer may lack room.
func (a *readAhead) watch() error {
	for {
		if err := a.readOnce(a.smallBuf[:]); err != nil {
			return err
		}
		if err := a.readAvailable(); err != nil {
			return err
		}
	}
}

// clientDisconnected reports whether the client has disconnected, after any pipelined data.
func (a *readAhead) clientDisconnected() bool {
	err := a.readAvailable()
	return err != nil && !isTimeout(err)
}

// readAvailable reads the data available without waiting; io.EOF means that the client has disconnected.
func (a *readAhead) readAvailable() error {
	for {
		switch connpool.Look(a.nc) {
		case connpool.Quiet:
			return nil
		case connpool.PeerClosing:
			return io.EOF
		}
		if err := a.readPart(); err != nil {
			return err
		}
	}
}

// readPart reads available data once, into a large buffer.
func (a *readAhead) readPart() error {
	if a.droppedBytes > 0 {
		return a.discardPart()
	}
	part := largeBuffers.Get().(*[16 << 10]byte)
	defer largeBuffers.Put(part)
	return a.readOnce(part[:])
}

// discardPart reads and discards available data once. It returns io.EOF as soon as the
// client's disconnect has arrived, whatever data is before it.
func (a *readAhead) discardPart() error {
	if connpool.PeerClosed(a.nc) {
		return io.EOF
	}
	slot := a.throttle.acquire()
	defer slot.release()
	return a.readOnce(slot.discardBuffer())
}

// discard reads and discards up to limit bytes, until the client closes the connection or
// the read deadline passes.
func (a *readAhead) discard(limit int) {
	part := largeBuffers.Get().(*[16 << 10]byte)
	defer largeBuffers.Put(part)
	for limit > 0 {
		n, err := a.nc.Read(part[:]) // waits for data
		limit -= n
		for err == nil && limit > 0 && connpool.Look(a.nc) == connpool.Readable {
			n, err = a.discardOnce()
			limit -= n
		}
		if err != nil {
			return
		}
	}
}

// discardOnce reads and discards available data once, under the throttle.
func (a *readAhead) discardOnce() (int, error) {
	slot := a.throttle.acquire()
	defer slot.release()
	return a.nc.Read(slot.discardBuffer())
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// readOnce reads once and buffers the data, or discards it if the buffer or the budget is full.
func (a *readAhead) readOnce(part []byte) error {
	n, at, err := a.receive(part)
	switch {
	case n == 0:
	case a.droppedBytes > 0 || len(a.buffered)+n > maxReadAheadBytes || !a.budget.Reserve(int64(n), a.limit):
		a.droppedBytes += n
	default:
		a.heldBytes += int64(n)
		a.buffered = append(a.buffered, part[:n]...)
		a.arrivals.record(n, at)
	}
	return err
}
