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

// Limits are the size limits and timeouts of a connection.
type Limits struct {
	Message int           // maximum bytes of a message
	Pending int           // bytes that may be queued for sending; beyond it by four messages, the connection is closed
	Idle    time.Duration // after this time without a frame a ping is sent; after as long again the connection is closed
	Frame   time.Duration // to receive a whole frame, from its first byte
	Write   time.Duration // to write the queued bytes
	Linger  time.Duration // to wait for the peer's close frame
}

// DefaultLimits suits interactive sessions.
func DefaultLimits() Limits {
	return Limits{Message: 1 << 20, Pending: 256 << 10, Idle: 30 * time.Second,
		Frame: 20 * time.Second, Write: 10 * time.Second, Linger: time.Second}
}

// ErrSlowPeer is returned when the send queue exceeds its limit; the connection is closed.
var ErrSlowPeer = errors.New("websocket: send queue is full: the peer reads too slowly")

// Conn is a WebSocket connection. Only one goroutine may call Read; all other methods are safe for concurrent use.
type Conn struct {
	nc     net.Conn
	br     *bufio.Reader
	client bool
	limits Limits

	mu          sync.Mutex
	pending     []byte
	spareBuf    []byte
	flushing    bool
	closeQueued bool // a close frame is sent or queued: no frame may follow it
	err         error
	flushed     *sync.Cond
}

// New returns a connection after the opening handshake. client says which side this is: clients mask their frames.
func New(nc net.Conn, br *bufio.Reader, client bool, limits Limits) *Conn {
	c := &Conn{nc: nc, br: br, client: client, limits: limits}
	c.flushed = sync.NewCond(&c.mu)
	return c
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Read returns the next message, joined from its fragments. It answers ping and close frames itself. The error is a
// *CloseError if a close frame was sent or received.
func (c *Conn) Read() (op byte, msg []byte, err error) {
	op, msg, err = c.readMessage()
	var ce *CloseError
	if err == nil {
		return op, msg, nil
	}
	if errors.As(err, &ce) {
		c.finishClose(ce)
	}
	c.Abort()
	return 0, nil, err
}

func (c *Conn) readMessage() (byte, []byte, error) {
	var op byte
	var msg []byte
	for {
		h, err := c.nextHeader()
		if err != nil {
			return 0, nil, err
		}
		if h.isControl() {
			if err := c.handleControl(h); err != nil {
				return 0, nil, err
			}
			continue
		}
		if (h.op == opContinuation) != (op != 0) {
			return 0, nil, newCloseError(CloseProtocol, "fragment out of order")
		}
		if op == 0 {
			op = h.op
		}
		if h.length > uint64(c.limits.Message-len(msg)) {
			return 0, nil, newCloseError(CloseTooBig, "message too big")
		}
		if msg, err = c.readPayload(h, msg); err != nil {
			return 0, nil, err
		}
		if h.fin {
			if op == OpText && !utf8.Valid(msg) {
				return 0, nil, newCloseError(CloseBadData, "text is not UTF-8")
			}
			return op, msg, nil
		}
	}
}

// nextHeader waits for a frame and reads its header. An idle peer is pinged once; if it stays idle, the connection is
// closed.
func (c *Conn) nextHeader() (frameHeader, error) {
	for pinged := false; ; pinged = true {
		c.nc.SetReadDeadline(deadlineIn(c.limits.Idle))
		_, err := c.br.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return frameHeader{}, err
		}
		if pinged {
			return frameHeader{}, newCloseError(CloseGoingAway, "idle")
		}
		if err := c.sendControl(opPing, nil); err != nil {
			return frameHeader{}, err
		}
	}
	c.nc.SetReadDeadline(deadlineIn(c.limits.Frame))
	return readFrameHeader(c.br, c.client)
}

func deadlineIn(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// readPayload appends a frame's payload to msg. The buffer grows with the bytes received, not with the announced length.
func (c *Conn) readPayload(h frameHeader, msg []byte) ([]byte, error) {
	const step = 16 << 10
	remaining, offset := int(h.length), 0
	for remaining > 0 {
		n := min(remaining, step)
		start := len(msg)
		msg = append(msg, make([]byte, n)...)
		if _, err := io.ReadFull(c.br, msg[start:]); err != nil {
			return nil, err
		}
		if h.masked {
			applyMask(msg[start:], h.mask, offset)
		}
		remaining, offset = remaining-n, offset+n
	}
	return msg, nil
}

func (c *Conn) handleControl(h frameHeader) error {
	payload, err := c.readPayload(h, nil)
	if err != nil {
		return err
	}
	switch h.op {
	case opPing:
		return c.sendControl(opPong, payload)
	case opClose:
		return parseClose(payload)
	}
	return nil
}

// parseClose parses the payload of a close frame (RFC 6455, section 5.5.1) and returns it as an error.
func parseClose(p []byte) error {
	if len(p) == 0 {
		return &CloseError{Code: CloseNoStatus, Remote: true}
	}
	if len(p) == 1 {
		return newCloseError(CloseProtocol, "close frame of one byte")
	}
	code := int(binary.BigEndian.Uint16(p))
	if !validCloseCode(code) {
		return newCloseError(CloseProtocol, "close code not allowed")
	}
	if !utf8.Valid(p[2:]) {
		return newCloseError(CloseBadData, "close reason is not UTF-8")
	}
	return &CloseError{Code: code, Reason: string(p[2:]), Remote: true}
}

// finishClose sends the close frame for an error, or the answer to the peer's, and waits until it is written.
func (c *Conn) finishClose(ce *CloseError) {
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
	if halfCloser, ok := c.nc.(interface{ CloseWrite() error }); ok && !ce.Remote { // implemented by TCP and TLS
		// Read on for a moment: closing with unread bytes would reset the connection, and the close frame could be lost.
		halfCloser.CloseWrite()
		c.nc.SetReadDeadline(deadlineIn(c.limits.Linger))
		io.CopyN(io.Discard, c.br, 1<<20)
	}
}

// Send queues a text message. It doesn't block on the peer.
func (c *Conn) Send(msg []byte) error { return c.enqueue(OpText, msg) }

// WaitCapacity blocks while more than half of Limits.Pending is queued, so that a fast sender is slowed to the pace of
// the peer. If the peer reads nothing, the write timeout ends the wait.
func (c *Conn) WaitCapacity() {
	c.mu.Lock()
	for c.err == nil && c.flushing && len(c.pending) > c.limits.Pending/2 {
		c.flushed.Wait()
	}
	c.mu.Unlock()
}

// SendBinary queues a binary message.
func (c *Conn) SendBinary(msg []byte) error { return c.enqueue(OpBinary, msg) }

func (c *Conn) sendControl(op byte, payload []byte) error { return c.enqueue(op, payload) }

// Close starts the closing handshake with a close frame. The peer's close frame ends Read.
func (c *Conn) Close(code int, reason string) {
	c.sendClose(code, reason)
	// If the peer does not answer within Linger, the connection is closed.
	time.AfterFunc(max(c.limits.Linger, time.Millisecond), c.Abort)
}

func (c *Conn) sendClose(code int, reason string) {
	p := binary.BigEndian.AppendUint16(nil, uint16(code))
	for len(reason) > maxControlPayload-2 || !utf8.ValidString(reason) {
		reason = reason[:len(reason)-1]
	}
	c.enqueue(opClose, append(p, reason...))
}

// Abort closes the connection at once, without a closing handshake.
func (c *Conn) Abort() {
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.flushed.Broadcast()
	c.mu.Unlock()
	c.nc.Close()
}

func (c *Conn) enqueue(op byte, payload []byte) error {
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
	if c.closeQueued {
		return net.ErrClosed
	}
	if len(c.pending)+len(payload) > c.limits.Pending+4*c.limits.Message {
		c.err = ErrSlowPeer
		c.flushed.Broadcast()
		c.nc.Close() // a close frame could not be sent either
		return ErrSlowPeer
	}
	c.closeQueued = op == opClose
	c.pending = appendFrame(c.pending, op, payload, mask)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return nil
}

const maxIdleBuffer = 4 << 10 // bytes; larger send buffers are not kept on idle connections

// flush writes queued bytes until the queue is empty.
func (c *Conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && c.err == nil {
		out := c.pending
		c.pending, c.spareBuf = c.spareBuf[:0], nil
		c.mu.Unlock()
		c.nc.SetWriteDeadline(deadlineIn(c.limits.Write))
		_, err := c.nc.Write(out)
		c.mu.Lock()
		if cap(out) <= maxIdleBuffer {
			c.spareBuf = out
		}
		if err != nil && c.err == nil {
			c.err = err
			c.nc.Close()
		}
		c.flushed.Broadcast()
	}
	if cap(c.pending) > maxIdleBuffer {
		c.pending = nil
	}
	c.flushing = false
	c.flushed.Broadcast()
}
