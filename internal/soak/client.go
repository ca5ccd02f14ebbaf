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

// crowd are the clients of a run.
type crowd struct {
	p      *platform
	plan   Plan
	ledger *Ledger
}

// Habits of clients.
const (
	leastTimeout = 300 * time.Millisecond // but now and then less
	leastRest    = 20 * time.Millisecond
	mostRest     = 250 * time.Millisecond
	longRest     = 3 * time.Second // before now and then, so that idle connections age
	answerGrace  = 3 * time.Second // for which an answer is waited for after its time, to tell late from lost
	streamGrace  = 8 * time.Second
)

var classes = []struct {
	name   string
	effect Effect
}{{"question", Safe}, {"question", Safe}, {"adjustment", Unsafe}, {"note", Keyed}}

// usual plays one client that asks, rests and asks again, until the context ends.
func (c *crowd) usual(ctx context.Context, number int) {
	rnd := rand.New(rand.NewPCG(c.plan.Seed, uint64(number)+100))
	var nc net.Conn
	var br *bufio.Reader
	router, life := 0, 0
	drop := func() {
		if nc != nil {
			nc.Close()
			nc = nil
		}
	}
	defer drop()
	for n := 0; ctx.Err() == nil; n++ {
		if nc == nil {
			router = rnd.IntN(len(c.p.routers))
			r := c.p.routers[router]
			number, ok := r.ready()
			if !ok {
				pause(ctx, 30*time.Millisecond)
				continue
			}
			life = number
			var err error
			if nc, err = net.DialTimeout("tcp", r.listen, time.Second); err != nil {
				nc = nil
				pause(ctx, 50*time.Millisecond)
				continue
			}
			br = bufio.NewReader(nc)
		}
		class := classes[rnd.IntN(len(classes))]
		timeout := leastTimeout + time.Duration(rnd.Int64N(int64(c.p.terms.Deadline-leastTimeout)))
		if rnd.IntN(8) == 0 {
			timeout = 30*time.Millisecond + time.Duration(rnd.Int64N(int64(200*time.Millisecond)))
		}
		q := &request{id: fmt.Sprintf("c%d-%d", number, n), effect: class.effect, router: router, life: life, deadline: timeout}
		if !c.ask(ctx, nc, br, q, class.name, rnd) {
			drop()
		}
		if c.refused(q) && c.active(Flood, rnd) { // it tries again at once, with a new id
			continue
		}
		rest := leastRest + time.Duration(rnd.Int64N(int64(mostRest-leastRest)))
		if rnd.IntN(40) == 0 {
			rest = longRest
		}
		pause(ctx, rest)
	}
}

// refused tells whether a request was refused.
func (c *crowd) refused(q *request) bool {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	return q.end == answered && (q.status == 429 || q.status == 503)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// active tells whether a trouble of clients strikes now.
func (c *crowd) active(kind Kind, rnd *rand.Rand) bool {
	t, ok := c.plan.find(kind)
	now := c.ledger.Now()
	return ok && now >= t.From && now < t.Until && rnd.Float64() < t.Part
}

// ask sends one request and hears its answer; it tells whether the connection can be used again.
func (c *crowd) ask(ctx context.Context, nc net.Conn, br *bufio.Reader, q *request, class string, rnd *rand.Rand) bool {
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"%s"}]}`, strings.Repeat("x", rnd.IntN(2000)))
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Route-Key: k%d\r\nX-Timeout-Ms: %d\r\nX-Attrs: prefix=p%d,prompt_len=%d,prefix_len=100,max_out=200\r\nContent-Length: %d\r\n\r\n%s",
		q.id, class, rnd.IntN(40), q.deadline.Milliseconds(), rnd.IntN(5), 100+rnd.IntN(3000), len(body), body)
	leaves := c.active(Leave, rnd)
	slow := c.active(Slow, rnd)
	l := c.ledger
	l.written(q) // a worker may hear of it before the write returns
	if _, err := io.WriteString(nc, text); err != nil {
		l.ended(q, notTaken, 0)
		return false
	}
	l.written(q)
	if leaves {
		pause(ctx, time.Duration(rnd.Int64N(int64(600*time.Millisecond))))
		l.left(q)
		nc.Close()
		return false
	}
	nc.SetReadDeadline(time.Now().Add(q.deadline + answerGrace))
	if _, err := br.Peek(1); err != nil {
		if isTimeout(err) {
			l.ended(q, timedOut, 0)
		} else {
			l.ended(q, closedOn, 0)
		}
		return false
	}
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		l.ended(q, garbled, 0)
		return false
	}
	nc.SetReadDeadline(time.Now().Add(streamGrace))
	chunked := len(res.TransferEncoding) > 0
	_, err = io.Copy(io.Discard, &slowReader{res.Body, slow})
	switch {
	case !chunked && err == nil:
		l.ended(q, answered, res.StatusCode)
	case err == nil:
		l.ended(q, streamed, res.StatusCode)
	case isTimeout(err):
		l.ended(q, timedOut, res.StatusCode)
	case chunked:
		l.ended(q, streamCut, res.StatusCode)
	default:
		l.ended(q, garbled, res.StatusCode)
	}
	return err == nil && !res.Close
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// slowReader reads little at a time, if it is slow.
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

// badWithin is how soon a client that sends what can't be read is owed an error or a close.
const badWithin = 3 * time.Second

var noise = []string{
	"\x00\x01\x02\r\n\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: bad-1\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: bad-2\r\nX-Priority-Class: question\r\nX-Timeout-Ms: 2000\r\nContent-Length: 50\r\n\r\n{",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: bad-3\r\nX-Priority-Class: none\r\nX-Timeout-Ms: 2000\r\nContent-Length: 2\r\n\r\n{}",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: bad-4\r\nX-Priority-Class: question\r\nX-Timeout-Ms: 2000\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
	"GET /ready HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", 60000) + "\r\n\r\n",
}

// bad plays a client that sends what can't be read while the trouble lasts; idlers hold connections and say nothing.
func (c *crowd) bad(ctx context.Context, t Trouble, number int) {
	rnd := rand.New(rand.NewPCG(t.Seed, uint64(number)))
	for ctx.Err() == nil && c.ledger.Now() < t.Until {
		if c.ledger.Now() < t.From {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		r := c.p.routers[rnd.IntN(len(c.p.routers))]
		life, ok := r.ready()
		if !ok {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		nc, err := net.DialTimeout("tcp", r.listen, time.Second)
		if err != nil {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		from := time.Now()
		if t.Kind == Flood {
			go io.WriteString(nc, strings.Repeat(noise[rnd.IntN(len(noise))], 1+rnd.IntN(20)))
		}
		nc.SetReadDeadline(from.Add(badWithin + 2*time.Second))
		io.Copy(io.Discard, nc)
		nc.Close()
		took := time.Since(from)
		if now, ok := r.ready(); ok && now == life && took > badWithin+c.ledger.slackNow() {
			c.ledger.Break("late", fmt.Sprintf("a client that sent nothing of use got neither error nor close for %v from router %d", took, r.router))
		}
		if t.Kind != Idle {
			pause(ctx, 20*time.Millisecond)
		}
	}
}

func (l *Ledger) slackNow() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slack()
}
