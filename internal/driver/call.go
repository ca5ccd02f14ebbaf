package driver

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/guard"
	"gannethook/internal/heldstate"
)

// Call is one request until its last attempt has ended. All but Abandon is the
// driver's goroutine's.
type Call struct {
	d    *Driver
	set  *gannethook.Settings // under which it was taken
	id   gannethook.RequestID
	job  Job
	sink Sink
	came time.Time

	attempts  []*try
	out       int // attempts that are out
	answered  bool
	forgotten bool
	streaming bool
	gone      atomic.Bool // nothing more may be relayed
	first     time.Time
	final     Answer
	ended     time.Time

	key      string   // of the last read
	keys     []string // of all that may be held for it
	params   []byte   // that its reader returned; nil once its state was let go
	reader   gannethook.ServerID
	writer   gannethook.ServerID
	releases int         // how often all was let go: tells late grants
	lets     []time.Time // when something was, for the log
	reads    int         // prompts read for it, and tokens of these that were found kept
	kept     float64
}

type try struct {
	n      int
	server gannethook.ServerID
	reads  bool
	key    string // of what it may leave or take; "": nothing is held for it
	out    bool
	cancel context.CancelFunc
	sent   *attempt.Signal
	over   chan struct{}   // closed once its goroutine has left the server's connection; nil: there is none
	off    *attempt.Result // what its end counts as once it was called off; nil: it was not
	began  time.Time
	closed time.Time // when the router closed its connection before the answer had ended; zero: it did not
	// Once it has ended; 0 before:
	outcome gannethook.Outcome
	detail  string
	took    time.Duration
	via     string // the connection that it went by
}

// Abandon tells that the client took the request back or left. The final answer
// is Cancelled unless another was on its way already.
func (c *Call) Abandon() {
	c.d.post(func() {
		if c.answered {
			return
		}
		c.answer(Answer{Outcome: Cancelled})
		c.d.tell(gannethook.ClientGone{ID: c.id})
		for _, a := range c.attempts { // a stream is the client's: it ends with it
			if a.out {
				c.finish(a.n, attempt.Result{Outcome: gannethook.Cancelled, Detail: "its client left"})
			}
		}
	})
}

// answer gives the final answer, once.
func (c *Call) answer(a Answer) {
	if c.answered {
		return
	}
	a.MayHaveRun = c.mayHaveRun()
	c.answered, c.final, c.ended = true, a, time.Now()
	c.gone.Store(true)
	c.d.loose = append(c.d.loose, c)
	c.sink.Final(a)
}

// refuse gives a refusal as the final answer, or a failure where an attempt may
// have run: a failure promises nothing.
func (c *Call) refuse(retryAfter time.Duration) {
	if c.answered {
		return
	}
	if !c.mayRefuse(retryAfter) {
		c.answer(Answer{Outcome: Failed, Reason: "an attempt may have run"})
		return
	}
	c.noteRepeat(len(c.attempts), "", false, time.Now())
	c.answer(Answer{Outcome: Refused, RetryAfter: retryAfter})
}

// send starts an attempt. One that the guard denies is moot, as for a request
// that is answered or whose stream has begun.
func (c *Call) send(s gannethook.Send) gannethook.Event {
	allowed := c.maySend()
	a := &try{n: len(c.attempts), server: s.Server, began: time.Now(), reads: c.d.roles[s.Server] == gannethook.Reader && !c.oneStage(),
		out: true}
	c.attempts = append(c.attempts, a)
	c.out++
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(c.d.ctx)
	if !allowed {
		return c.end(a.n, attempt.Result{Outcome: gannethook.Moot})
	}
	switch {
	case c.job.Name != "":
		c.key = c.job.Name
	case a.reads || c.params == nil: // a server that reads and writes gets the request whole
		c.key = fmt.Sprintf("%s-%d-%d", c.d.boot, c.id, a.n)
	}
	switch {
	case a.reads:
		c.reader = s.Server
	case c.oneStage():
		c.reader = s.Server
	default:
		c.writer = s.Server
	}
	a.sent, a.over = attempt.NewSignal(), make(chan struct{})
	call := &attempt.Call{Written: a.sent, RetriesLeft: c.left(a.n), Trace: c.d.cfg.Trace,
		Unsafe: !a.reads && c.set.Classes[c.job.Class].Effect == gannethook.Unsafe, Deadline: c.until(s.Timeout),
		Addr: string(s.Server), Key: c.key, Model: c.job.Model, Class: c.job.ClassName,
		Tenant: c.job.TenantName, Idempotency: c.job.Idempotency, Prompt: c.job.Prompt, MaxTokens: c.job.MaxTokens,
		PromptSize: c.job.PromptSize, PrefixKey: c.job.PrefixName, Path: c.job.Path, Header: c.job.Header, Body: c.job.Body, CheckAnswer: c.job.CheckAnswer,
		Sampling: c.job.Sampling, ClientGone: c.job.ClientGone}
	if s.Within > 0 {
		call.WriteDeadline = time.Now().Add(time.Duration(float64(s.Within) * 1e6))
	}
	if !a.reads {
		call.Params = c.params
	}
	if s.Timeout > 0 {
		c.d.after(time.Duration(float64(s.Timeout)*1e6), timer{call: c, n: a.n})
	}
	before := c.beginHolding(a, call.Deadline)
	c.d.work.Go(func() {
		if before != nil {
			select {
			case <-before:
			case <-ctx.Done():
			}
		}
		c.attempt(ctx, a, call)
	})
	return nil
}

// until is how long an attempt is waited for, until the client gives up at most.
func (c *Call) until(timeout gannethook.Millis) time.Time {
	end := c.came.Add(c.job.Timeout)
	if own := time.Now().Add(time.Duration(float64(timeout) * 1e6)); timeout > 0 && own.Before(end) {
		return own
	}
	return end
}

// left is how many attempts the request may make after the nth.
func (c *Call) left(n int) int {
	if most := c.set.MaxAttempts; most > 0 {
		return max(most-1-n, 0)
	}
	return -1
}

// oneStage tells whether the work ends where it is read.
func (c *Call) oneStage() bool { return c.set.Classes[c.job.Class].OneStage }

// attempt runs on its own goroutine.
func (c *Call) attempt(ctx context.Context, a *try, call *attempt.Call) {
	var r attempt.Result
	switch {
	case a.reads:
		r = c.d.cfg.Engines.Read(ctx, call)
	case c.oneStage():
		r = c.d.cfg.Engines.Do(ctx, call)
	default:
		r = c.d.cfg.Engines.Write(ctx, call, func() bool { return c.started(a) }, c.relay)
	}
	a.cancel()
	a.sent.Set(false)
	close(a.over)
	closed := time.Now()
	if c.effect() != guard.Safe && endOf(r) == heldstate.ClosedByRouter {
		// A refusal or a further attempt goes by another connection and may overtake the close: as far as the
		// server knows the attempt is in flight until that has arrived.
		c.d.pause(heldstate.CloseNoticeGrace)
	}
	c.d.post(func() {
		a.via = call.Connection
		a.noteEnd(r, closed)
		c.noteRepeat(a.n, string(a.server), a.reads, a.sent.Time())
		if a.off != nil && r.Outcome == gannethook.Cancelled {
			begun := r.BegunBy
			r = *a.off
			r.BegunBy = begun
		}
		c.finish(a.n, r)
	})
}

// callOff ends an attempt. The module hears of its end once its goroutine has
// left the server's connection: until then the attempt is out, and a refusal or
// another attempt would cross it. One that has just ended otherwise ended so.
func (c *Call) callOff(n int, r attempt.Result) {
	if n < 0 || n >= len(c.attempts) || !c.attempts[n].out || c.attempts[n].off != nil {
		return
	}
	c.attempts[n].off = &r
	c.attempts[n].cancel()
}

// relay passes a token on, unless the request has ended.
func (c *Call) relay(text []byte) bool { return !c.gone.Load() && c.sink.Token(text) }

// started asks the driver's goroutine whether the first token may pass: it may
// not where the final answer was quicker.
func (c *Call) started(a *try) bool {
	ok := make(chan bool, 1)
	if !c.d.post(func() { ok <- c.stream(a) }) {
		return false
	}
	select {
	case yes := <-ok:
		return yes
	case <-c.d.stopped:
		return false
	}
}

func (c *Call) stream(a *try) bool {
	if !a.out || a.off != nil || c.answered || c.streaming {
		return false
	}
	c.streaming, c.first, c.writer = true, time.Now(), a.server
	c.d.tell(gannethook.Streaming{ID: c.id, Attempt: a.n, Server: a.server})
	c.takenByStream()
	return true
}

// finish takes an attempt's outcome to the module.
func (c *Call) finish(n int, r attempt.Result) {
	if ev := c.end(n, r); ev != nil {
		c.d.tell(ev)
	}
}

// end takes an attempt out and returns its event; nil if it had ended before.
// A stream's end is the client's final answer.
func (c *Call) end(n int, r attempt.Result) gannethook.Event {
	if n < 0 || n >= len(c.attempts) || !c.attempts[n].out {
		return nil
	}
	a := c.attempts[n]
	a.out, a.outcome, a.detail, a.took = false, r.Outcome, r.Detail, time.Since(a.began)
	c.out--
	c.d.loose = append(c.d.loose, c)
	a.cancel()
	c.endHolding(a, r)
	ev := gannethook.Ended{ID: c.id, Attempt: n, Server: a.server, Outcome: r.Outcome, NoState: r.NoState, Kept: r.CachedTokens,
		Reported: r.Reported, Memory: r.Memory}
	switch {
	case r.Outcome == gannethook.ReadDone:
		c.params, c.reads, c.kept = r.Params, c.reads+1, c.kept+r.CachedTokens
	case !a.reads && r.Outcome == gannethook.Served:
		if c.first.IsZero() { // the whole comes at once
			c.first = time.Now()
		}
		c.answer(Answer{Outcome: Served, Tokens: r.Tokens, Body: r.Body})
		ev.Done = true
	case !a.reads && c.streaming:
		c.answer(Answer{Outcome: Failed, Tokens: r.Tokens, Reason: "the stream broke: " + r.Detail})
		ev.Done = true
	}
	return ev
}

// timedOut calls off an attempt whose time has run out before its first token.
func (c *Call) timedOut(n int) {
	if !c.streaming {
		c.callOff(n, attempt.Result{Outcome: gannethook.TimedOut, Detail: "time-out"})
	}
}

func (c *Call) summary() Summary {
	s := Summary{ID: uint64(c.id), Name: c.job.Name, Session: c.job.SessionID, Class: c.job.ClassName, Reader: string(c.reader),
		Writer: string(c.writer), Attempts: len(c.attempts), Tokens: c.final.Tokens, Outcome: c.final.Outcome,
		Reason: c.final.Reason, Total: c.ended.Sub(c.came), RetryAfter: c.final.RetryAfter, PromptSize: c.job.PromptSize,
		Read: float64(c.reads) * c.job.PromptSize, CachedTokens: c.kept}
	if !c.first.IsZero() {
		s.FirstToken = c.first.Sub(c.came)
	}
	for _, a := range c.attempts {
		s.AttemptEnds = append(s.AttemptEnds, fmt.Sprintf("%s after %v by %s, took %v: %s", a.server, a.began.Sub(c.came).Round(time.Millisecond),
			cmp.Or(a.via, "no conn"), a.took.Round(time.Millisecond), cmp.Or(a.detail, "well")))
	}
	for _, at := range c.lets {
		s.ReleasedAfter = append(s.ReleasedAfter, at.Sub(c.came).Round(time.Millisecond))
	}
	return s
}
