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

// exchange is one request of the HTTP APIs until its answer is written. The connection's goroutine waits until the
// final answer is there or the client disconnects, and writes the answer; tokens are written as they arrive.
type exchange struct {
	conn           *httpConn
	req            *http1.Request
	id             string
	caller         callerIdentity
	class          int // index in the settings; -1: not known yet
	keepAlive      bool
	job            admission.Job
	key            idempotency.Scope
	keyOpen        bool // the idempotency key is open in the table
	uncertainRetry bool // it repeats a request whose outcome the client doesn't know

	mu    sync.Mutex // never held while writing
	final *driver.Answer
	done  chan struct{}
}

// api serves one request of the HTTP APIs and reports whether the connection may serve another.
func (c *httpConn) api(req *http1.Request, work settings.Work) bool {
	x := &exchange{conn: c, req: req, class: -1, done: make(chan struct{}),
		id:        fmt.Sprintf("%s-%s-%d", map[settings.Work]string{settings.Chat: "chatcmpl", settings.Embedding: "embd", settings.Rerank: "rerank"}[work], c.srv.incarnation, c.srv.serial.Add(1)),
		keepAlive: req.Minor == 1 && !req.Header.Has("Connection", "close")}
	defer func() {
		if !x.keepAlive {
			c.lingeringClose() // closing with unread body bytes would reset the connection and could lose the answer
		}
	}()
	defer func() {
		c.srv.bodies.Release(c.bodyBytes)
		c.bodyBytes = 0
	}()
	draining := c.srv.isDraining()
	if draining && !c.srv.acceptedBeforeDrain(c.raw) {
		x.keepAlive = false
		x.replyError(&httpapi.Error{Status: 503, Type: httpapi.Overloaded, Code: httpapi.CodeRefused, Message: "the router stops; nothing has run"}, http1.Field{Name: "Retry-After", Value: "0"})
		return false
	}
	body, apiErr := x.receive()
	if apiErr != nil {
		x.keepAlive = false // the rest of the body is not read
		x.replyError(apiErr)
		return false
	}
	// Pipelining is not supported: bytes after the body are not served, and the connection closes after this answer.
	x.keepAlive = x.keepAlive && !draining && c.br.Buffered() == 0
	switch work {
	case settings.Chat:
		apiErr = x.chat(body)
	case settings.Embedding:
		apiErr = x.embed(body)
	default:
		apiErr = x.rerank(body)
	}
	if apiErr != nil {
		x.replyError(apiErr)
	}
	return x.keepAlive
}

// receive authenticates the caller, then reads the body.
func (x *exchange) receive() (body []byte, apiErr *httpapi.Error) {
	if x.req.Minor == 1 && x.req.Header.Get("Host") == "" {
		return nil, &httpapi.Error{Status: 400, Type: httpapi.InvalidRequest, Code: "malformed", Message: "the Host header is missing"}
	}
	if x.caller, apiErr = x.conn.srv.authenticate(x.req, x.conn.spiffeID); apiErr != nil {
		return nil, apiErr
	}
	return x.conn.readBody(x.req)
}

// metaHeader returns the name of the HTTP header that corresponds to a metadata key of the session API.
func metaHeader(meta string) string {
	return "X-Gannethook-" + strings.ReplaceAll(meta, "_", "-")
}

// meta returns a lookup of the request's metadata, which comes in the body's metadata field or in a header.
func (x *exchange) meta(metadata map[string]string) func(name string) (string, bool) {
	return func(name string) (string, bool) {
		if v, ok := metadata[name]; ok {
			return v, true
		}
		v := x.req.Header.Get(metaHeader(name))
		return v, v != ""
	}
}

// prepareJob fills in the fields of the job that all kinds of work have in common.
func (x *exchange) prepareJob(work settings.Work, model string, meta func(string) (string, bool)) *httpapi.Error {
	cfg := x.conn.srv.cfg.Load()
	x.class = cfg.ClassIndexForWork(work)
	if name, ok := meta(realtime.MetaClass); ok {
		x.class = cfg.ClassIndex(name)
	}
	if x.class < 0 || cfg.Classes[x.class].Work != work {
		return &httpapi.Error{Status: 404, Type: httpapi.InvalidRequest, Code: "unknown_class", Param: metaHeader(realtime.MetaClass),
			Message: "this router has no such class of " + work.String()}
	}
	tenantName, _ := meta(realtime.MetaTenant)
	tenant, name, ok := x.conn.srv.resolveTenant(x.caller, tenantName)
	if !ok {
		return httpapi.Invalid(metaHeader(realtime.MetaTenant), "no tenant has this name, or another's key was shown")
	}
	class := &cfg.Classes[x.class]
	x.job.Job = driver.Job{Class: x.class, ClassName: class.Name, Tenant: tenant, TenantName: name, SessionID: x.id,
		Timeout: class.GiveUp, Model: model, Idempotency: x.req.Header.Get("Idempotency-Key")}
	if !printable(x.job.Idempotency) || len(x.job.Idempotency) > realtime.MaxMetaText {
		return httpapi.Invalid("Idempotency-Key", "printable ASCII without spaces expected")
	}
	n, _ := strconv.Atoi(x.req.Header.Get("X-Stainless-Retry-Count")) // sent by OpenAI's client libraries
	retry, _ := meta(realtime.MetaRetry)
	x.uncertainRetry = retry == "true" || n > 0 && gannethook.Effect(class.Effect) != gannethook.Safe
	x.job.Retry = retry == "true" || n > 0 || hasPriorAttempt(meta)
	x.job.Client = x.conn.srv.clientKey(x.caller, tenant)
	x.key = idempotency.Scope{Tenant: tenant, Class: x.class, Key: x.job.Idempotency}
	return nil
}

// applySizes reads the sizes and the timeout that the request states.
func (x *exchange) applySizes(meta func(string) (string, bool)) *httpapi.Error {
	if fieldErr := x.conn.srv.applySizes(&x.job.Job, meta); fieldErr != nil {
		return httpapi.Invalid(fieldErr.param, "%s", fieldErr.message)
	}
	return nil
}

// beginKey opens the request's idempotency key and reports whether the request may proceed. If not, for example since
// an earlier request with this key may have run, it has set the final answer.
func (x *exchange) beginKey() bool {
	v := x.conn.srv.keyTable.begin(x.key, x.uncertainRetry)
	switch v {
	case idempotency.Proceed:
		x.keyOpen = true
		return true
	case idempotency.TableFull:
		x.answerUnsubmitted(driver.Answer{Outcome: driver.Refused, Reason: "too many keys are remembered", RetryAfter: x.conn.srv.cfg.Load().Limits.MaxRetryAfter})
	default:
		x.answerUnsubmitted(driver.Answer{Outcome: driver.Failed, Reason: "an earlier try with this key: " + v.String()})
	}
	return false
}

// answerUnsubmitted ends a request that was not submitted to admission, and records it.
func (x *exchange) answerUnsubmitted(a driver.Answer) {
	x.setFinal(a)
	x.conn.srv.done(driver.Summary{Session: x.id, Class: x.job.ClassName, Outcome: a.Outcome, Reason: a.Reason,
		RetryAfter: a.RetryAfter, PromptSize: x.job.PromptSize})
}

// setFinal stores the final answer, once, and wakes the connection's goroutine. It doesn't block.
func (x *exchange) setFinal(a driver.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.final != nil {
		return
	}
	if x.keyOpen {
		x.conn.srv.keyTable.end(x.key, a.MayHaveRun)
	}
	x.final = &a
	close(x.done)
	x.conn.nc.SetReadDeadline(pastDeadline)
}

func (x *exchange) hasFinal() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.final != nil
}

// wait blocks until the final answer. If the client disconnects meanwhile, the request is cancelled; if it sends more
// bytes, it has pipelined a request, which is not served.
func (x *exchange) wait(abandon func()) driver.Answer {
	x.mu.Lock()
	if x.final == nil {
		x.conn.nc.SetReadDeadline(time.Time{})
	}
	x.mu.Unlock()
	_, err := x.conn.br.Peek(1)
	switch {
	case err == nil:
		x.keepAlive = false
	case !errors.Is(err, os.ErrDeadlineExceeded):
		x.keepAlive = false
		abandon()
	}
	<-x.done
	return *x.final
}

// replyError writes an error answer.
func (x *exchange) replyError(e *httpapi.Error, extra ...http1.Field) {
	x.reply(e.Status, "application/json", append(x.rateLimitHeaders(), extra...), e.Body())
}

// reply writes a whole answer. The body comes in pieces, so that large ones need not be copied together.
func (x *exchange) reply(status int, kind string, extra http1.Header, pieces ...[]byte) {
	n := 0
	for _, p := range pieces {
		n += len(p)
	}
	h := http1.Header{{Name: "Content-Type", Value: kind}, {Name: "Content-Length", Value: strconv.Itoa(n)}}
	x.head(status, append(h, extra...))
	for _, p := range pieces {
		x.write(p)
	}
	x.flush()
}

// head writes the status line and the header, without flushing.
func (x *exchange) head(status int, h http1.Header) {
	h = append(h, http1.Field{Name: "X-Request-Id", Value: x.id})
	x.keepAlive = x.keepAlive && !x.conn.srv.isDraining()
	if !x.keepAlive {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	x.conn.nc.SetWriteDeadline(time.Now().Add(x.conn.srv.cfg.Load().HTTP.WriteTimeout))
	http1.WriteHead(x.conn.bw, fmt.Sprintf("HTTP/1.1 %d %s", status, reasonPhrases[status]), h)
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 408: "Request Timeout",
	413: "Content Too Large", 417: "Expectation Failed", 429: "Too Many Requests", 500: "Internal Server Error",
	503: "Service Unavailable"}

// write writes in steps of 64 KiB, each with its own write deadline: a slow client is waited for, one that has stopped
// reading is disconnected.
func (x *exchange) write(p []byte) {
	for len(p) > 0 {
		n := min(len(p), 64<<10)
		x.conn.nc.SetWriteDeadline(time.Now().Add(x.conn.srv.cfg.Load().HTTP.WriteTimeout))
		if _, err := x.conn.bw.Write(p[:n]); err != nil {
			x.keepAlive = false
			return
		}
		p = p[n:]
	}
}

func (x *exchange) flush() {
	if x.conn.bw.Flush() != nil {
		x.keepAlive = false
	}
}

// replyUnserved writes a final answer other than served. A refusal guarantees that a retry is harmless, any other answer
// guarantees nothing. X-Should-Retry keeps client libraries that retry by themselves from harmful retries.
func (x *exchange) replyUnserved(a driver.Answer) {
	safe := gannethook.Effect(x.conn.srv.cfg.Load().Classes[x.class].Effect) == gannethook.Safe
	e := &httpapi.Error{Status: 503, Type: httpapi.Overloaded, Code: httpapi.CodeRefused, Message: a.Reason}
	retry := safe
	var extra http1.Header
	switch {
	case a.Outcome != driver.Refused:
		*e = httpapi.Error{Status: 500, Type: httpapi.ServerError, Code: httpapi.CodeFailed, Message: a.Reason}
	case slices.Contains([]limits.Reason{limits.Requests, limits.Tokens, limits.TooLarge, limits.Retries}, a.LimitReason):
		e.Status, e.Type, e.Code = 429, httpapi.RateLimited, httpapi.CodeLimited
		retry = retry && a.LimitReason != limits.TooLarge
	case a.LimitReason == limits.Revoked:
		e.Status, e.Type, e.Code, retry = 401, httpapi.InvalidRequest, "invalid_api_key", false
	}
	if e.Message == "" {
		e.Message = e.Code
	}
	if a.Outcome == driver.Refused && a.RetryAfter > 0 {
		extra = http1.Header{{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds())))},
			{Name: "Retry-After-Ms", Value: strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)}}
	}
	x.replyError(e, append(extra, http1.Field{Name: "X-Should-Retry", Value: strconv.FormatBool(retry)})...)
}

// rateLimitHeaders returns the rate-limit headers of OpenAI's API.
func (x *exchange) rateLimitHeaders() http1.Header {
	if x.class < 0 {
		return nil
	}
	var h http1.Header
	requests, tokens := x.conn.srv.admission.Remaining(x.job.Tenant, x.class)
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
