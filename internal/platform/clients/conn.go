package clients

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/connpool"
	"gannethook/internal/http1"
)

// clientConn is a client's connection. One goroutine has it.
type clientConn struct {
	s           *Server
	nc          net.Conn
	id          uint64 // in the log
	since       time.Time
	requests    int         // read whole on it
	why         closeReason // once it is about to close
	br          *bufio.Reader
	bw          *bufio.Writer
	readAhead   *readAhead
	clientGone  bool // its client has left
	shutDown    bool
	idleElement *list.Element // among the idle; the server's lock guards it
	evicted     bool          // the same
	rejected    bool          // evicted, and counted among those that are refused
}

func (l *clientConn) initBuffers(size int) {
	l.readAhead = &readAhead{nc: l.nc, budget: &l.s.bodies, limit: l.s.limits.Load().Bodies}
	l.br, l.bw = bufio.NewReaderSize(l.readAhead, size), bufio.NewWriterSize(connpool.Writer{Conn: l.nc}, size)
}

// shutdown ends a connection in order: its end is told, and what still comes is read
// for a while and not served. A request that was written at that very moment has
// then met a connection that had ended, and its client sends it anew; and to
// close on unread bytes would reset the connection, and lose what the client has
// not read yet.
func (l *clientConn) shutdown() {
	out, ok := l.nc.(interface{ CloseWrite() error })
	if !ok || l.clientGone || l.shutDown || l.s.closedAll.Load() || out.CloseWrite() != nil {
		return
	}
	l.shutDown = true
	l.nc.SetReadDeadline(time.Now().Add(l.s.limits.Load().Shutdown))
	io.CopyN(io.Discard, l.nc, maxShutdownBytes)
}

// serve reads requests until the connection ends.
func (l *clientConn) serve() {
	l.initBuffers(2048)
	l.nc.SetReadDeadline(time.Now().Add(l.s.limits.Load().Head))
	if l.s.closing.Load() { // taken as the router turned away: CloseIdle may have come before the deadline above
		l.nc.SetReadDeadline(expired)
	}
	for l.awaitRequest() && l.serveOne() {
		l.s.markIdle(l, !l.hasBuffered())
		l.nc.SetReadDeadline(time.Now().Add(l.s.limits.Load().Idle))
		if l.s.closing.Load() {
			l.nc.SetReadDeadline(expired)
		}
	}
}

// lastByteGrace is how long an unused connection is still heard once the router stops.
const lastByteGrace = 50 * time.Millisecond

// awaitRequest waits for the first byte of a request. The byte is taken only once the
// connection counts as used: read before, it would be seen by nobody who looks for
// an idle connection to close, and its request would be lost with it.
func (l *clientConn) awaitRequest() bool {
	err := l.awaitReadable()
	stopping := l.s.closing.Load()
	if err != nil && stopping {
		l.nc.SetReadDeadline(time.Now().Add(lastByteGrace))
		err = l.awaitReadable()
	}
	switch {
	case !l.s.markIdle(l, false) && l.requests == 0:
		l.note(forRoomNew)
		return false
	case l.evicted:
		l.note(forRoom)
		return false
	case err != nil && stopping:
		l.note(onStop)
		return false
	case err != nil:
		l.note(onIdle)
		return false
	}
	if _, err = l.br.Peek(1); err != nil {
		l.note(byClient)
	}
	return err == nil
}

// hasBuffered tells whether something that came ahead waits for its turn.
func (l *clientConn) hasBuffered() bool { return l.br.Buffered() > 0 || len(l.readAhead.buffered) > 0 }

// closesNext tells whether no further request is taken: the router stops, and none
// was read ahead, which would then be lost.
func (l *clientConn) closesNext() bool { return l.s.closing.Load() && !l.hasBuffered() }

func (l *clientConn) awaitReadable() error {
	if l.hasBuffered() {
		return nil
	}
	return connpool.AwaitReadable(l.nc)
}

// serveOne serves one request; it tells whether another may follow.
func (l *clientConn) serveOne() bool {
	from := time.Now()
	l.nc.SetReadDeadline(from.Add(l.s.limits.Load().Head))
	req, err := http1.ReadRequest(l.br)
	if err != nil {
		l.note(badRequest)
	}
	if err != nil && l.readAhead.dropped > 0 {
		l.refuse("503 Service Unavailable", "too much was sent behind an open request")
		return false
	}
	if err != nil {
		l.refuseHead(err)
		return false
	}
	if req.Method == "GET" && path(req.Target) == ReadyPath {
		return l.ready(req)
	}
	x := &exchange{conn: l, req: req, from: from, done: make(chan struct{}),
		keep: req.Minor == 1 && !req.Header.Has("Connection", "close")}
	return x.serve()
}

// ready answers the front.
func (l *clientConn) ready(req *http1.Request) bool {
	status, keep := "200 OK", req.Minor == 1 && !req.Header.Has("Connection", "close")
	if l.s.stopping() || !l.s.cfg.Ready() {
		status = "503 Service Unavailable"
	}
	if b, err := http1.RequestBody(l.br, req.Header); err != nil || b.Length() > 0 || b.Chunked() {
		l.note(badRequest)
		l.refuse("400 Bad Request", "a body has no place here")
		return false
	}
	if e := l.s.cfg.Log.Check(zap.DebugLevel, "asked whether it is ready"); e != nil {
		e.Write(zap.String("answer", status))
	}
	l.writePlain(status, "", keep)
	if !keep {
		l.note(asAsked)
	}
	return keep
}

func (l *clientConn) refuseHead(err error) {
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		l.refuse("431 Request Header Fields Too Large", err.Error())
	case errors.Is(err, http1.ErrMalformed):
		l.refuse("400 Bad Request", err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.refuse("408 Request Timeout", "the head did not come in time")
	}
}

// writePlain writes an answer without a stream. An error tells that its client
// does not take it.
func (l *clientConn) writePlain(status, text string, keep bool, more ...http1.Field) error {
	l.nc.SetWriteDeadline(time.Now().Add(l.s.limits.Load().Write))
	h := append(http1.Header{{Name: "Content-Length", Value: strconv.Itoa(len(text))}}, more...)
	if !keep {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	http1.WriteHead(l.bw, "HTTP/1.1 "+status, h)
	l.bw.WriteString(text)
	return l.bw.Flush()
}

// refuse writes an error, the connection's last answer, and shuts it down.
func (l *clientConn) refuse(status, why string) {
	l.writePlain(status, why+"\n", false)
	l.shutdown()
}

const maxShutdownBytes = 512 << 10 // bytes heard after the last answer
