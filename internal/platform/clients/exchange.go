package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/connpool"
	"gannethook/internal/driver"
	"gannethook/internal/faults"
	"gannethook/internal/guard"
	"gannethook/internal/http1"
)

// Paths of the platform's protocol.
const (
	ChatPath  = "/v1/chat/completions"
	ReadyPath = "/ready"
)

// exchange is one request until its answer is written. The connection's
// goroutine waits for the final answer and for the client to leave, whichever is
// first; events are written from the attempt's goroutine as they come.
type exchange struct {
	conn      *clientConn
	req       *http1.Request
	from      time.Time
	keep      bool
	heldBytes int64 // bytes of the head and the body

	streamID uint64        // its number among the streams, once begun
	since    time.Duration // of the server's life, when it began

	mu     sync.Mutex    // never held while writing
	stream *streamWriter // of the stream, once begun
	begun  bool          // events are passed on; false for good once the final answer came before the first
	final  *driver.Answer
	done   chan struct{}

	announced atomic.Bool // its stream's head told that the connection closes

	abandon func()      // takes the request back; guarded by mu
	cut     atomic.Bool // the router ended its stream

	// Of the connection's goroutine, for the guard and the log:
	name     string // the request's id
	answered bool   // its answer went out as far as its client took it, or its stream's end was told by the close

	left atomic.Bool // its client has left
}

// serve serves the request; it tells whether another may follow.
func (x *exchange) serve() bool {
	s := x.conn.s
	defer func() { s.bodies.Give(x.heldBytes) }()
	job, bad := readJob(x.req, *s.classes.Load())
	if bad == nil {
		bad = x.count(job.Header.Size())
	}
	if bad == nil {
		job.Body, bad = x.body()
	}
	if bad != nil {
		x.conn.note(badRequest)
		x.conn.refuse(bad.status, bad.why)
		return false
	}
	x.name = job.Name
	if !x.start(job.Name) {
		return false
	}
	defer s.releaseID(job.Name)
	x.conn.requests++
	defer x.mayClose()
	if e := s.cfg.Log.Check(zap.DebugLevel, "came"); e != nil {
		e.Write(zap.String("id", job.Name), zap.Uint64("conn", x.conn.id), zap.String("session", job.SessionID), zap.String("class", job.ClassName), zap.String("tenant", job.TenantName),
			zap.Duration("give-up", job.Timeout), zap.String("retried", x.req.Header.Get("X-Retried")),
			zap.String("attrs", x.req.Header.Get("X-Attrs")), zap.Duration("read", time.Since(x.from)))
	}
	job.Timeout, job.QueuedFor, job.ClientGone = s.timeLeft(job.Timeout), time.Since(x.from), x.clientGone
	call, err := s.cfg.Submit(*job, x)
	if err != nil { // the platform's bounds: nothing has run
		x.plain("503 Service Unavailable", err.Error()+"\n")
		return x.keep
	}
	a := x.wait(call.Abandon)
	s.streamEnded(x)
	x.keep = x.keep && !x.closesBehind()
	x.answer(a)
	return x.keep
}

// closesBehind tells whether the connection closes behind the answer. Once the router is told to stop each answer that
// begins announces it; a stream that had begun before can't, and what follows it is heard until the stop's grace for
// new requests is over. What was read ahead is answered all the same.
func (x *exchange) closesBehind() bool {
	if x.stream != nil && !x.announced.Load() {
		return x.conn.closesNext()
	}
	return x.conn.s.stopping() && !x.conn.hasBuffered()
}

// start asks the guard whether the request may begin, and takes its id.
func (x *exchange) start(id string) bool {
	facts := guard.StartFacts{ClientGone: x.conn.readAhead.clientGone()}
	facts.IDOpen = !facts.ClientGone && !x.conn.s.reserveID(id)
	why := guard.MayStart(facts)
	if x.conn.s.cfg.Guard.Check(guard.Start, why, id) {
		return true
	}
	if why == guard.ClientGone { // while its request was read: no answer is owed, and nothing may begin, nor keep its id from another
		x.conn.clientGone = true
		x.conn.note(byClientWaiting)
		return false
	}
	x.conn.note(badRequest)
	x.conn.refuse("409 Conflict", "a request with this id is open")
	return false
}

// plain writes an answer without a stream.
func (x *exchange) plain(status, text string, more ...http1.Field) {
	x.answered = true
	if x.conn.writePlain(status, text, x.keep, more...) != nil {
		x.keep = false
		x.conn.note(writeFailed)
	}
	if !x.keep {
		x.conn.note(asAsked)
	}
}

// count counts what is kept of the request's head in the bound on all bodies.
func (x *exchange) count(size int64) *requestError {
	if !x.conn.s.bodies.Take(size, x.conn.s.limits.Load().Bodies) {
		return &requestError{"503 Service Unavailable", http1.ErrCrowded.Error()}
	}
	x.heldBytes += size
	return nil
}

// body reads the request's body.
func (x *exchange) body() ([]byte, *requestError) {
	lim := x.conn.s.limits.Load()
	b, err := http1.RequestBody(x.conn.br, x.req.Header)
	if err != nil {
		return nil, &requestError{"400 Bad Request", err.Error()}
	}
	if b.Length() > lim.Body {
		return nil, &requestError{"413 Content Too Large", "the body is too large"}
	}
	if expect := x.req.Header.Get("Expect"); expect != "" {
		if !strings.EqualFold(expect, "100-continue") {
			return nil, &requestError{"417 Expectation Failed", "only 100-continue is known"}
		}
		io.WriteString(x.conn.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	text, held, err := b.ReadWhole(lim.Body, lim.Bodies, &x.conn.s.bodies)
	x.heldBytes += held
	switch {
	case err == nil && !validJSON(text):
		return nil, &requestError{"400 Bad Request", "the body is not a JSON object"}
	case err == nil:
		return text, nil
	case errors.Is(err, http1.ErrBodyTooLarge):
		return nil, &requestError{"413 Content Too Large", "the body is too large"}
	case errors.Is(err, http1.ErrCrowded):
		return nil, &requestError{"503 Service Unavailable", err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &requestError{"408 Request Timeout", "the body did not come in time"}
	}
	return nil, &requestError{"400 Bad Request", "body: " + err.Error()}
}

// wait waits for the final answer. A client that leaves meanwhile takes its
// request back. What it sends ahead is kept for its turn.
func (x *exchange) wait(abandon func()) driver.Answer {
	x.mu.Lock()
	x.abandon = abandon
	if x.final == nil {
		x.conn.nc.SetReadDeadline(time.Time{})
	}
	x.mu.Unlock()
	if err := x.conn.readAhead.watch(); !errors.Is(err, os.ErrDeadlineExceeded) && !faults.Broken(faults.BreakGone) {
		x.keep = false
		if !errors.Is(err, net.ErrClosed) { // else this router closed it
			x.left.Store(true)
			x.conn.note(byClientWaiting)
		}
		abandon()
	}
	<-x.done
	return *x.final
}

// clientGone tells whether the client has left, at the instant at which an attempt is
// about to begin: the connection's goroutine may not have run since.
func (x *exchange) clientGone() bool {
	if faults.Broken(faults.BreakGone) || !connpool.PeerClosed(x.conn.nc) {
		return false
	}
	x.left.Store(true)
	x.mu.Lock()
	abandon := x.abandon
	x.mu.Unlock()
	if abandon != nil { // else the connection's goroutine is about to see it
		abandon()
	}
	return true
}

// Token passes a chunk of events on.
func (x *exchange) Token(text []byte) bool {
	x.mu.Lock()
	first, late := !x.begun, x.final != nil
	x.begun = x.begun || !late
	x.mu.Unlock()
	if late {
		return false
	}
	if first {
		s := x.conn.s
		s.streamStarted(x)
		x.stream = newStreamWriter(x.conn.nc, s.limits.Load, &s.bodies, s.wg.Go)
		x.stream.frame = append(x.stream.frame, streamHead...)
		if s.stopping() {
			x.announced.Store(true)
			x.stream.frame = append(x.stream.frame, closeField...)
		}
		x.stream.frame = append(x.stream.frame, "\r\n"...)
		x.stream.frame = http1.AppendChunk(x.stream.frame, text)
		return x.stream.write(x.stream.frame) == nil
	}
	return x.stream.chunk(text) == nil
}

// brokenStreamGrace is how long a client may take what was passed on of a stream that
// broke, before its connection ends.
const brokenStreamGrace = 2 * time.Second

// The head of a stream, and the field of one behind which the connection closes.
const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	closeField = "Connection: close\r\n"
)

// cutStream ends a stream before its end: its client is told at once, so that it may
// go on elsewhere.
func (x *exchange) cutStream() {
	x.cut.Store(true)
	if out, ok := x.conn.nc.(interface{ CloseWrite() error }); ok {
		out.CloseWrite()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandon != nil { // else the next event finds nobody
		go x.abandon() // not here: it waits for the driver, which may be about to tell of a stream
	}
}

// Final takes the final answer and wakes the connection's goroutine.
func (x *exchange) Final(a driver.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.final = &a
	close(x.done)
	x.conn.nc.SetReadDeadline(expired)
}

// answer writes what is left to say. A stream that is not whole ends with its
// connection, without the last chunk.
func (x *exchange) answer(a driver.Answer) {
	if faults.Broken(faults.BreakAnswer) && x.conn.id%10 == 0 {
		x.keep = false
		return
	}
	switch {
	case a.Outcome == driver.Served && x.begun:
		x.answered = true
		if x.stream.chunk(nil) != nil || x.stream.drain(time.Time{}) != nil {
			x.keep = false
			x.conn.note(writeFailed)
		}
	case x.begun && a.Outcome == driver.Failed: // what came before it broke is still its client's
		x.keep, x.answered = false, true
		x.conn.note(streamBroken)
		x.stream.drain(time.Now().Add(brokenStreamGrace))
	case x.begun: // taken back by its client, or ended by the router for its client to go on elsewhere
		x.keep, x.answered = false, x.left.Load() || x.cut.Load()
		x.conn.note(streamBroken)
	case a.Outcome == driver.Cancelled:
		x.keep = false
	case a.Outcome == driver.Refused:
		var more []http1.Field
		if a.RetryAfter > 0 {
			more = append(more, http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)})
		}
		x.plain("503 Service Unavailable", "refused: nothing was done\n", more...)
	default:
		x.plain("500 Internal Server Error", "failed\n")
	}
	if !x.keep {
		x.conn.note(asAsked)
	}
}
