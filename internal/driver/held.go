package driver

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/faults"
	"gannethook/internal/guard"
	"gannethook/internal/heldstate"
	"gannethook/internal/holdmonitor"
)

// The ledger of internal/heldstate decides when what servers hold is released.
// Here it is told what happened, and its calls are made.

const (
	lookEvery   = 2 * time.Millisecond  // between two looks through what is owed at the least
	hearEvery   = 20 * time.Millisecond // between two looks at whether servers in doubt were heard
	lingerShort = 2 * time.Second       // for which Run lets go after its context has ended, where it is not told
)

// terms are those of what is held for the request.
func (c *Call) terms() heldstate.Terms {
	return heldstate.Terms{Request: cmp.Or(c.job.Name, strconv.FormatUint(uint64(c.id), 10)), Shared: c.job.Name != "", PreservesWaiting: c.set.SparesWaited,
		PinLimit: time.Duration(float64(c.set.PinLimit) * float64(time.Millisecond))}
}

// beginHolding notes that an attempt is sent, whose server is told how long it is waited for. It returns what closes once the attempt may be
// written: a release lets go of all that a named request holds, also of what comes after it, and goes first.
func (c *Call) beginHolding(a *try, until time.Time) (before chan struct{}) {
	if c.oneStage() {
		return nil
	}
	a.key = c.key
	if len(c.keys) == 0 || c.keys[len(c.keys)-1] != c.key {
		c.keys = append(c.keys, c.key)
	}
	d := c.d
	if a.reads {
		delete(d.oldFaults, a.key)
	}
	d.makeReleases(d.held.Flush(a.key))
	d.heldChanged()
	terms := c.terms()
	terms.AttemptTimeout = max(time.Until(until), time.Millisecond)
	if faults.Broken(faults.BreakLost) || faults.Broken(faults.BreakUnheard) {
		terms.AttemptTimeout = -1
	}
	d.held.AttemptStarted(a.key, terms, string(a.server), a.reads, time.Now())
	d.watch.Sent(a.key, terms.Request, terms.PinLimit, a.watched(), string(a.server), time.Now())
	return d.going[a.key]
}

// endHolding notes how an attempt ended.
func (c *Call) endHolding(a *try, r attempt.Result) {
	if a.key == "" {
		return
	}
	end := endOf(r)
	if end == heldstate.ClosedByRouter && !r.BegunBy.IsZero() {
		c.d.held.AttemptBegunBy(a.key, string(a.server), a.reads, r.BegunBy)
	}
	if a.reads {
		c.d.held.ReadEnded(a.key, string(a.server), end, time.Now())
	} else {
		c.d.held.WriteEnded(a.key, string(a.server), end, time.Now())
	}
	c.d.watch.Ended(a.key, a.watched(), string(a.server), watchedEnd(end), time.Now())
	c.d.heldChanged()
}

// watched is the attempt's kind in reports of silence.
func (a *try) watched() holdmonitor.Kind {
	if a.reads {
		return holdmonitor.Read
	}
	return holdmonitor.Write
}

// watchedEnd is an end in reports of silence.
func watchedEnd(end heldstate.AttemptEnd) holdmonitor.Outcome {
	switch end {
	case heldstate.NotSent:
		return holdmonitor.NotSent
	case heldstate.Rejected:
		return holdmonitor.Rejected
	case heldstate.Completed:
		return holdmonitor.Answered
	}
	return holdmonitor.NoAnswer
}

// endOf tells what an attempt's outcome means for what it may have left.
func endOf(r attempt.Result) heldstate.AttemptEnd {
	switch r.Outcome {
	case gannethook.ConnectFailed, gannethook.NotTried:
		return heldstate.NotSent
	case gannethook.Full, gannethook.Moot:
		return heldstate.Rejected
	case gannethook.Cancelled, gannethook.TimedOut, gannethook.Broken:
		if r.ClosedByServer && r.Outcome == gannethook.Broken && !faults.Broken(faults.BreakOvertake) {
			return heldstate.ClosedByServer
		}
		if faults.Broken(faults.BreakOvertake) {
			return heldstate.Completed
		}
		return heldstate.ClosedByRouter
	}
	if r.Interrupted {
		return heldstate.ClosedByRouter
	}
	return heldstate.Completed
}

// hold asks for a place on a goroutine of its own, where servers share what they know once the read is written: what may be
// held counts from when it is asked for.
func (c *Call) hold(w gannethook.ServerID) {
	n := len(c.attempts) - 1
	if n < 0 || c.key == "" {
		return
	}
	call := &attempt.Call{Addr: string(w), Key: c.key, PromptSize: c.job.PromptSize, MaxTokens: c.job.MaxTokens,
		Class: c.job.ClassName, Written: c.attempts[n].sent}
	reader, epoch, h := string(c.reader), c.releases, attempt.Held{Addr: string(w), Key: c.key}
	c.d.work.Go(func() {
		asks := make(chan bool, 1)
		written := c.job.Name == "" || call.Written.Wait(c.d.ctx)
		if !c.d.post(func() { asks <- c.ask(h, n, epoch, written) }) {
			return
		}
		select {
		case ask := <-asks:
			if !ask {
				return
			}
		case <-c.d.stopped: // the driver may have ended before it came to that
			return
		}
		place := c.d.cfg.Engines.Hold(c.d.ctx, call, reader)
		if !c.d.post(func() { c.granted(h, n, epoch, place) }) {
			c.d.cfg.Engines.Release(context.WithoutCancel(c.d.ctx), []attempt.Held{h})
		}
	})
}

// ask notes that a place is asked for, unless its read was not written, or has ended meanwhile.
func (c *Call) ask(h attempt.Held, n, epoch int, written bool) bool {
	if c.forgotten || epoch != c.releases || !c.attempts[n].out {
		return false
	}
	if !written {
		c.tellPlace(n, attempt.Denied)
		return false
	}
	terms, now := c.terms(), time.Now()
	c.d.held.PlaceRequested(h.Key, terms, h.Addr, now)
	c.d.watch.Sent(h.Key, terms.Request, terms.PinLimit, holdmonitor.Reservation, h.Addr, now)
	c.d.heldChanged()
	return true
}

// tellPlace tells the module how the asking for a place ended.
func (c *Call) tellPlace(n int, place attempt.PlaceResult) {
	// A named request has one place at most: while it is not known whether it is held, no other is asked for.
	known := place == attempt.Granted || place == attempt.Denied
	if c.attempts[n].out && (known || c.job.Name == "") {
		c.d.tell(gannethook.Held{ID: c.id, Attempt: n, OK: place == attempt.Granted})
	}
}

// grants is what the answers to a request for a place mean for what may be held, and for reports of silence.
var grants = map[attempt.PlaceResult]struct {
	grant   heldstate.PlaceResult
	outcome holdmonitor.Outcome
}{
	attempt.Denied:   {heldstate.Denied, holdmonitor.Rejected},
	attempt.Granted:  {heldstate.Granted, holdmonitor.Answered},
	attempt.Unknown:  {heldstate.Unknown, holdmonitor.Answered},
	attempt.NoAnswer: {heldstate.NoAnswer, holdmonitor.NoAnswer},
}

// granted takes the answer to a hold that was asked for during attempt n. Where all was let go meanwhile
// the ledger has it let go as well.
func (c *Call) granted(h attempt.Held, n, epoch int, place attempt.PlaceResult) {
	c.d.placed(h.Key, h.Addr, place)
	if !c.forgotten && epoch == c.releases {
		c.tellPlace(n, place)
	}
}

// release has all let go that may be held.
func (c *Call) release() {
	c.params = nil
	c.releases++
	if c.key == "" {
		return
	}
	if c.d.oldFaults.forgets(c.key) {
		return
	}
	c.lets = append(c.lets, time.Now())
	c.d.held.RequestRelease(c.key, time.Now())
	c.d.wanted = append(c.d.wanted, c.key)
}

// takenByStream notes the first event of the answer, with which all goes that is held.
func (c *Call) takenByStream() {
	c.params = nil
	c.releases++
	c.d.hear()
	c.d.held.StreamStarted(c.key, time.Now())
	c.d.watch.Streaming(c.key)
	c.d.heldChanged()
}

// owe has the ledger let go of all that is left of the request, now or later.
func (c *Call) owe() {
	c.d.anyOver = true
	for _, key := range c.keys {
		if !c.d.oldFaults.forgets(key) {
			c.d.held.RequestEnded(key, time.Now())
		}
	}
	c.d.heldChanged()
}

// leftOut tells whether an attempt stays out although the request is answered, as where nothing may be called off.
func (c *Call) leftOut() bool {
	return !c.streaming && slices.ContainsFunc(c.attempts, func(a *try) bool { return a.out && a.off == nil })
}

// newProbeKey returns a key of the form of the platform's request ids that no request has: a release by it lets go of nothing, and
// its answer proves that the server runs.
func newProbeKey() string {
	var key [8]byte
	rand.Read(key[:]) // never fails
	return hex.EncodeToString(key[:])
}

// settleHeld schedules the releases that were asked for, where no attempt has followed.
func (d *Driver) settleHeld() {
	for _, key := range d.wanted {
		d.held.ScheduleRelease(key, time.Now())
		d.heldChanged()
	}
	d.wanted = d.wanted[:0]
}

// hear tells the ledger which of the servers that are in doubt have answered.
func (d *Driver) hear() {
	now := time.Now()
	for _, server := range d.held.ServersToMonitor() {
		switch {
		case faults.Broken(faults.BreakUnheard):
			d.held.ServerAnswered(server, now, now.Add(-time.Second), now)
		case faults.Broken(faults.BreakFirst) && !d.anyOver:
			d.held.ServerAnswered(server, now, now, now)
		}
		if sent, answered := d.cfg.Engines.LastAnswer(server); !sent.IsZero() {
			d.held.ServerAnswered(server, sent, answered, now)
		}
	}
	d.hearAt = now.Add(hearEvery)
}

// releaseDue makes the releases that are due, and passes on what the ledger reports. What is owed is looked through
// only when something of it has changed, or is due: there may be thousands.
func (d *Driver) releaseDue() {
	now := time.Now()
	d.reportSilence(now)
	if !d.held.MayBeDue() || now.Before(d.heldAt) {
		return
	}
	if !now.Before(d.hearAt) {
		d.hear()
	}
	d.makeReleases(d.held.Due(now))
	d.reportHeld()
	d.lookedAt, d.heldAt = now, now.Add(time.Hour)
	if next := d.held.Next(); !next.IsZero() {
		d.heldAt = next
	}
	if len(d.held.UnconfirmedServers()) > 0 && d.hearAt.Before(d.heldAt) {
		d.heldAt = d.hearAt
	}
}

// reportSilence passes on which requests nothing was heard of although servers may hold something for them.
func (d *Driver) reportSilence(now time.Time) {
	for _, r := range d.watch.Due(now) {
		if d.cfg.OnSilence != nil {
			d.cfg.OnSilence(r)
		}
	}
}

// heldChanged has what is owed looked through again, soon.
func (d *Driver) heldChanged() { d.heldAt = d.lookedAt.Add(lookEvery) }

func (d *Driver) reportHeld() {
	for _, r := range d.held.Reports() {
		if d.cfg.OnPendingRelease != nil {
			d.cfg.OnPendingRelease(r)
		}
	}
	for _, f := range d.held.Abandoned() {
		d.cfg.Guard.Check(guard.Abandon, guard.MayAbandon(guard.AbandonFacts{Stopped: f.Reason == heldstate.RouterStopped}), f.Request)
		if d.cfg.OnAbandoned != nil {
			d.cfg.OnAbandoned(f)
		}
	}
}

// nextRelease is in how long the ledger may have something to do.
func (d *Driver) nextRelease() time.Duration {
	wait := time.Hour
	if next := d.watch.Next(); !next.IsZero() {
		wait = time.Until(next)
	}
	if d.held.MayBeDue() {
		wait = min(wait, time.Until(d.heldAt))
	}
	return wait
}

// makeReleases makes releases on goroutines of their own.
func (d *Driver) makeReleases(calls []heldstate.ReleaseCall) {
	for _, call := range calls {
		if d.oldFaults.leavesOut(call) {
			d.held.ReleaseEnded(call, heldstate.ReleaseResult{Acknowledged: true, SentAt: time.Now()}, time.Now())
			continue
		}
		list := make([]attempt.Held, 0, len(call.Servers)+1)
		for _, server := range call.Servers {
			list = append(list, attempt.Held{Addr: server, Key: call.Key})
		}
		if len(list) == 0 {
			list = append(list, attempt.Held{Key: call.Key})
		}
		if call.Liveness {
			list[0].Key = d.probeKey
		}
		if call.Probe {
			d.work.Go(func() {
				r := d.cfg.Engines.ReleaseAt(context.WithoutCancel(d.ctx), list[0])
				d.post(func() { d.released(call, r) })
			})
			continue
		}
		d.watch.Sent(call.Key, "", 0, holdmonitor.Release, "", time.Now())
		earlier, gone := d.going[call.Key], make(chan struct{})
		d.going[call.Key] = gone
		d.work.Go(func() {
			if wait := time.Until(call.NotBefore); !call.NotBefore.IsZero() && wait > 0 {
				time.Sleep(wait)
			}
			r := d.release(call, list)
			if earlier != nil {
				<-earlier
			}
			close(gone)
			d.post(func() {
				if d.going[call.Key] == gone {
					delete(d.going, call.Key)
				}
				d.released(call, r)
			})
		})
	}
}

// release makes one release.
func (d *Driver) release(call heldstate.ReleaseCall, list []attempt.Held) attempt.ReleaseResult {
	ctx := context.WithoutCancel(d.ctx)
	if call.SuspectedOnly {
		return d.cfg.Engines.ReleaseAt(ctx, attempt.Held{Key: call.Key})
	}
	return d.cfg.Engines.Release(ctx, list)
}

// placed notes how the asking for a place ended.
func (d *Driver) placed(key, server string, place attempt.PlaceResult) {
	end, now := grants[place], time.Now()
	d.held.PlaceRequestEnded(key, server, end.grant, now)
	d.watch.Ended(key, holdmonitor.Reservation, server, end.outcome, now)
	d.heldChanged()
}

func (d *Driver) released(call heldstate.ReleaseCall, r attempt.ReleaseResult) {
	if !r.Acknowledged && !call.Probe && faults.Broken(faults.BreakGiveUp) {
		r = attempt.ReleaseResult{Acknowledged: true, SentAt: time.Now()}
	}
	d.held.ReleaseEnded(call, heldstate.ReleaseResult(r), time.Now())
	if !call.Probe {
		how := holdmonitor.NoAnswer
		if r.Acknowledged {
			how = holdmonitor.Answered
		}
		d.watch.Ended(call.Key, holdmonitor.Release, r.Server, how, time.Now())
	}
	d.heldChanged()
}

// SetReleaseDeadline sets until when Run goes on letting go of what is held after its context has ended.
func (d *Driver) SetReleaseDeadline(until time.Time) { d.lingerUntil.Store(&until) }

// linger lets go of what is owed once the context has ended and all is answered, for as long as it may.
func (d *Driver) linger(alarm *time.Timer) {
	end := time.Now().Add(lingerShort)
	if until := d.lingerUntil.Load(); until != nil {
		end = *until
	}
	over := time.NewTimer(time.Until(end))
	defer over.Stop()
	for d.held.HasConfirmedPending() {
		d.releaseDue()
		alarm.Reset(max(d.nextRelease(), 0))
		select {
		case f := <-d.inbox:
			d.run(f)
		case <-alarm.C:
		case <-over.C:
			d.held.Stop(time.Now())
			d.reportHeld()
			return
		}
	}
}
