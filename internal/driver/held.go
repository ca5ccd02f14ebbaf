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
	ledgerCheckInterval   = 2 * time.Millisecond  // between two looks through what is owed at the least
	livenessPollInterval  = 20 * time.Millisecond // between two looks at whether servers in doubt were heard
	defaultReleaseTimeout = 2 * time.Second       // for which Run lets go after its context has ended, where it is not told
)

// terms are those of what is held for the request.
func (c *Call) terms() heldstate.Terms {
	return heldstate.Terms{Request: cmp.Or(c.job.Name, strconv.FormatUint(uint64(c.id), 10)), Shared: c.job.Name != "", PreservesWaiting: c.settings.SparesWaited,
		PinLimit: time.Duration(float64(c.settings.PinLimit) * float64(time.Millisecond))}
}

// recordAttemptStart notes that an attempt is sent, whose server is told how long it is waited for. It returns what closes once the attempt may be
// written: a release lets go of all that a named request holds, also of what comes after it, and goes first.
func (c *Call) recordAttemptStart(a *attemptState, deadline time.Time) (releaseDone chan struct{}) {
	if c.oneStage() {
		return nil
	}
	a.key = c.key
	if len(c.keys) == 0 || c.keys[len(c.keys)-1] != c.key {
		c.keys = append(c.keys, c.key)
	}
	d := c.d
	if a.isRead {
		delete(d.regressions, a.key)
	}
	d.startReleases(d.ledger.Flush(a.key))
	d.scheduleLedgerCheck()
	terms := c.terms()
	terms.AttemptTimeout = max(time.Until(deadline), time.Millisecond)
	if faults.Broken(faults.BreakLost) || faults.Broken(faults.BreakUnheard) {
		terms.AttemptTimeout = -1
	}
	d.ledger.AttemptStarted(a.key, terms, string(a.server), a.isRead, time.Now())
	d.holdMonitor.Sent(a.key, terms.Request, terms.PinLimit, a.monitorKind(), string(a.server), time.Now())
	return d.releasesInFlight[a.key]
}

// recordAttemptEnd notes how an attempt ended.
func (c *Call) recordAttemptEnd(a *attemptState, r attempt.Result) {
	if a.key == "" {
		return
	}
	end := attemptEnd(r)
	if end == heldstate.ClosedByRouter && !r.BegunBy.IsZero() {
		c.d.ledger.AttemptBegunBy(a.key, string(a.server), a.isRead, r.BegunBy)
	}
	if a.isRead {
		c.d.ledger.ReadEnded(a.key, string(a.server), end, time.Now())
	} else {
		c.d.ledger.WriteEnded(a.key, string(a.server), end, time.Now())
	}
	c.d.holdMonitor.Ended(a.key, a.monitorKind(), string(a.server), monitorOutcome(end), time.Now())
	c.d.scheduleLedgerCheck()
}

// monitorKind is the attempt's kind in reports of silence.
func (a *attemptState) monitorKind() holdmonitor.Kind {
	if a.isRead {
		return holdmonitor.Read
	}
	return holdmonitor.Write
}

// monitorOutcome is an end in reports of silence.
func monitorOutcome(end heldstate.AttemptEnd) holdmonitor.Outcome {
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

// attemptEnd tells what an attempt's outcome means for what it may have left.
func attemptEnd(r attempt.Result) heldstate.AttemptEnd {
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

// holdPlace asks for a place on a goroutine of its own, where servers share what they know once the read is written: what may be
// held counts from when it is asked for.
func (c *Call) holdPlace(writer gannethook.ServerID) {
	index := len(c.attempts) - 1
	if index < 0 || c.key == "" {
		return
	}
	call := &attempt.Call{Addr: string(writer), Key: c.key, PromptSize: c.job.PromptSize, MaxTokens: c.job.MaxTokens,
		Class: c.job.ClassName, Written: c.attempts[index].written}
	reader, epoch, h := string(c.reader), c.releaseEpoch, attempt.Held{Addr: string(writer), Key: c.key}
	c.d.background.Go(func() {
		allowed := make(chan bool, 1)
		written := c.job.Name == "" || call.Written.Wait(c.d.ctx)
		if !c.d.post(func() { allowed <- c.recordPlaceRequest(h, index, epoch, written) }) {
			return
		}
		select {
		case ok := <-allowed:
			if !ok {
				return
			}
		case <-c.d.stopped: // the driver may have ended before it came to that
			return
		}
		place := c.d.cfg.Engines.Hold(c.d.ctx, call, reader)
		if !c.d.post(func() { c.placeAnswered(h, index, epoch, place) }) {
			c.d.cfg.Engines.Release(context.WithoutCancel(c.d.ctx), []attempt.Held{h})
		}
	})
}

// recordPlaceRequest notes that a place is asked for, unless its read was not written, or has ended meanwhile.
func (c *Call) recordPlaceRequest(h attempt.Held, index, epoch int, written bool) bool {
	if c.removed || epoch != c.releaseEpoch || !c.attempts[index].inFlight {
		return false
	}
	if !written {
		c.notifyPlace(index, attempt.Denied)
		return false
	}
	terms, now := c.terms(), time.Now()
	c.d.ledger.PlaceRequested(h.Key, terms, h.Addr, now)
	c.d.holdMonitor.Sent(h.Key, terms.Request, terms.PinLimit, holdmonitor.Reservation, h.Addr, now)
	c.d.scheduleLedgerCheck()
	return true
}

// notifyPlace tells the module how the asking for a place ended.
func (c *Call) notifyPlace(index int, place attempt.PlaceResult) {
	// A named request has one place at most: while it is not known whether it is held, no other is asked for.
	known := place == attempt.Granted || place == attempt.Denied
	if c.attempts[index].inFlight && (known || c.job.Name == "") {
		c.d.handleEvent(gannethook.Held{ID: c.id, Attempt: index, OK: place == attempt.Granted})
	}
}

// placeOutcomes is what the answers to a request for a place mean for what may be held, and for reports of silence.
var placeOutcomes = map[attempt.PlaceResult]struct {
	grant   heldstate.PlaceResult
	outcome holdmonitor.Outcome
}{
	attempt.Denied:   {heldstate.Denied, holdmonitor.Rejected},
	attempt.Granted:  {heldstate.Granted, holdmonitor.Answered},
	attempt.Unknown:  {heldstate.Unknown, holdmonitor.Answered},
	attempt.NoAnswer: {heldstate.NoAnswer, holdmonitor.NoAnswer},
}

// placeAnswered takes the answer to a hold that was asked for during attempt n. Where all was let go meanwhile
// the ledger has it let go as well.
func (c *Call) placeAnswered(h attempt.Held, index, epoch int, place attempt.PlaceResult) {
	c.d.placeRequestEnded(h.Key, h.Addr, place)
	if !c.removed && epoch == c.releaseEpoch {
		c.notifyPlace(index, place)
	}
}

// release has all let go that may be held.
func (c *Call) release() {
	c.params = nil
	c.releaseEpoch++
	if c.key == "" {
		return
	}
	if c.d.regressions.dropsKey(c.key) {
		return
	}
	c.releasedAt = append(c.releasedAt, time.Now())
	c.d.ledger.RequestRelease(c.key, time.Now())
	c.d.releaseRequests = append(c.d.releaseRequests, c.key)
}

// recordStreamStart notes the first event of the answer, with which all goes that is held.
func (c *Call) recordStreamStart() {
	c.params = nil
	c.releaseEpoch++
	c.d.pollLiveness()
	c.d.ledger.StreamStarted(c.key, time.Now())
	c.d.holdMonitor.Streaming(c.key)
	c.d.scheduleLedgerCheck()
}

// recordRequestEnd has the ledger let go of all that is left of the request, now or later.
func (c *Call) recordRequestEnd() {
	c.d.anyRequestEnded = true
	for _, key := range c.keys {
		if !c.d.regressions.dropsKey(key) {
			c.d.ledger.RequestEnded(key, time.Now())
		}
	}
	c.d.scheduleLedgerCheck()
}

// hasUncancelledAttempt tells whether an attempt stays out although the request is answered, as where nothing may be called off.
func (c *Call) hasUncancelledAttempt() bool {
	return !c.streaming && slices.ContainsFunc(c.attempts, func(a *attemptState) bool { return a.inFlight && a.cancelResult == nil })
}

// newLivenessKey returns a key of the form of the platform's request ids that no request has: a release by it lets go of nothing, and
// its answer proves that the server runs.
func newLivenessKey() string {
	var key [8]byte
	rand.Read(key[:]) // never fails
	return hex.EncodeToString(key[:])
}

// scheduleReleases schedules the releases that were asked for, where no attempt has followed.
func (d *Driver) scheduleReleases() {
	for _, key := range d.releaseRequests {
		d.ledger.ScheduleRelease(key, time.Now())
		d.scheduleLedgerCheck()
	}
	d.releaseRequests = d.releaseRequests[:0]
}

// pollLiveness tells the ledger which of the servers that are in doubt have answered.
func (d *Driver) pollLiveness() {
	now := time.Now()
	for _, server := range d.ledger.ServersToMonitor() {
		switch {
		case faults.Broken(faults.BreakUnheard):
			d.ledger.ServerAnswered(server, now, now.Add(-time.Second), now)
		case faults.Broken(faults.BreakFirst) && !d.anyRequestEnded:
			d.ledger.ServerAnswered(server, now, now, now)
		}
		if sent, answered := d.cfg.Engines.LastAnswer(server); !sent.IsZero() {
			d.ledger.ServerAnswered(server, sent, answered, now)
		}
	}
	d.nextLivenessPoll = now.Add(livenessPollInterval)
}

// startDueReleases makes the releases that are due, and passes on what the ledger reports. What is owed is looked through
// only when something of it has changed, or is due: there may be thousands.
func (d *Driver) startDueReleases() {
	now := time.Now()
	d.reportUnanswered(now)
	if !d.ledger.MayBeDue() || now.Before(d.nextLedgerCheck) {
		return
	}
	if !now.Before(d.nextLivenessPoll) {
		d.pollLiveness()
	}
	d.startReleases(d.ledger.Due(now))
	d.deliverReports()
	d.lastLedgerCheck, d.nextLedgerCheck = now, now.Add(time.Hour)
	if next := d.ledger.Next(); !next.IsZero() {
		d.nextLedgerCheck = next
	}
	if len(d.ledger.UnconfirmedServers()) > 0 && d.nextLivenessPoll.Before(d.nextLedgerCheck) {
		d.nextLedgerCheck = d.nextLivenessPoll
	}
}

// reportUnanswered passes on which requests nothing was heard of although servers may hold something for them.
func (d *Driver) reportUnanswered(now time.Time) {
	for _, r := range d.holdMonitor.Due(now) {
		if d.cfg.OnSilence != nil {
			d.cfg.OnSilence(r)
		}
	}
}

// scheduleLedgerCheck has what is owed looked through again, soon.
func (d *Driver) scheduleLedgerCheck() {
	d.nextLedgerCheck = d.lastLedgerCheck.Add(ledgerCheckInterval)
}

func (d *Driver) deliverReports() {
	for _, r := range d.ledger.Reports() {
		if d.cfg.OnPendingRelease != nil {
			d.cfg.OnPendingRelease(r)
		}
	}
	for _, entry := range d.ledger.Abandoned() {
		d.cfg.Guard.Check(guard.Abandon, guard.MayAbandon(guard.AbandonFacts{Stopped: entry.Reason == heldstate.RouterStopped}), entry.Request)
		if d.cfg.OnAbandoned != nil {
			d.cfg.OnAbandoned(entry)
		}
	}
}

// untilNextCheck is in how long the ledger may have something to do.
func (d *Driver) untilNextCheck() time.Duration {
	wait := time.Hour
	if next := d.holdMonitor.Next(); !next.IsZero() {
		wait = time.Until(next)
	}
	if d.ledger.MayBeDue() {
		wait = min(wait, time.Until(d.nextLedgerCheck))
	}
	return wait
}

// startReleases makes releases on goroutines of their own.
func (d *Driver) startReleases(calls []heldstate.ReleaseCall) {
	for _, call := range calls {
		if d.regressions.skips(call) {
			d.ledger.ReleaseEnded(call, heldstate.ReleaseResult{Acknowledged: true, SentAt: time.Now()}, time.Now())
			continue
		}
		targets := make([]attempt.Held, 0, len(call.Servers)+1)
		for _, server := range call.Servers {
			targets = append(targets, attempt.Held{Addr: server, Key: call.Key})
		}
		if len(targets) == 0 {
			targets = append(targets, attempt.Held{Key: call.Key})
		}
		if call.Liveness {
			targets[0].Key = d.livenessKey
		}
		if call.Probe {
			d.background.Go(func() {
				r := d.cfg.Engines.ReleaseAt(context.WithoutCancel(d.ctx), targets[0])
				d.post(func() { d.releaseEnded(call, r) })
			})
			continue
		}
		d.holdMonitor.Sent(call.Key, "", 0, holdmonitor.Release, "", time.Now())
		earlier, done := d.releasesInFlight[call.Key], make(chan struct{})
		d.releasesInFlight[call.Key] = done
		d.background.Go(func() {
			if wait := time.Until(call.NotBefore); !call.NotBefore.IsZero() && wait > 0 {
				time.Sleep(wait)
			}
			r := d.sendRelease(call, targets)
			if earlier != nil {
				<-earlier
			}
			close(done)
			d.post(func() {
				if d.releasesInFlight[call.Key] == done {
					delete(d.releasesInFlight, call.Key)
				}
				d.releaseEnded(call, r)
			})
		})
	}
}

// sendRelease makes one release.
func (d *Driver) sendRelease(call heldstate.ReleaseCall, targets []attempt.Held) attempt.ReleaseResult {
	ctx := context.WithoutCancel(d.ctx)
	if call.SuspectedOnly {
		return d.cfg.Engines.ReleaseAt(ctx, attempt.Held{Key: call.Key})
	}
	return d.cfg.Engines.Release(ctx, targets)
}

// placeRequestEnded notes how the asking for a place ended.
func (d *Driver) placeRequestEnded(key, server string, place attempt.PlaceResult) {
	outcome, now := placeOutcomes[place], time.Now()
	d.ledger.PlaceRequestEnded(key, server, outcome.grant, now)
	d.holdMonitor.Ended(key, holdmonitor.Reservation, server, outcome.outcome, now)
	d.scheduleLedgerCheck()
}

func (d *Driver) releaseEnded(call heldstate.ReleaseCall, r attempt.ReleaseResult) {
	if !r.Acknowledged && !call.Probe && faults.Broken(faults.BreakGiveUp) {
		r = attempt.ReleaseResult{Acknowledged: true, SentAt: time.Now()}
	}
	d.ledger.ReleaseEnded(call, heldstate.ReleaseResult(r), time.Now())
	if !call.Probe {
		outcome := holdmonitor.NoAnswer
		if r.Acknowledged {
			outcome = holdmonitor.Answered
		}
		d.holdMonitor.Ended(call.Key, holdmonitor.Release, r.Server, outcome, time.Now())
	}
	d.scheduleLedgerCheck()
}

// SetReleaseDeadline sets until when Run goes on letting go of what is held after its context has ended.
func (d *Driver) SetReleaseDeadline(deadline time.Time) { d.releaseDeadline.Store(&deadline) }

// releaseUntilDeadline lets go of what is owed once the context has ended and all is answered, for as long as it may.
func (d *Driver) releaseUntilDeadline(wakeTimer *time.Timer) {
	end := time.Now().Add(defaultReleaseTimeout)
	if deadline := d.releaseDeadline.Load(); deadline != nil {
		end = *deadline
	}
	deadlineTimer := time.NewTimer(time.Until(end))
	defer deadlineTimer.Stop()
	for d.ledger.HasConfirmedPending() {
		d.startDueReleases()
		wakeTimer.Reset(max(d.untilNextCheck(), 0))
		select {
		case f := <-d.inbox:
			d.runTask(f)
		case <-wakeTimer.C:
		case <-deadlineTimer.C:
			d.ledger.Stop(time.Now())
			d.deliverReports()
			return
		}
	}
}
