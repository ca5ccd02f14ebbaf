package ws

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
	"unicode/utf8"
)

// Limits bound a connection.
type Limits struct {
	Message int           // bytes of a message
	Pending int           // bytes that may wait to be sent; four messages more, and the connection is cut
	Idle    time.Duration // without a frame: a ping; as long again: the end
	Frame   time.Duration // a frame that has begun must be whole by then
	Write   time.Duration // a write to the peer takes no longer
	Linger  time.Duration // how long the peer's answer to a close is waited for
}

// DefaultLimits suit sessions of a person's length.
func DefaultLimits() Limits {
	return Limits{Message: 1 << 20, Pending: 256 << 10, Idle: 30 * time.Second,
		Frame: 20 * time.Second, Write: 10 * time.Second, Linger: time.Second}
}

// ErrSlow tells that far more waits to be sent than may; the connection is cut.
var ErrSlow = errors.New("websocket: the peer reads too slowly")

// Conn is one connection. One goroutine may read; Send and Close are for all.
type Conn struct {
	nc     net.Conn
	br     *bufio.Reader
	client bool
	lim    Limits

	mu       sync.Mutex
	pending  []byte
	spare    []byte
	flushing bool
	closing  bool // a close frame is sent or waits: nothing may follow it
	err      error
	flushed  *sync.Cond
}

// New returns a connection on which the handshake is done.
func New(nc net.Conn, br *bufio.Reader, client bool, lim Limits) *Conn {
	c := &Conn{nc: nc, br: br, client: client, lim: lim}
	c.flushed = sync.NewCond(&c.mu)
	return c
}

// RemoteAddr is the peer's address.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Read returns the next whole message. It answers pings and closes by itself.
// Its error is a *CloseError where a close frame was sent or received.
func (c *Conn) Read() (op byte, msg []byte, err error) {
	op, msg, err = c.read()
	var ce *CloseError
	if err == nil {
		return op, msg, nil
	}
	if errors.As(err, &ce) {
		c.finish(ce)
	}
	c.Cut()
	return 0, nil, err
}

func (c *Conn) read() (byte, []byte, error) {
	var op byte
	var msg []byte
	for {
		h, err := c.nextHeader()
		if err != nil {
			return 0, nil, err
		}
		if h.control() {
			if err := c.control(h); err != nil {
				return 0, nil, err
			}
			continue
		}
		if (h.op == opCont) != (op != 0) {
			return 0, nil, fault(CloseProtocol, "fragment out of order")
		}
		if op == 0 {
			op = h.op
		}
		if h.length > uint64(c.lim.Message-len(msg)) {
			return 0, nil, fault(CloseTooBig, "message too big")
		}
		if msg, err = c.payload(h, msg); err != nil {
			return 0, nil, err
		}
		if h.fin {
			if op == OpText && !utf8.Valid(msg) {
				return 0, nil, fault(CloseBadData, "text is not UTF-8")
			}
			return op, msg, nil
		}
	}
}

// nextHeader waits for a frame. A quiet peer is pinged once; one that stays quiet is let go.
func (c *Conn) nextHeader() (header, error) {
	for pinged := false; ; pinged = true {
		c.nc.SetReadDeadline(deadline(c.lim.Idle))
		_, err := c.br.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return header{}, err
		}
		if pinged {
			return header{}, fault(CloseGoingAway, "idle")
		}
		if err := c.sendControl(opPing, nil); err != nil {
			return header{}, err
		}
	}
	c.nc.SetReadDeadline(deadline(c.lim.Frame))
	return readHeader(c.br, c.client)
}

func deadline(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// payload appends a frame's payload. The buffer grows with what arrives, not with what is announced.
func (c *Conn) payload(h header, msg []byte) ([]byte, error) {
	const step = 16 << 10
	left, offset := int(h.length), 0
	for left > 0 {
		n := min(left, step)
		at := len(msg)
		msg = append(msg, make([]byte, n)...)
		if _, err := io.ReadFull(c.br, msg[at:]); err != nil {
			return nil, err
		}
		if h.masked {
			unmask(msg[at:], h.mask, offset)
		}
		left, offset = left-n, offset+n
	}
	return msg, nil
}

func (c *Conn) control(h header) error {
	payload, err := c.payload(h, nil)
	if err != nil {
		return err
	}
	switch h.op {
	case opPing:
		return c.sendControl(opPong, payload)
	case opClose:
		return closeOf(payload)
	}
	return nil
}

// closeOf reads a close frame's payload (RFC 6455, 5.5.1).
func closeOf(p []byte) error {
	if len(p) == 0 {
		return &CloseError{Code: CloseNoStatus, Remote: true}
	}
	if len(p) == 1 {
		return fault(CloseProtocol, "close frame of one byte")
	}
	code := int(binary.BigEndian.Uint16(p))
	if !validCode(code) {
		return fault(CloseProtocol, "close code not allowed")
	}
	if !utf8.Valid(p[2:]) {
		return fault(CloseBadData, "close reason is not UTF-8")
	}
	return &CloseError{Code: code, Reason: string(p[2:]), Remote: true}
}

// finish sends the close frame that an error calls for, and lets it out before the connection is cut.
func (c *Conn) finish(ce *CloseError) {
	code := ce.Code
	if code == CloseNoStatus {
		code = CloseNormal
	}
	c.sendClose(code, ce.Reason)
	c.mu.Lock()
	for c.flushing && c.err == nil {
		c.flushed.Wait()
	}
	c.mu.Unlock()
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && !ce.Remote { // TCP and TLS
		// What the peer still sends is read for a moment: to close on unread bytes
		// would reset the connection, and the close frame might be lost.
		half.CloseWrite()
		c.nc.SetReadDeadline(deadline(c.lim.Linger))
		io.CopyN(io.Discard, c.br, 1<<20)
	}
}

// Send queues a text message; it never waits for the peer.
func (c *Conn) Send(msg []byte) error { return c.queue(OpText, msg) }

// Room waits while over half of what may wait to be sent does, so that a quick
// source goes at its reader's pace. A peer that reads nothing ends the wait with
// the time that a write may take.
func (c *Conn) Room() {
	c.mu.Lock()
	for c.err == nil && c.flushing && len(c.pending) > c.lim.Pending/2 {
		c.flushed.Wait()
	}
	c.mu.Unlock()
}

// SendBinary queues a binary message.
func (c *Conn) SendBinary(msg []byte) error { return c.queue(OpBin, msg) }

func (c *Conn) sendControl(op byte, payload []byte) error { return c.queue(op, payload) }

// Close starts the closing handshake: a close frame, and the peer's answer ends Read.
func (c *Conn) Close(code int, reason string) {
	c.sendClose(code, reason)
	// The reader waits for the answer within Linger; a peer that never answers is cut.
	time.AfterFunc(max(c.lim.Linger, time.Millisecond), c.Cut)
}

func (c *Conn) sendClose(code int, reason string) {
	p := binary.BigEndian.AppendUint16(nil, uint16(code))
	for len(reason) > maxControl-2 || !utf8.ValidString(reason) {
		reason = reason[:len(reason)-1]
	}
	c.queue(opClose, append(p, reason...))
}

// Cut ends the connection at once.
func (c *Conn) Cut() {
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.flushed.Broadcast()
	c.mu.Unlock()
	c.nc.Close()
}

func (c *Conn) queue(op byte, payload []byte) error {
	var mask *[4]byte
	if c.client {
		var m [4]byte
		binary.NativeEndian.PutUint32(m[:], rand.Uint32())
		mask = &m
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if c.closing {
		return net.ErrClosed
	}
	if len(c.pending)+len(payload) > c.lim.Pending+4*c.lim.Message {
		c.err = ErrSlow
		c.flushed.Broadcast()
		c.nc.Close() // no close frame would pass the jam
		return ErrSlow
	}
	c.closing = op == opClose
	c.pending = appendFrame(c.pending, op, payload, mask)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return nil
}

const keepBuffer = 4 << 10 // larger send buffers are not kept on idle connections

// flush writes what waits until nothing does.
func (c *Conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && c.err == nil {
		out := c.pending
		c.pending, c.spare = c.spare[:0], nil
		c.mu.Unlock()
		c.nc.SetWriteDeadline(deadline(c.lim.Write))
		_, err := c.nc.Write(out)
		c.mu.Lock()
		if cap(out) <= keepBuffer {
			c.spare = out
		}
		if err != nil && c.err == nil {
			c.err = err
			c.nc.Close()
		}
		c.flushed.Broadcast()
	}
	if cap(c.pending) > keepBuffer {
		c.pending = nil
	}
	c.flushing = false
	c.flushed.Broadcast()
}
