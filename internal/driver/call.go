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

// Call is one request, from its submission until its last attempt has ended. Only the driver's goroutine changes its fields,
// and only relayStopped is read elsewhere after the request was accepted, apart from fields that do not change.
type Call struct {
	d         *Driver
	settings  *gannethook.Settings // in force when the request was accepted
	id        gannethook.RequestID
	job       Job
	sink      Sink
	arrivedAt time.Time // at the client's connection, before any queue

	attempts     []*attemptState
	inFlight     int // number of attempts in flight
	answered     bool
	removed      bool // from the driver's table of calls
	streaming    bool
	relayStopped atomic.Bool // no further token may be relayed to the client
	firstTokenAt time.Time
	finalAnswer  Answer
	answeredAt   time.Time

	key          string   // identifies the held state of the last read
	keys         []string // of all state that may be held for the request
	params       []byte   // parameters returned by the reader; nil once its state is released
	reader       gannethook.ServerID
	writer       gannethook.ServerID
	releaseEpoch int         // number of times everything was released; identifies late grants
	releasedAt   []time.Time // times of the releases, for the log
	readsDone    int         // completed reads
	cachedTokens float64     // prompt tokens that these reads found in the servers' caches
}

// attemptState is the driver's record of one attempt.
type attemptState struct {
	index        int
	server       gannethook.ServerID
	isRead       bool   // at a reader; one-stage work counts as a write
	key          string // of the state that it may create or use; empty: none
	inFlight     bool
	cancel       context.CancelFunc
	written      *attempt.Signal
	done         chan struct{}   // closed when its goroutine no longer uses the server's connection; nil: no goroutine was started
	cancelResult *attempt.Result // result to report once it is cancelled; nil: it was not cancelled
	startedAt    time.Time
	closedAt     time.Time // when the router closed its connection before the answer had ended; zero: it did not
	// Set when the attempt ends:
	outcome    gannethook.Outcome
	detail     string
	duration   time.Duration
	connection string // the connection that carried it
}

// Cancel reports that the client cancelled the request or disconnected. The final answer is Cancelled unless another answer
// came first.
func (c *Call) Cancel() {
	c.d.post(func() {
		if c.answered {
			return
		}
		c.answer(Answer{Outcome: Cancelled})
		c.d.handleEvent(gannethook.ClientGone{ID: c.id})
		for _, a := range c.attempts { // a stream ends when its client disconnects
			if a.inFlight {
				c.finishAttempt(a.index, attempt.Result{Outcome: gannethook.Cancelled, Detail: "client disconnected"})
			}
		}
	})
}

// answer gives the final answer unless one was given before.
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

// refuse answers with a refusal, or with a failure where an attempt may have run: only a refusal promises that it did not.
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

// send starts an attempt. If the guard denies it, such as for a request that is answered or whose stream has started, its
// outcome is Moot.
func (c *Call) send(s gannethook.Send) gannethook.Event {
	allowed := c.maySend()
	a := &attemptState{index: len(c.attempts), server: s.Server, startedAt: time.Now(),
		isRead: c.d.roles[s.Server] == gannethook.Reader && !c.oneStage(), inFlight: true}
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
	case a.isRead || c.params == nil: // a server that both reads and writes gets the whole request
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
		PromptSize: c.job.PromptSize, PrefixKey: c.job.PrefixName, Path: c.job.Path, Header: c.job.Header, Body: c.job.Body,
		CheckAnswer: c.job.CheckAnswer, Sampling: c.job.Sampling, ClientGone: c.job.ClientGone}
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

// attemptDeadline returns until when the router waits for an attempt: for its timeout, at most until the client's deadline.
func (c *Call) attemptDeadline(timeout gannethook.Millis) time.Time {
	clientDeadline := c.arrivedAt.Add(c.job.Timeout)
	if attemptDeadline := time.Now().Add(time.Duration(float64(timeout) * 1e6)); timeout > 0 && attemptDeadline.Before(clientDeadline) {
		return attemptDeadline
	}
	return clientDeadline
}

// retriesLeft returns the number of attempts that the request may make after the one with the given index; negative:
// unlimited.
func (c *Call) retriesLeft(index int) int {
	if maxAttempts := c.settings.MaxAttempts; maxAttempts > 0 {
		return max(maxAttempts-1-index, 0)
	}
	return -1
}

// oneStage reports whether the work ends at the server that reads the prompt.
func (c *Call) oneStage() bool { return c.settings.Classes[c.job.Class].OneStage }

// runAttempt makes the attempt and posts its result. It runs on the attempt's own goroutine.
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
		// A refusal or a further attempt uses another connection and may overtake the close: for the server the attempt is
		// in flight until the close arrives.
		c.d.pause(heldstate.CloseGrace)
	}
	c.d.post(func() {
		a.connection = call.Connection
		a.recordClose(r, closedAt)
		c.reportRepeat(a.index, string(a.server), a.isRead, a.written.Time())
		if a.cancelResult != nil && r.Outcome == gannethook.Cancelled {
			begunBy := r.StartedBy
			r = *a.cancelResult
			r.StartedBy = begunBy
		}
		c.finishAttempt(a.index, r)
	})
}

// cancelAttempt cancels an attempt. Its end is reported to the decision module only when its goroutine no longer uses the
// server's connection: until then the attempt is in flight, and a refusal or another attempt could overtake its close. If
// the attempt has just ended with another outcome, that outcome stands.
func (c *Call) cancelAttempt(index int, r attempt.Result) {
	if index < 0 || index >= len(c.attempts) || !c.attempts[index].inFlight || c.attempts[index].cancelResult != nil {
		return
	}
	c.attempts[index].cancelResult = &r
	c.attempts[index].cancel()
}

// relayToken passes a token to the client unless the request has ended.
func (c *Call) relayToken(text []byte) bool { return !c.relayStopped.Load() && c.sink.Token(text) }

// requestStreamStart asks the driver's goroutine whether the first token may be relayed; it may not if the final answer came
// first.
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

// startStream starts the stream of an attempt unless the attempt or its request has ended or another stream has started.
func (c *Call) startStream(a *attemptState) bool {
	if !a.inFlight || a.cancelResult != nil || c.answered || c.streaming {
		return false
	}
	c.streaming, c.firstTokenAt, c.writer = true, time.Now(), a.server
	c.d.handleEvent(gannethook.Streaming{ID: c.id, Attempt: a.index, Server: a.server})
	c.recordStreamStart()
	return true
}

// finishAttempt passes the result of an attempt to the decision module.
func (c *Call) finishAttempt(index int, r attempt.Result) {
	if ev := c.endAttempt(index, r); ev != nil {
		c.d.handleEvent(ev)
	}
}

// endAttempt records the end of an attempt and returns the event for the decision module; nil if it had ended before. The
// end of a stream is the client's final answer.
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
		if c.firstTokenAt.IsZero() { // the whole answer comes at once
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

// attemptTimedOut cancels an attempt that reached its timeout before its first token.
func (c *Call) attemptTimedOut(index int) {
	if !c.streaming {
		c.cancelAttempt(index, attempt.Result{Outcome: gannethook.TimedOut, Detail: "time-out"})
	}
}

// summary returns the log record of the request.
func (c *Call) summary() Summary {
	s := Summary{ID: uint64(c.id), Name: c.job.Name, Session: c.job.SessionID, Class: c.job.ClassName, Reader: string(c.reader),
		Writer: string(c.writer), Attempts: len(c.attempts), Tokens: c.finalAnswer.Tokens, Outcome: c.finalAnswer.Outcome,
		Reason: c.finalAnswer.Reason, Total: c.answeredAt.Sub(c.arrivedAt), RetryAfter: c.finalAnswer.RetryAfter,
		PromptSize: c.job.PromptSize, ReadTokens: float64(c.readsDone) * c.job.PromptSize, CachedTokens: c.cachedTokens}
	if !c.firstTokenAt.IsZero() {
		s.FirstToken = c.firstTokenAt.Sub(c.arrivedAt)
	}
	for _, a := range c.attempts {
		s.AttemptEnds = append(s.AttemptEnds, fmt.Sprintf("%s after %v by %s, took %v: %s", a.server,
			a.startedAt.Sub(c.arrivedAt).Round(time.Millisecond), cmp.Or(a.connection, "no connection"), a.duration.Round(time.Millisecond), cmp.Or(a.detail, "well")))
	}
	for _, at := range c.releasedAt {
		s.ReleasedAfter = append(s.ReleasedAfter, at.Sub(c.arrivedAt).Round(time.Millisecond))
	}
	return s
}
