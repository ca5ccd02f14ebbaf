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
	d         *Driver
	settings  *gannethook.Settings // under which it was taken
	id        gannethook.RequestID
	job       Job
	sink      Sink
	arrivedAt time.Time

	attempts     []*attemptState
	inFlight     int // attempts that are out
	answered     bool
	removed      bool
	streaming    bool
	relayStopped atomic.Bool // nothing more may be relayed
	firstTokenAt time.Time
	finalAnswer  Answer
	answeredAt   time.Time

	key          string   // of the last read
	keys         []string // of all that may be held for it
	params       []byte   // that its reader returned; nil once its state was let go
	reader       gannethook.ServerID
	writer       gannethook.ServerID
	releaseEpoch int         // how often all was let go: tells late grants
	releasedAt   []time.Time // when something was, for the log
	readsDone    int         // prompts read for it, and tokens of these that were found kept
	cachedTokens float64
}

type attemptState struct {
	index        int
	server       gannethook.ServerID
	isRead       bool
	key          string // of what it may leave or take; "": nothing is held for it
	inFlight     bool
	cancel       context.CancelFunc
	written      *attempt.Signal
	done         chan struct{}   // closed once its goroutine has left the server's connection; nil: there is none
	cancelResult *attempt.Result // what its end counts as once it was called off; nil: it was not
	startedAt    time.Time
	closedAt     time.Time // when the router closed its connection before the answer had ended; zero: it did not
	// Once it has ended; 0 before:
	outcome    gannethook.Outcome
	detail     string
	duration   time.Duration
	connection string // the connection that it went by
}

// Abandon tells that the client took the request back or left. The final answer
// is Cancelled unless another was on its way already.
func (c *Call) Abandon() {
	c.d.post(func() {
		if c.answered {
			return
		}
		c.answer(Answer{Outcome: Cancelled})
		c.d.handleEvent(gannethook.ClientGone{ID: c.id})
		for _, a := range c.attempts { // a stream is the client's: it ends with it
			if a.inFlight {
				c.finishAttempt(a.index, attempt.Result{Outcome: gannethook.Cancelled, Detail: "its client left"})
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
	c.answered, c.finalAnswer, c.answeredAt = true, a, time.Now()
	c.relayStopped.Store(true)
	c.d.unsettled = append(c.d.unsettled, c)
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
	c.reportRepeat(len(c.attempts), "", false, time.Now())
	c.answer(Answer{Outcome: Refused, RetryAfter: retryAfter})
}

// send starts an attempt. One that the guard denies is moot, as for a request
// that is answered or whose stream has begun.
func (c *Call) send(s gannethook.Send) gannethook.Event {
	allowed := c.maySend()
	a := &attemptState{index: len(c.attempts), server: s.Server, startedAt: time.Now(), isRead: c.d.roles[s.Server] == gannethook.Reader && !c.oneStage(),
		inFlight: true}
	c.attempts = append(c.attempts, a)
	c.inFlight++
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(c.d.ctx)
	if !allowed {
		return c.endAttempt(a.index, attempt.Result{Outcome: gannethook.Moot})
	}
	switch {
	case c.job.Name != "":
		c.key = c.job.Name
	case a.isRead || c.params == nil: // a server that reads and writes gets the request whole
		c.key = fmt.Sprintf("%s-%d-%d", c.d.incarnation, c.id, a.index)
	}
	switch {
	case a.isRead:
		c.reader = s.Server
	case c.oneStage():
		c.reader = s.Server
	default:
		c.writer = s.Server
	}
	a.written, a.done = attempt.NewSignal(), make(chan struct{})
	call := &attempt.Call{Written: a.written, RetriesLeft: c.retriesLeft(a.index), Trace: c.d.cfg.Trace,
		Unsafe: !a.isRead && c.settings.Classes[c.job.Class].Effect == gannethook.Unsafe, Deadline: c.attemptDeadline(s.Timeout),
		Addr: string(s.Server), Key: c.key, Model: c.job.Model, Class: c.job.ClassName,
		Tenant: c.job.TenantName, Idempotency: c.job.Idempotency, Prompt: c.job.Prompt, MaxTokens: c.job.MaxTokens,
		PromptSize: c.job.PromptSize, PrefixKey: c.job.PrefixName, Path: c.job.Path, Header: c.job.Header, Body: c.job.Body, CheckAnswer: c.job.CheckAnswer,
		Sampling: c.job.Sampling, ClientGone: c.job.ClientGone}
	if s.Within > 0 {
		call.WriteDeadline = time.Now().Add(time.Duration(float64(s.Within) * 1e6))
	}
	if !a.isRead {
		call.Params = c.params
	}
	if s.Timeout > 0 {
		c.d.schedule(time.Duration(float64(s.Timeout)*1e6), timer{call: c, attempt: a.index})
	}
	releaseDone := c.recordAttemptStart(a, call.Deadline)
	c.d.background.Go(func() {
		if releaseDone != nil {
			select {
			case <-releaseDone:
			case <-ctx.Done():
			}
		}
		c.runAttempt(ctx, a, call)
	})
	return nil
}

// attemptDeadline is how long an attempt is waited for, until the client gives up at most.
func (c *Call) attemptDeadline(timeout gannethook.Millis) time.Time {
	clientDeadline := c.arrivedAt.Add(c.job.Timeout)
	if attemptDeadline := time.Now().Add(time.Duration(float64(timeout) * 1e6)); timeout > 0 && attemptDeadline.Before(clientDeadline) {
		return attemptDeadline
	}
	return clientDeadline
}

// retriesLeft is how many attempts the request may make after the nth.
func (c *Call) retriesLeft(index int) int {
	if maxAttempts := c.settings.MaxAttempts; maxAttempts > 0 {
		return max(maxAttempts-1-index, 0)
	}
	return -1
}

// oneStage tells whether the work ends where it is read.
func (c *Call) oneStage() bool { return c.settings.Classes[c.job.Class].OneStage }

// runAttempt runs on its own goroutine.
func (c *Call) runAttempt(ctx context.Context, a *attemptState, call *attempt.Call) {
	var r attempt.Result
	switch {
	case a.isRead:
		r = c.d.cfg.Engines.Read(ctx, call)
	case c.oneStage():
		r = c.d.cfg.Engines.Do(ctx, call)
	default:
		r = c.d.cfg.Engines.Write(ctx, call, func() bool { return c.requestStreamStart(a) }, c.relayToken)
	}
	a.cancel()
	a.written.Set(false)
	close(a.done)
	closedAt := time.Now()
	if c.effect() != guard.Safe && attemptEnd(r) == heldstate.ClosedByRouter {
		// A refusal or a further attempt goes by another connection and may overtake the close: as far as the
		// server knows the attempt is in flight until that has arrived.
		c.d.pause(heldstate.CloseNoticeGrace)
	}
	c.d.post(func() {
		a.connection = call.Connection
		a.recordClose(r, closedAt)
		c.reportRepeat(a.index, string(a.server), a.isRead, a.written.Time())
		if a.cancelResult != nil && r.Outcome == gannethook.Cancelled {
			begunBy := r.BegunBy
			r = *a.cancelResult
			r.BegunBy = begunBy
		}
		c.finishAttempt(a.index, r)
	})
}

// cancelAttempt ends an attempt. The module hears of its end once its goroutine has
// left the server's connection: until then the attempt is out, and a refusal or
// another attempt would cross it. One that has just ended otherwise ended so.
func (c *Call) cancelAttempt(index int, r attempt.Result) {
	if index < 0 || index >= len(c.attempts) || !c.attempts[index].inFlight || c.attempts[index].cancelResult != nil {
		return
	}
	c.attempts[index].cancelResult = &r
	c.attempts[index].cancel()
}

// relayToken passes a token on, unless the request has ended.
func (c *Call) relayToken(text []byte) bool { return !c.relayStopped.Load() && c.sink.Token(text) }

// requestStreamStart asks the driver's goroutine whether the first token may pass: it may
// not where the final answer was quicker.
func (c *Call) requestStreamStart(a *attemptState) bool {
	answer := make(chan bool, 1)
	if !c.d.post(func() { answer <- c.startStream(a) }) {
		return false
	}
	select {
	case allowed := <-answer:
		return allowed
	case <-c.d.stopped:
		return false
	}
}

func (c *Call) startStream(a *attemptState) bool {
	if !a.inFlight || a.cancelResult != nil || c.answered || c.streaming {
		return false
	}
	c.streaming, c.firstTokenAt, c.writer = true, time.Now(), a.server
	c.d.handleEvent(gannethook.Streaming{ID: c.id, Attempt: a.index, Server: a.server})
	c.recordStreamStart()
	return true
}

// finishAttempt takes an attempt's outcome to the module.
func (c *Call) finishAttempt(index int, r attempt.Result) {
	if ev := c.endAttempt(index, r); ev != nil {
		c.d.handleEvent(ev)
	}
}

// endAttempt takes an attempt out and returns its event; nil if it had ended before.
// A stream's end is the client's final answer.
func (c *Call) endAttempt(index int, r attempt.Result) gannethook.Event {
	if index < 0 || index >= len(c.attempts) || !c.attempts[index].inFlight {
		return nil
	}
	a := c.attempts[index]
	a.inFlight, a.outcome, a.detail, a.duration = false, r.Outcome, r.Detail, time.Since(a.startedAt)
	c.inFlight--
	c.d.unsettled = append(c.d.unsettled, c)
	a.cancel()
	c.recordAttemptEnd(a, r)
	ev := gannethook.Ended{ID: c.id, Attempt: index, Server: a.server, Outcome: r.Outcome, NoState: r.NoState, Kept: r.CachedTokens,
		Reported: r.Reported, Memory: r.Memory}
	switch {
	case r.Outcome == gannethook.ReadDone:
		c.params, c.readsDone, c.cachedTokens = r.Params, c.readsDone+1, c.cachedTokens+r.CachedTokens
	case !a.isRead && r.Outcome == gannethook.Served:
		if c.firstTokenAt.IsZero() { // the whole comes at once
			c.firstTokenAt = time.Now()
		}
		c.answer(Answer{Outcome: Served, Tokens: r.Tokens, Body: r.Body})
		ev.Done = true
	case !a.isRead && c.streaming:
		c.answer(Answer{Outcome: Failed, Tokens: r.Tokens, Reason: "the stream broke: " + r.Detail})
		ev.Done = true
	}
	return ev
}

// attemptTimedOut calls off an attempt whose time has run out before its first token.
func (c *Call) attemptTimedOut(index int) {
	if !c.streaming {
		c.cancelAttempt(index, attempt.Result{Outcome: gannethook.TimedOut, Detail: "time-out"})
	}
}

func (c *Call) summary() Summary {
	s := Summary{ID: uint64(c.id), Name: c.job.Name, Session: c.job.SessionID, Class: c.job.ClassName, Reader: string(c.reader),
		Writer: string(c.writer), Attempts: len(c.attempts), Tokens: c.finalAnswer.Tokens, Outcome: c.finalAnswer.Outcome,
		Reason: c.finalAnswer.Reason, Total: c.answeredAt.Sub(c.arrivedAt), RetryAfter: c.finalAnswer.RetryAfter, PromptSize: c.job.PromptSize,
		Read: float64(c.readsDone) * c.job.PromptSize, CachedTokens: c.cachedTokens}
	if !c.firstTokenAt.IsZero() {
		s.FirstToken = c.firstTokenAt.Sub(c.arrivedAt)
	}
	for _, a := range c.attempts {
		s.AttemptEnds = append(s.AttemptEnds, fmt.Sprintf("%s after %v by %s, took %v: %s", a.server, a.startedAt.Sub(c.arrivedAt).Round(time.Millisecond),
			cmp.Or(a.connection, "no conn"), a.duration.Round(time.Millisecond), cmp.Or(a.detail, "well")))
	}
	for _, at := range c.releasedAt {
		s.ReleasedAfter = append(s.ReleasedAfter, at.Sub(c.arrivedAt).Round(time.Millisecond))
	}
	return s
}
