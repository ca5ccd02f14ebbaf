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

// exchange is one request until its response is written. The connection's goroutine
// waits for the final answer or for the client to disconnect, whichever comes first;
// events are written by the attempt's goroutine as they arrive.
type exchange struct {
	conn      *clientConn
	req       *http1.Request
	startedAt time.Time // when the router began to read it
	arrival   arrival   // of its last byte
	keepAlive bool      // another request may follow on the connection
	heldBytes int64     // bytes of head and body counted in Server.bodies

	streamID        uint64        // number in Server.streams, once streaming
	streamStartedAt time.Duration // after Server.startedAt

	mu        sync.Mutex    // never held while writing
	stream    *streamWriter // once streaming
	streaming bool          // events are passed on; stays false if the final answer came before the first event
	final     *driver.Answer
	done      chan struct{} // closed once final is set

	closeAnnounced atomic.Bool // the stream's head said that the connection closes

	abandon     func()      // cancels the request; guarded by mu
	cutByRouter atomic.Bool // the router ended the stream

	// Used by the connection's goroutine, for the guard and the log:
	id       string // of the request
	answered bool   // the response was written as far as the client accepted it, or closing the connection ended its stream

	clientDisconnected atomic.Bool
}

// serve serves the request and reports whether another may follow on the connection.
func (x *exchange) serve() bool {
	s := x.conn.s
	defer func() { s.bodies.Release(x.heldBytes) }()
	job, bad := parseJob(x.req, *s.classes.Load())
	if bad == nil {
		bad = x.reserveHead(job.Header.Size())
	}
	if bad == nil {
		job.Body, bad = x.body()
	}
	if bad != nil {
		x.conn.setCloseReason(closedBadRequest)
		x.conn.refuse(bad.status, bad.reason)
		return false
	}
	x.id = job.Name
	x.arrival = x.conn.readAhead.requestArrival(x.conn.br.Buffered())
	if !x.start(job) {
		return x.keepAlive
	}
	defer s.releaseID(job.Name)
	x.conn.requests++
	defer x.checkClose()
	if e := s.cfg.Log.Check(zap.DebugLevel, "came"); e != nil {
		e.Write(zap.String("id", job.Name), zap.Uint64("conn", x.conn.id), zap.String("session", job.SessionID), zap.String("class", job.ClassName), zap.String("tenant", job.TenantName),
			zap.Duration("give-up", job.Timeout), zap.String("retried", x.req.Header.Get("X-Retried")),
			zap.String("attrs", x.req.Header.Get("X-Attrs")), zap.Duration("read", time.Since(x.startedAt)),
			zap.Duration("since arrival", time.Since(x.arrival.earliest)))
	}
	// Its time runs from its arrival, also while it waits behind the connection's previous requests.
	job.ArrivedAt, job.ClientGone = x.arrival.earliest, x.checkDisconnected
	job.Timeout = s.capTimeout(job.ArrivedAt, job.Timeout)
	call, err := s.cfg.Submit(*job, x)
	if err != nil { // over the driver's limits: nothing has run
		x.writePlain("503 Service Unavailable", err.Error()+"\n")
		return x.keepAlive
	}
	a := x.wait(call.Cancel)
	s.streamEnded(x)
	x.keepAlive = x.keepAlive && !x.closesAfterResponse()
	x.answer(a)
	return x.keepAlive
}

// closesAfterResponse reports whether the connection closes after the response. While the router is stopping, each response
// that begins announces the close. A stream that had begun before could not: its connection stays open for requests until
// the grace for new requests is over. Pipelined requests that were read are always answered.
func (x *exchange) closesAfterResponse() bool {
	if x.stream != nil && !x.closeAnnounced.Load() {
		return x.conn.closesNext()
	}
	return x.conn.s.stopping() && !x.conn.hasBuffered()
}

// start asks the guard whether the request may begin, and reserves its id. If it may not, it is answered.
func (x *exchange) start(job *driver.Job) bool {
	facts := guard.StartFacts{ClientGone: x.conn.readAhead.clientDisconnected()}
	facts.LateInStop = !facts.ClientGone && !x.conn.s.acceptsWhileStopping(x.arrival.latest)
	facts.IDOpen = !facts.ClientGone && !facts.LateInStop && !x.conn.s.reserveID(job.Name)
	reason := guard.MayStart(facts)
	if x.conn.s.cfg.Guard.Check(guard.Start, reason, job.Name) {
		return true
	}
	switch reason {
	case guard.ClientGone: // while its request was read: it needs no response, and must neither begin nor reserve its id
		x.keepAlive, x.conn.clientDisconnected = false, true
		x.conn.setCloseReason(closedWhileWaiting)
	case guard.LateInStop:
		x.conn.requests++
		x.keepAlive = x.keepAlive && !x.closesAfterResponse()
		x.writePlain("503 Service Unavailable", "the router stops: nothing was done\n")
	default:
		x.keepAlive = false
		x.conn.setCloseReason(closedBadRequest)
		x.conn.refuse("409 Conflict", "a request with this id is open")
	}
	return false
}

// writePlain writes a response that is not a stream.
func (x *exchange) writePlain(status, text string, extra ...http1.Field) {
	x.answered = true
	if x.conn.writePlain(status, text, x.keepAlive, extra...) != nil {
		x.keepAlive = false
		x.conn.setCloseReason(closedWriteFailed)
	}
	if !x.keepAlive {
		x.conn.setCloseReason(closedAsRequested)
	}
}

// reserveHead counts the memory of the request's head in the limit on all bodies.
func (x *exchange) reserveHead(size int64) *requestError {
	if !x.conn.s.bodies.Reserve(size, x.conn.s.limits.Load().Bodies) {
		return &requestError{"503 Service Unavailable", http1.ErrBudgetExceeded.Error()}
	}
	x.heldBytes += size
	return nil
}

// body reads and checks the request's body.
func (x *exchange) body() ([]byte, *requestError) {
	limits := x.conn.s.limits.Load()
	b, err := http1.RequestBody(x.conn.br, x.req.Header)
	if err != nil {
		return nil, &requestError{"400 Bad Request", err.Error()}
	}
	if b.Length() > limits.Body {
		return nil, &requestError{"413 Content Too Large", "the body is too large"}
	}
	if expect := x.req.Header.Get("Expect"); expect != "" {
		if !strings.EqualFold(expect, "100-continue") {
			return nil, &requestError{"417 Expectation Failed", "only 100-continue is known"}
		}
		io.WriteString(x.conn.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	defer x.conn.readAhead.endWork()
	text, held, err := b.ReadAll(limits.Body, limits.Bodies, &x.conn.s.bodies)
	x.heldBytes += held
	switch {
	case err == nil && !validJSON(text):
		return nil, &requestError{"400 Bad Request", "the body is not a JSON object"}
	case err == nil:
		return text, nil
	case errors.Is(err, http1.ErrBodyTooLarge):
		return nil, &requestError{"413 Content Too Large", "the body is too large"}
	case errors.Is(err, http1.ErrBudgetExceeded):
		return nil, &requestError{"503 Service Unavailable", err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &requestError{"408 Request Timeout", "the body did not come in time"}
	case x.conn.readAhead.droppedBytes > 0:
		return nil, &requestError{"503 Service Unavailable", tooMuchPipelined}
	}
	return nil, &requestError{"400 Bad Request", "body: " + err.Error()}
}

// wait waits for the final answer. If the client disconnects meanwhile, the request is
// cancelled. Pipelined data is buffered.
func (x *exchange) wait(abandon func()) driver.Answer {
	x.mu.Lock()
	x.abandon = abandon
	if x.final == nil {
		x.conn.nc.SetReadDeadline(time.Time{})
	}
	x.mu.Unlock()
	if err := x.conn.readAhead.watch(); !errors.Is(err, os.ErrDeadlineExceeded) && !faults.GuardDisabled(faults.BreakGone) {
		x.keepAlive = false
		if !errors.Is(err, net.ErrClosed) { // else this router closed it
			x.clientDisconnected.Store(true)
			x.conn.setCloseReason(closedWhileWaiting)
		}
		abandon()
	}
	<-x.done
	return *x.final
}

// checkDisconnected reports whether the client has disconnected, just before an attempt begins:
// the connection's goroutine may not have run since.
func (x *exchange) checkDisconnected() bool {
	if faults.GuardDisabled(faults.BreakGone) || !connpool.PeerClosed(x.conn.nc) {
		return false
	}
	x.clientDisconnected.Store(true)
	x.mu.Lock()
	abandon := x.abandon
	x.mu.Unlock()
	if abandon != nil { // else wait is about to see it
		abandon()
	}
	return true
}

// Token implements driver.Sink: it passes events on as one chunk, and returns false if the client gets no more.
func (x *exchange) Token(text []byte) bool {
	x.mu.Lock()
	first, late := !x.streaming, x.final != nil
	x.streaming = x.streaming || !late
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
			x.closeAnnounced.Store(true)
			x.stream.frame = append(x.stream.frame, closeField...)
		}
		x.stream.frame = append(x.stream.frame, "\r\n"...)
		x.stream.frame = http1.AppendChunk(x.stream.frame, text)
		return x.stream.write(x.stream.frame) == nil
	}
	return x.stream.chunk(text) == nil
}

// brokenStreamGrace is how long a client has to read the events that precede a stream's
// break, before its connection closes.
const brokenStreamGrace = 2 * time.Second

// The head of a stream's response, and the field that announces that the connection closes after it.
const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	closeField = "Connection: close\r\n"
)

// cutStream ends an incomplete stream and closes the write side, so that the client can
// resume it at another router at once.
func (x *exchange) cutStream() {
	x.cutByRouter.Store(true)
	if half, ok := x.conn.nc.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandon != nil { // else the next write fails and cancels the attempt
		go x.abandon() // not synchronously: it waits for the driver, which may be waiting for the locks held here
	}
}

// Final implements driver.Sink: it sets the final answer and wakes the connection's goroutine.
func (x *exchange) Final(a driver.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.final = &a
	close(x.done)
	x.conn.nc.SetReadDeadline(pastDeadline)
}

// answer writes the response, or the end of the stream. An incomplete stream ends with
// its connection, without the last chunk.
func (x *exchange) answer(a driver.Answer) {
	if faults.GuardDisabled(faults.BreakAnswer) && x.conn.id%10 == 0 {
		x.keepAlive = false
		return
	}
	switch {
	case a.Outcome == driver.Served && x.streaming:
		x.answered = true
		if x.stream.chunk(nil) != nil || x.stream.drain(time.Time{}) != nil {
			x.keepAlive = false
			x.conn.setCloseReason(closedWriteFailed)
		}
	case x.streaming && a.Outcome == driver.Failed: // the client still gets what precedes the break
		x.keepAlive, x.answered = false, true
		x.conn.setCloseReason(closedStreamBroken)
		x.stream.drain(time.Now().Add(brokenStreamGrace))
	case x.streaming: // cancelled by the client, or ended by the router
		x.keepAlive, x.answered = false, x.clientDisconnected.Load() || x.cutByRouter.Load()
		x.conn.setCloseReason(closedStreamBroken)
	case a.Outcome == driver.Cancelled:
		x.keepAlive = false
	case a.Outcome == driver.Refused:
		var extra []http1.Field
		if a.RetryAfter > 0 {
			extra = append(extra, http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)})
		}
		x.writePlain("503 Service Unavailable", "refused: nothing was done\n", extra...)
	default:
		x.writePlain("500 Internal Server Error", "failed\n")
	}
	if !x.keepAlive {
		x.conn.setCloseReason(closedAsRequested)
	}
}
