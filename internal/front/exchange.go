package front

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gannethook"
	"gannethook/internal/admission"
	"gannethook/internal/driver"
	"gannethook/internal/http1"
	"gannethook/internal/httpapi"
	"gannethook/internal/idempotency"
	"gannethook/internal/limits"
	"gannethook/internal/realtime"
	"gannethook/internal/settings"
)

// exchange is one request of the HTTP APIs until its answer is written. The
// connection's goroutine waits for the final answer and for the client to leave,
// whichever is first, and writes the answer; tokens are written as they come.
type exchange struct {
	l     *link
	req   *http1.Request
	id    string
	who   caller
	class int // of the settings; -1: not known yet
	keep  bool
	job   admission.Job
	key   idempotency.Scope
	named bool // the key is open in the guard
	again bool // a try went before whose end the client does not know

	mu    sync.Mutex // never held while writing
	final *driver.Answer
	done  chan struct{}
}

// api serves one request; it tells whether another may follow.
func (l *link) api(req *http1.Request, work settings.Work) bool {
	x := &exchange{l: l, req: req, class: -1, done: make(chan struct{}),
		id:   fmt.Sprintf("%s-%s-%d", map[settings.Work]string{settings.Chat: "chatcmpl", settings.Embedding: "embd", settings.Rerank: "rerank"}[work], l.s.boot, l.s.serial.Add(1)),
		keep: req.Minor == 1 && !req.Header.Has("Connection", "close")}
	defer func() {
		if !x.keep {
			l.linger() // what was not read of the body would reset the connection, and lose the answer
		}
	}()
	defer func() {
		l.s.bodies.Give(l.held)
		l.held = 0
	}()
	stops := l.s.stopping()
	if stops && !l.s.adopted(l.raw) {
		x.keep = false
		x.fail(&httpapi.Error{Status: 503, Type: httpapi.Overloaded, Code: httpapi.CodeRefused, Message: "the router stops; nothing has run"}, http1.Field{Name: "Retry-After", Value: "0"})
		return false
	}
	body, bad := x.admit()
	if bad != nil {
		x.keep = false // what is left of the body is not read
		x.fail(bad)
		return false
	}
	// Pipelining is refused: what came behind the body is not served, and the connection ends with this answer.
	x.keep = x.keep && !stops && l.br.Buffered() == 0
	switch work {
	case settings.Chat:
		bad = x.chat(body)
	case settings.Embedding:
		bad = x.embed(body)
	default:
		bad = x.rerank(body)
	}
	if bad != nil {
		x.fail(bad)
	}
	return x.keep
}

// admit reads the request, once its caller is known.
func (x *exchange) admit() (body []byte, bad *httpapi.Error) {
	if x.req.Minor == 1 && x.req.Header.Get("Host") == "" {
		return nil, &httpapi.Error{Status: 400, Type: httpapi.InvalidRequest, Code: "malformed", Message: "the Host header is missing"}
	}
	if x.who, bad = x.l.s.caller(x.req, x.l.identity); bad != nil {
		return nil, bad
	}
	return x.l.body(x.req)
}

// headerOf is the header that tells what the session API's metadata does.
func headerOf(meta string) string {
	return "X-Gannethook-" + strings.ReplaceAll(meta, "_", "-")
}

// meta is a request's word about itself: in its metadata or in a header.
func (x *exchange) meta(metadata map[string]string) func(name string) (string, bool) {
	return func(name string) (string, bool) {
		if v, ok := metadata[name]; ok {
			return v, true
		}
		v := x.req.Header.Get(headerOf(name))
		return v, v != ""
	}
}

// plan fills in the job that all works have in common.
func (x *exchange) plan(work settings.Work, model string, meta func(string) (string, bool)) *httpapi.Error {
	cfg := x.l.s.cfg.Load()
	x.class = cfg.ClassOf(work)
	if name, ok := meta(realtime.MetaClass); ok {
		x.class = cfg.ClassNamed(name)
	}
	if x.class < 0 || cfg.Classes[x.class].Work != work {
		return &httpapi.Error{Status: 404, Type: httpapi.InvalidRequest, Code: "unknown_class", Param: headerOf(realtime.MetaClass),
			Message: "this router has no such class of " + work.String()}
	}
	tenantName, _ := meta(realtime.MetaTenant)
	tenant, name, ok := x.l.s.named(x.who, tenantName)
	if !ok {
		return httpapi.Invalid(headerOf(realtime.MetaTenant), "no tenant has this name, or another's key was shown")
	}
	class := &cfg.Classes[x.class]
	x.job.Job = driver.Job{Class: x.class, ClassName: class.Name, Tenant: tenant, TenantName: name, SessionID: x.id,
		Timeout: class.GiveUp, Model: model, Idempotency: x.req.Header.Get("Idempotency-Key")}
	if !printable(x.job.Idempotency) || len(x.job.Idempotency) > realtime.MaxMetaText {
		return httpapi.Invalid("Idempotency-Key", "printable ASCII without spaces expected")
	}
	n, _ := strconv.Atoi(x.req.Header.Get("X-Stainless-Retry-Count")) // OpenAI's clients tell their tries again
	again, _ := meta(realtime.MetaRetry)
	x.again = again == "true" || n > 0 && gannethook.Effect(class.Effect) != gannethook.Safe
	x.job.Retry = again == "true" || n > 0 || triedBefore(meta)
	x.job.Client = x.l.s.client(x.who, tenant)
	x.key = idempotency.Scope{Tenant: tenant, Class: x.class, Key: x.job.Idempotency}
	return nil
}

// sized reads the numbers that the request tells of itself.
func (x *exchange) sized(meta func(string) (string, bool)) *httpapi.Error {
	if bad := x.l.s.sizes(&x.job.Job, meta); bad != nil {
		return httpapi.Invalid(bad.param, "%s", bad.msg)
	}
	return nil
}

// begin asks the table of keys; what may have run before is answered here.
func (x *exchange) begin() bool {
	v := x.l.s.guard.begin(x.key, x.again)
	switch v {
	case idempotency.Proceed:
		x.named = true
		return true
	case idempotency.TableFull:
		x.turnAway(driver.Answer{Outcome: driver.Refused, Reason: "too many keys are remembered", RetryAfter: x.l.s.cfg.Load().Limits.RetryAfter})
	default:
		x.turnAway(driver.Answer{Outcome: driver.Failed, Reason: "an earlier try with this key: " + v.String()})
	}
	return false
}

// turnAway answers what never came to the intake.
func (x *exchange) turnAway(a driver.Answer) {
	x.settle(a)
	x.l.s.done(driver.Summary{Session: x.id, Class: x.job.ClassName, Outcome: a.Outcome, Reason: a.Reason,
		RetryAfter: a.RetryAfter, PromptSize: x.job.PromptSize})
}

// settle takes the final answer, once, and wakes the connection's goroutine. It does not wait.
func (x *exchange) settle(a driver.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.final != nil {
		return
	}
	if x.named {
		x.l.s.guard.end(x.key, a.MayHaveRun)
	}
	x.final = &a
	close(x.done)
	x.l.nc.SetReadDeadline(past)
}

func (x *exchange) over() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.final != nil
}

// wait waits for the final answer. A client that leaves meanwhile takes its
// request back; one that sends more has pipelined, and is not heard.
func (x *exchange) wait(abandon func()) driver.Answer {
	x.mu.Lock()
	if x.final == nil {
		x.l.nc.SetReadDeadline(time.Time{})
	}
	x.mu.Unlock()
	_, err := x.l.br.Peek(1)
	switch {
	case err == nil:
		x.keep = false
	case !errors.Is(err, os.ErrDeadlineExceeded):
		x.keep = false
		abandon()
	}
	<-x.done
	return *x.final
}

// fail writes an error.
func (x *exchange) fail(e *httpapi.Error, more ...http1.Field) {
	x.reply(e.Status, "application/json", append(x.limits(), more...), e.Body())
}

// reply writes a whole answer in pieces that are not copied together.
func (x *exchange) reply(status int, kind string, more http1.Header, pieces ...[]byte) {
	n := 0
	for _, p := range pieces {
		n += len(p)
	}
	h := http1.Header{{Name: "Content-Type", Value: kind}, {Name: "Content-Length", Value: strconv.Itoa(n)}}
	x.head(status, append(h, more...))
	for _, p := range pieces {
		x.write(p)
	}
	x.flush()
}

// head begins an answer.
func (x *exchange) head(status int, h http1.Header) {
	h = append(h, http1.Field{Name: "X-Request-Id", Value: x.id})
	x.keep = x.keep && !x.l.s.stopping()
	if !x.keep {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	x.l.nc.SetWriteDeadline(time.Now().Add(x.l.s.cfg.Load().HTTP.Write))
	http1.WriteHead(x.l.bw, fmt.Sprintf("HTTP/1.1 %d %s", status, reasons[status]), h)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 408: "Request Timeout",
	413: "Content Too Large", 417: "Expectation Failed", 429: "Too Many Requests", 500: "Internal Server Error",
	503: "Service Unavailable"}

// write writes in steps that each have the time of a write: a client that reads
// slowly is waited for, one that has stopped is cut.
func (x *exchange) write(p []byte) {
	for len(p) > 0 {
		n := min(len(p), 64<<10)
		x.l.nc.SetWriteDeadline(time.Now().Add(x.l.s.cfg.Load().HTTP.Write))
		if _, err := x.l.bw.Write(p[:n]); err != nil {
			x.keep = false
			return
		}
		p = p[n:]
	}
}

func (x *exchange) flush() {
	if x.l.bw.Flush() != nil {
		x.keep = false
	}
}

// turned words a final answer that is not served. One that is refused promises
// that trying again is harmless, any other promises nothing: clients that try
// again by themselves are told not to, where that could do harm.
func (x *exchange) turned(a driver.Answer) {
	safe := gannethook.Effect(x.l.s.cfg.Load().Classes[x.class].Effect) == gannethook.Safe
	e := &httpapi.Error{Status: 503, Type: httpapi.Overloaded, Code: httpapi.CodeRefused, Message: a.Reason}
	again := safe
	var more http1.Header
	switch {
	case a.Outcome != driver.Refused:
		*e = httpapi.Error{Status: 500, Type: httpapi.ServerError, Code: httpapi.CodeFailed, Message: a.Reason}
	case slices.Contains([]limits.Reason{limits.Requests, limits.Tokens, limits.TooLarge, limits.Retries}, a.LimitReason):
		e.Status, e.Type, e.Code = 429, httpapi.RateLimited, httpapi.CodeLimited
		again = again && a.LimitReason != limits.TooLarge
	case a.LimitReason == limits.Revoked:
		e.Status, e.Type, e.Code, again = 401, httpapi.InvalidRequest, "invalid_api_key", false
	}
	if e.Message == "" {
		e.Message = e.Code
	}
	if a.Outcome == driver.Refused && a.RetryAfter > 0 {
		more = http1.Header{{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds())))},
			{Name: "Retry-After-Ms", Value: strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)}}
	}
	x.fail(e, append(more, http1.Field{Name: "X-Should-Retry", Value: strconv.FormatBool(again)})...)
}

// limits are the rate-limit headers, as OpenAI's API has them.
func (x *exchange) limits() http1.Header {
	if x.class < 0 {
		return nil
	}
	var h http1.Header
	requests, tokens := x.l.s.in.Remaining(x.job.Tenant, x.class)
	for _, v := range []struct {
		of   string
		left limits.Allowance
	}{{"requests", requests}, {"tokens", tokens}} {
		if v.left.Limited {
			h = append(h, http1.Field{Name: "X-Ratelimit-Limit-" + v.of, Value: strconv.Itoa(int(v.left.Limit))},
				http1.Field{Name: "X-Ratelimit-Remaining-" + v.of, Value: strconv.Itoa(int(v.left.Remaining))},
				http1.Field{Name: "X-Ratelimit-Reset-" + v.of, Value: v.left.Reset.Round(time.Millisecond).String()})
		}
	}
	return h
}
