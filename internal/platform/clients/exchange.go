package clients

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"gannethook"
	"gannethook/internal/conns"
	"gannethook/internal/driver"
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
	l    *link
	req  *http1.Request
	from time.Time
	keep bool
	held int64 // bytes of the head and the body

	stream uint64        // its number among the streams, once begun
	since  time.Duration // of the server's life, when it began

	mu    sync.Mutex // never held while writing
	out   *sender    // of the stream, once begun
	begun bool       // events are passed on; false for good once the final answer came before the first
	final *driver.Answer
	done  chan struct{}

	abandon func() // takes the request back; guarded by mu
}

func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// serve serves the request; it tells whether another may follow.
func (x *exchange) serve() bool {
	s := x.l.s
	defer func() { s.bodies.Give(x.held) }()
	job, bad := readJob(x.req, *s.classes.Load())
	if bad == nil {
		bad = x.count(job.Header.Size())
	}
	if bad == nil {
		job.Body, bad = x.body()
	}
	if bad != nil {
		x.l.refuse(bad.status, bad.why)
		return false
	}
	if x.l.ahead.left() { // while its request was read: no answer is owed, and nothing may begin, nor keep its id from another
		x.l.gone = true
		return false
	}
	if !s.begin(job.Name) {
		x.l.refuse("409 Conflict", "a request with this id is open")
		return false
	}
	defer s.end(job.Name)
	if e := s.cfg.Log.Check(zap.DebugLevel, "came"); e != nil {
		e.Write(zap.String("id", job.Name), zap.String("session", job.SessionID), zap.String("class", job.ClassName), zap.String("tenant", job.TenantName),
			zap.Duration("give-up", job.GiveUp), zap.String("retried", x.req.Header.Get("X-Retried")),
			zap.String("attrs", x.req.Header.Get("X-Attrs")), zap.Duration("read", time.Since(x.from)))
	}
	job.GiveUp, job.Waited, job.Gone = s.left(job.GiveUp), time.Since(x.from), x.left
	call, err := s.cfg.Submit(*job, x)
	if err != nil { // the platform's bounds: nothing has run
		x.l.plain("503 Service Unavailable", err.Error()+"\n", x.keep)
		return x.keep
	}
	a := x.wait(call.Abandon)
	s.ended(x)
	x.keep = x.keep && !x.l.turned()
	x.answer(a)
	return x.keep
}

// refusal tells why a request can't be taken.
type refusal struct{ status, why string }

// count counts what is kept of the request's head in the bound on all bodies.
func (x *exchange) count(size int64) *refusal {
	if !x.l.s.bodies.Take(size, x.l.s.limits.Load().Bodies) {
		return &refusal{"503 Service Unavailable", http1.ErrCrowded.Error()}
	}
	x.held += size
	return nil
}

// body reads the request's body.
func (x *exchange) body() ([]byte, *refusal) {
	lim := x.l.s.limits.Load()
	b, err := http1.RequestBody(x.l.br, x.req.Header)
	if err != nil {
		return nil, &refusal{"400 Bad Request", err.Error()}
	}
	if b.Length() > lim.Body {
		return nil, &refusal{"413 Content Too Large", "the body is too large"}
	}
	if expect := x.req.Header.Get("Expect"); expect != "" {
		if !strings.EqualFold(expect, "100-continue") {
			return nil, &refusal{"417 Expectation Failed", "only 100-continue is known"}
		}
		io.WriteString(x.l.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	text, held, err := b.ReadWhole(lim.Body, lim.Bodies, &x.l.s.bodies)
	x.held += held
	switch {
	case err == nil && !validJSON(text):
		return nil, &refusal{"400 Bad Request", "the body is not a JSON object"}
	case err == nil:
		return text, nil
	case errors.Is(err, http1.ErrBodyTooLarge):
		return nil, &refusal{"413 Content Too Large", "the body is too large"}
	case errors.Is(err, http1.ErrCrowded):
		return nil, &refusal{"503 Service Unavailable", err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{"408 Request Timeout", "the body did not come in time"}
	}
	return nil, &refusal{"400 Bad Request", "body: " + err.Error()}
}

// wait waits for the final answer. A client that leaves meanwhile takes its
// request back. What it sends ahead is kept for its turn.
func (x *exchange) wait(abandon func()) driver.Answer {
	x.mu.Lock()
	x.abandon = abandon
	if x.final == nil {
		x.l.nc.SetReadDeadline(time.Time{})
	}
	x.mu.Unlock()
	if err := x.l.ahead.listen(); !errors.Is(err, os.ErrDeadlineExceeded) {
		x.keep = false
		abandon()
	}
	<-x.done
	return *x.final
}

// left tells whether the client has left, at the instant at which an attempt is
// about to begin: the connection's goroutine may not have run since.
func (x *exchange) left() bool {
	if !conns.Ended(x.l.nc) {
		return false
	}
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
		s := x.l.s
		s.streaming(x)
		x.out = newSender(x.l.nc, s.limits.Load, &s.bodies, s.wg.Go)
		x.out.frame = append(x.out.frame, streamHead...)
		x.out.frame = http1.AppendChunk(x.out.frame, text)
		return x.out.write(x.out.frame) == nil
	}
	return x.out.chunk(text) == nil
}

// brokenWait is how long a client may take what was passed on of a stream that
// broke, before its connection ends.
const brokenWait = 2 * time.Second

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// part ends a stream before its end: its client is told at once, so that it may
// go on elsewhere.
func (x *exchange) part() {
	if out, ok := x.l.nc.(interface{ CloseWrite() error }); ok {
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
	x.l.nc.SetReadDeadline(past)
}

// answer writes what is left to say. A stream that is not whole ends with its
// connection, without the last chunk.
func (x *exchange) answer(a driver.Answer) {
	switch {
	case a.Kind == driver.Served && x.begun:
		if x.out.chunk(nil) != nil || x.out.wait(time.Time{}) != nil {
			x.keep = false
		}
	case x.begun && a.Kind == driver.Failed: // what came before it broke is still its client's
		x.keep = false
		x.out.wait(time.Now().Add(brokenWait))
	case x.begun || a.Kind == driver.Cancelled:
		x.keep = false
	case a.Kind == driver.Refused:
		var more []http1.Field
		if a.RetryAfter > 0 {
			more = append(more, http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)})
		}
		x.l.plain("503 Service Unavailable", "refused: nothing was done\n", x.keep, more...)
	default:
		x.l.plain("500 Internal Server Error", "failed\n", x.keep)
	}
}

// Bounds of what a request may say of itself.
const (
	mostName    = 128
	mostTokens  = 1 << 22
	mostTimeout = int64(time.Hour / time.Millisecond)
)

// validJSON tells whether a body is a JSON object: no worker could use another.
func validJSON(body []byte) bool {
	body = bytes.TrimLeft(body, " \t\r\n")
	return len(body) > 0 && body[0] == '{' && json.Valid(body)
}

// readJob reads a request's head.
func readJob(req *http1.Request, classes map[string]int) (*driver.Job, *refusal) {
	bad := func(why string) (*driver.Job, *refusal) { return nil, &refusal{"400 Bad Request", why} }
	if path(req.Target) != ChatPath {
		return nil, &refusal{"404 Not Found", "only " + ChatPath + " is served"}
	}
	if req.Method != "POST" {
		return nil, &refusal{"405 Method Not Allowed", "POST is expected"}
	}
	if req.Header.Get("Host") == "" {
		return bad("Host is missing")
	}
	var values [len(headers)]string
	for i, name := range headers {
		v, ok := only(req.Header, name)
		if !ok {
			return bad(name + " comes twice")
		}
		values[i] = v
	}
	name, class, key, timeout, attrs, tenant := values[0], values[1], values[2], values[3], values[4], values[5]
	if !isName(name) {
		return bad("X-Request-ID: up to 128 letters, digits, '-', '_' or '.' expected")
	}
	at, ok := classes[class]
	if !ok {
		return bad("X-Priority-Class: not known")
	}
	ms, err := strconv.ParseInt(timeout, 10, 64)
	if err != nil || ms <= 0 || ms > mostTimeout {
		return bad("X-Timeout-Ms: milliseconds expected")
	}
	job := &driver.Job{Name: name, Class: at, ClassName: class, TenantName: tenant, Path: req.Target, Session: keyOf(key),
		SessionID: key, GiveUp: time.Duration(ms) * time.Millisecond, Header: req.Header.EndToEnd(ownFields...)}
	if why := readAttrs(attrs, job); why != "" {
		return bad(why)
	}
	return job, nil
}

// ownFields are the fields that each attempt writes for itself. All others that
// go end to end are passed on as they came: workers may know a repeat by any of
// them, as by an idempotency key.
var ownFields = []string{"X-Request-ID", "X-Timeout-Ms"}

var headers = [...]string{"X-Request-ID", "X-Priority-Class", "X-Route-Key", "X-Timeout-Ms", "X-Attrs", "X-Tenant-Id"}

// only is a field's one value.
func only(h http1.Header, name string) (value string, ok bool) {
	seen := false
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			if seen {
				return "", false
			}
			seen, value = true, f.Value
		}
	}
	return value, true
}

func isName(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return s != "" && len(s) <= mostName
}

// readAttrs reads what a request says of its prompt; it returns what is wrong.
func readAttrs(attrs string, job *driver.Job) string {
	for part := range strings.SplitSeq(attrs, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if name == "" && !ok {
			continue
		}
		if name == "prefix" {
			job.Prefix, job.PrefixName = keyOf(value), value
			continue
		}
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil || n > mostTokens {
			return "X-Attrs: " + strconv.Quote(name) + " is not a number of tokens"
		}
		switch name {
		case "prompt_len":
			job.PromptSize = float64(n)
		case "prefix_len":
			job.Kept = float64(n)
		case "max_out":
			job.MaxTokens = int(n)
		}
	}
	return ""
}

// keyOf names a session or a shared beginning in the module's terms.
func keyOf(text string) gannethook.Key {
	if text == "" {
		return 0
	}
	return gannethook.Key(max(xxhash.Sum64String(text), 1))
}
