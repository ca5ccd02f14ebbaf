package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientPool plays the clients of a run.
type clientPool struct {
	platform *platform
	schedule Schedule
	history  *History
}

// How clients behave.
const (
	minTimeout    = 300 * time.Millisecond // except for one request in eight, which gets 30 to 230 ms
	minThinkTime  = 20 * time.Millisecond  // between an answer and the next request
	maxThinkTime  = 250 * time.Millisecond
	longThinkTime = 3 * time.Second // once in 40 requests, so that connections stay idle for long
	answerGrace   = 3 * time.Second // for which a client waits past the deadline, to distinguish a late answer from a lost one
	streamGrace   = 8 * time.Second // for which a client reads a response after its head
)

// requestClasses are the classes that clients draw from, with the effect that the router's settings give them.
var requestClasses = []struct {
	name   string
	effect Effect
}{{"question", Safe}, {"question", Safe}, {"adjustment", Unsafe}, {"note", Keyed}}

// runClient plays one client that sends request after request, with think times, until the context ends.
func (c *clientPool) runClient(ctx context.Context, number int) {
	rnd := rand.New(rand.NewPCG(c.schedule.Seed, uint64(number)+100))
	var nc net.Conn
	var br *bufio.Reader
	router, incarnation := 0, 0
	closeConn := func() {
		if nc != nil {
			nc.Close()
			nc = nil
		}
	}
	defer closeConn()
	for n := 0; ctx.Err() == nil; n++ {
		if nc == nil {
			router = rnd.IntN(len(c.platform.routers))
			r := c.platform.routers[router]
			number, ok := r.ready()
			if !ok {
				sleep(ctx, 30*time.Millisecond)
				continue
			}
			incarnation = number
			var err error
			if nc, err = net.DialTimeout("tcp", r.listen, time.Second); err != nil {
				nc = nil
				sleep(ctx, 50*time.Millisecond)
				continue
			}
			br = bufio.NewReader(nc)
		}
		class := requestClasses[rnd.IntN(len(requestClasses))]
		timeout := minTimeout + time.Duration(rnd.Int64N(int64(c.platform.settings.Deadline-minTimeout)))
		if rnd.IntN(8) == 0 {
			timeout = 30*time.Millisecond + time.Duration(rnd.Int64N(int64(200*time.Millisecond)))
		}
		q := &request{id: fmt.Sprintf("c%d-%d", number, n), effect: class.effect, router: router, incarnation: incarnation, deadline: timeout}
		if !c.sendRequest(ctx, nc, br, q, class.name, rnd) {
			closeConn()
		}
		if c.refused(q) && c.faultActive(Flood, rnd) { // it retries at once, with a new id
			continue
		}
		thinkTime := minThinkTime + time.Duration(rnd.Int64N(int64(maxThinkTime-minThinkTime)))
		if rnd.IntN(40) == 0 {
			thinkTime = longThinkTime
		}
		sleep(ctx, thinkTime)
	}
}

// refused reports whether a request was refused.
func (c *clientPool) refused(q *request) bool {
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	return q.outcome == plainAnswer && (q.status == 429 || q.status == 503)
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// faultActive draws whether a fault of clients applies now; it does not outside the fault's time.
func (c *clientPool) faultActive(kind FaultKind, rnd *rand.Rand) bool {
	f, ok := c.schedule.find(kind)
	now := c.history.Now()
	return ok && now >= f.From && now < f.Until && rnd.Float64() < f.Fraction
}

// sendRequest sends one request and reads its answer. It reports whether the connection can be used again.
func (c *clientPool) sendRequest(ctx context.Context, nc net.Conn, br *bufio.Reader, q *request, class string, rnd *rand.Rand) bool {
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"%s"}]}`, strings.Repeat("x", rnd.IntN(2000)))
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Route-Key: k%d\r\nX-Timeout-Ms: %d\r\nX-Attrs: prefix=p%d,prompt_len=%d,prefix_len=100,max_out=200\r\nContent-Length: %d\r\n\r\n%s",
		q.id, class, rnd.IntN(40), q.deadline.Milliseconds(), rnd.IntN(5), 100+rnd.IntN(3000), len(body), body)
	disconnects := c.faultActive(Leave, rnd)
	slow := c.faultActive(Slow, rnd)
	h := c.history
	h.requestSent(q) // an attempt may arrive before the write returns
	if _, err := io.WriteString(nc, text); err != nil {
		h.requestEnded(q, notAccepted, 0)
		return false
	}
	h.requestSent(q)
	if disconnects {
		sleep(ctx, time.Duration(rnd.Int64N(int64(600*time.Millisecond))))
		h.clientDisconnected(q)
		nc.Close()
		return false
	}
	nc.SetReadDeadline(time.Now().Add(q.deadline + answerGrace))
	if _, err := br.Peek(1); err != nil {
		if isTimeout(err) {
			h.requestEnded(q, timedOut, 0)
		} else {
			h.requestEnded(q, closedUnanswered, 0)
		}
		return false
	}
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		h.requestEnded(q, malformedAnswer, 0)
		return false
	}
	nc.SetReadDeadline(time.Now().Add(streamGrace))
	chunked := len(res.TransferEncoding) > 0
	_, err = io.Copy(io.Discard, &slowReader{res.Body, slow})
	switch {
	case !chunked && err == nil:
		h.requestEnded(q, plainAnswer, res.StatusCode)
	case err == nil:
		h.requestEnded(q, streamCompleted, res.StatusCode)
	case isTimeout(err):
		h.requestEnded(q, timedOut, res.StatusCode)
	case chunked:
		h.requestEnded(q, streamTruncated, res.StatusCode)
	default:
		h.requestEnded(q, malformedAnswer, res.StatusCode)
	}
	return err == nil && !res.Close
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// slowReader reads at most 40 bytes every 10 ms if slow.
type slowReader struct {
	io.Reader
	slow bool
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.slow {
		time.Sleep(10 * time.Millisecond)
		p = p[:min(len(p), 40)]
	}
	return r.Reader.Read(p)
}

// rejectTimeout is the time within which a client without a valid request has to get an error or a close.
const rejectTimeout = 3 * time.Second

// malformedInput are incomplete or invalid requests.
var malformedInput = []string{
	"\x00\x01\x02\r\n\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: bad-1\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: bad-2\r\nX-Priority-Class: question\r\nX-Timeout-Ms: 2000\r\nContent-Length: 50\r\n\r\n{",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: bad-3\r\nX-Priority-Class: none\r\nX-Timeout-Ms: 2000\r\nContent-Length: 2\r\n\r\n{}",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: bad-4\r\nX-Priority-Class: question\r\nX-Timeout-Ms: 2000\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
	"GET /ready HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", 60000) + "\r\n\r\n",
}

// runMalformedClient plays a client that sends malformed input while a fault lasts, or nothing on idle connections for the
// fault Idle. It checks that the router answers or closes in time.
func (c *clientPool) runMalformedClient(ctx context.Context, f Fault, number int) {
	rnd := rand.New(rand.NewPCG(f.Seed, uint64(number)))
	for ctx.Err() == nil && c.history.Now() < f.Until {
		if c.history.Now() < f.From {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		r := c.platform.routers[rnd.IntN(len(c.platform.routers))]
		incarnation, ok := r.ready()
		if !ok {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		nc, err := net.DialTimeout("tcp", r.listen, time.Second)
		if err != nil {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		from := time.Now()
		if f.Kind == Flood {
			go io.WriteString(nc, strings.Repeat(malformedInput[rnd.IntN(len(malformedInput))], 1+rnd.IntN(20)))
		}
		nc.SetReadDeadline(from.Add(rejectTimeout + 2*time.Second))
		io.Copy(io.Discard, nc)
		nc.Close()
		took := time.Since(from)
		if now, ok := r.ready(); ok && now == incarnation && took > rejectTimeout+c.history.lockedSlack() {
			c.history.RecordViolation("late", fmt.Sprintf("a client that sent nothing of use got neither error nor close for %v from router %d", took, r.router))
		}
		if f.Kind != Idle {
			sleep(ctx, 20*time.Millisecond)
		}
	}
}

// lockedSlack is slack for callers that don't hold mu.
func (h *History) lockedSlack() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.slack()
}
