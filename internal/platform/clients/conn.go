package clients

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/connpool"
	"gannethook/internal/http1"
)

// clientConn is a client's connection, served by one goroutine.
type clientConn struct {
	s                  *Server
	nc                 net.Conn
	id                 uint64 // number in the log
	acceptedAt         time.Time
	requests           int         // read whole on it
	pipelined          bool        // the current request was buffered before its turn
	closeReason        closeReason // once it is to close
	br                 *bufio.Reader
	bw                 *bufio.Writer
	readAhead          *readAhead
	clientDisconnected bool          // before its request began: nothing more is written
	shutDown           bool          // the write side is closed
	idleElement        *list.Element // in Server.idle; nil: not idle. Guarded by the server's lock
	evicted            bool          // closed to make room for another; guarded by the server's lock
	countsAsRefusal    bool          // evicted, and counted in Server.refusalsInFlight
}

func (c *clientConn) initBuffers(size int) {
	c.readAhead = &readAhead{nc: c.nc, throttle: c.s.throttle, budget: &c.s.bodies, limit: c.s.limits.Load().readAheadBytes(),
		arrivals: arrivalLog{drainedAt: c.acceptedAt}}
	c.br, c.bw = bufio.NewReaderSize(c.readAhead, size), bufio.NewWriterSize(connpool.Writer{Conn: c.nc}, size)
}

// shutdown ends a connection gracefully: it closes the write side, then reads and
// discards what still arrives, for up to Limits.Shutdown. A client whose request
// crosses the close sees an orderly end and sends it again. Closing with unread data
// would reset the connection and lose what the client has not read yet.
func (c *clientConn) shutdown() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || c.clientDisconnected || c.shutDown || c.s.closedAll.Load() || half.CloseWrite() != nil {
		return
	}
	c.shutDown = true
	c.nc.SetReadDeadline(time.Now().Add(c.s.limits.Load().Shutdown))
	c.readAhead.discard(shutdownDrainBytes)
}

// serve reads requests until the connection ends.
func (c *clientConn) serve() {
	c.initBuffers(2048)
	c.limitIdle(c.s.limits.Load().Head)
	for c.awaitRequest() && c.serveNext() {
		c.s.markIdle(c, !c.hasBuffered())
		c.limitIdle(c.s.limits.Load().Idle)
	}
}

// limitIdle sets the time within which the next request has to begin. CloseIdle or an
// eviction may have ended that time before: their deadline stands.
func (c *clientConn) limitIdle(limit time.Duration) {
	c.nc.SetReadDeadline(time.Now().Add(limit))
	if c.s.closing.Load() || c.s.isEvicted(c) {
		c.nc.SetReadDeadline(pastDeadline)
	}
}

// lastByteGrace is how long an idle connection is still read once the router stops.
const lastByteGrace = 50 * time.Millisecond

// awaitRequest waits for the first byte of a request. The byte is read only once the
// connection is no longer marked idle: read earlier, it would be invisible to evictIdle,
// which would then close the connection and lose the request.
func (c *clientConn) awaitRequest() bool {
	c.pipelined = c.hasBuffered()
	c.readAhead.beginRequest()
	err := c.awaitReadable()
	stopping := c.s.closing.Load()
	if err != nil && stopping {
		c.nc.SetReadDeadline(time.Now().Add(lastByteGrace))
		err = c.awaitReadable()
	}
	switch {
	case !c.s.markIdle(c, false) && c.requests == 0:
		c.setCloseReason(closedEvictedNew)
		return false
	case c.evicted:
		c.setCloseReason(closedEvicted)
		return false
	case err != nil && stopping:
		c.setCloseReason(closedOnStop)
		return false
	case err != nil:
		c.setCloseReason(closedIdle)
		return false
	}
	if _, err = c.br.Peek(1); err != nil {
		c.setCloseReason(closedByClient)
	}
	return err == nil
}

// hasBuffered reports whether pipelined data is buffered.
func (c *clientConn) hasBuffered() bool { return c.br.Buffered() > 0 || len(c.readAhead.buffered) > 0 }

// closesNext reports whether the connection closes after the current request: the router
// is stopping and no pipelined data was read, which would be lost.
func (c *clientConn) closesNext() bool { return c.s.closing.Load() && !c.hasBuffered() }

func (c *clientConn) awaitReadable() error {
	if c.hasBuffered() {
		return nil
	}
	return c.readAhead.awaitReadable()
}

// maxPipelinedCharge is what a pipelined request is charged with at most, since most of its time is spent waiting.
const maxPipelinedCharge = 200 * time.Microsecond

// serveNext serves one request and reports whether another may follow. A request that was
// buffered before its turn is charged to the throttle: a client that pipelines without
// end would keep the processor busy.
func (c *clientConn) serveNext() bool {
	pipelined, startedAt := c.pipelined, time.Now()
	more := c.serveOne()
	if pipelined {
		c.s.throttle.charge(min(time.Since(startedAt), maxPipelinedCharge))
	}
	return more
}

// tooMuchPipelined is why a request is refused of which a part was discarded.
const tooMuchPipelined = "too much was sent behind an open request"

// serveOne serves one request and reports whether another may follow.
func (c *clientConn) serveOne() bool {
	startedAt := time.Now()
	c.nc.SetReadDeadline(startedAt.Add(c.s.limits.Load().Head))
	req, err := http1.ReadRequest(c.br)
	c.readAhead.endWork()
	if err != nil {
		c.setCloseReason(closedBadRequest)
	}
	if err != nil && c.readAhead.droppedBytes > 0 {
		c.refuse("503 Service Unavailable", tooMuchPipelined)
		return false
	}
	if err != nil {
		c.refuseHead(err)
		return false
	}
	if req.Method == "GET" && path(req.Target) == ReadyPath {
		return c.ready(req)
	}
	x := &exchange{conn: c, req: req, startedAt: startedAt, done: make(chan struct{}),
		keepAlive: req.Minor == 1 && !req.Header.Has("Connection", "close")}
	return x.serve()
}

// ready answers a readiness check of the load balancer.
func (c *clientConn) ready(req *http1.Request) bool {
	status, keepAlive := "200 OK", req.Minor == 1 && !req.Header.Has("Connection", "close")
	if c.s.stopping() || !c.s.cfg.Ready() {
		status = "503 Service Unavailable"
	}
	if b, err := http1.RequestBody(c.br, req.Header); err != nil || b.Length() > 0 || b.Chunked() {
		c.setCloseReason(closedBadRequest)
		c.refuse("400 Bad Request", "a body has no place here")
		return false
	}
	if e := c.s.cfg.Log.Check(zap.DebugLevel, "readiness check"); e != nil {
		e.Write(zap.String("answer", status))
	}
	c.writePlain(status, "", keepAlive)
	if !keepAlive {
		c.setCloseReason(closedAsRequested)
	}
	return keepAlive
}

func (c *clientConn) refuseHead(err error) {
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		c.refuse("431 Request Header Fields Too Large", err.Error())
	case errors.Is(err, http1.ErrMalformed):
		c.refuse("400 Bad Request", err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse("408 Request Timeout", "the head did not come in time")
	}
}

// writePlain writes a response that is not a stream. An error means that the client did
// not accept it.
func (c *clientConn) writePlain(status, text string, keepAlive bool, extra ...http1.Field) error {
	c.nc.SetWriteDeadline(time.Now().Add(c.s.limits.Load().Write))
	h := append(http1.Header{{Name: "Content-Length", Value: strconv.Itoa(len(text))}}, extra...)
	if !keepAlive {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	http1.WriteHead(c.bw, "HTTP/1.1 "+status, h)
	c.bw.WriteString(text)
	return c.bw.Flush()
}

// refuse writes an error as the connection's last response, and shuts the connection down.
func (c *clientConn) refuse(status, reason string) {
	c.writePlain(status, reason+"\n", false)
	c.shutdown()
}

const shutdownDrainBytes = 512 << 10 // bytes read and discarded after the last response
