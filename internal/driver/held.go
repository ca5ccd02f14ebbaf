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

// The ledger of internal/heldstate decides when held state is released. The code here records the events in it and makes
// the calls that it returns.

const (
	ledgerCheckInterval   = 2 * time.Millisecond  // minimum time between two checks of the pending releases
	livenessPollInterval  = 20 * time.Millisecond // minimum time between two checks whether suspected servers have answered
	defaultReleaseTimeout = 2 * time.Second       // for which Run continues to release after its context has ended, unless a deadline is set
)

// terms returns the ledger's terms for state held for the request.
func (c *Call) terms() heldstate.Terms {
	return heldstate.Terms{Request: cmp.Or(c.job.Name, strconv.FormatUint(uint64(c.id), 10)), Shared: c.job.Name != "",
		PreservesWaiting: c.settings.SparesWaited,
		PinLimit:         time.Duration(float64(c.settings.PinLimit) * float64(time.Millisecond))}
}

// recordAttemptStart records that an attempt is sent, with the deadline that its server is given. It returns a channel that
// is closed when the attempt may be written: a release of a named request's key affects everything held under it, also what
// a later attempt creates, and has to be sent first.
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
	if faults.GuardDisabled(faults.BreakLost) || faults.GuardDisabled(faults.BreakUnheard) {
		terms.AttemptTimeout = -1
	}
	d.ledger.AttemptStarted(a.key, terms, string(a.server), a.isRead, time.Now())
	d.holdMonitor.Sent(a.key, terms.Request, terms.PinLimit, a.monitorKind(), string(a.server), time.Now())
	return d.releasesInFlight[a.key]
}

// recordAttemptEnd records the end of an attempt.
func (c *Call) recordAttemptEnd(a *attemptState, r attempt.Result) {
	if a.key == "" {
		return
	}
	end := attemptEnd(r)
	if end == heldstate.ClosedByRouter && !r.StartedBy.IsZero() {
		c.d.ledger.AttemptStartedBy(a.key, string(a.server), a.isRead, r.StartedBy)
	}
	if a.isRead {
		c.d.ledger.ReadEnded(a.key, string(a.server), end, time.Now())
	} else {
		c.d.ledger.WriteEnded(a.key, string(a.server), end, time.Now())
	}
	c.d.holdMonitor.Ended(a.key, a.monitorKind(), string(a.server), monitorOutcome(end), time.Now())
	c.d.scheduleLedgerCheck()
}

// monitorKind returns the attempt's kind for the hold monitor.
func (a *attemptState) monitorKind() holdmonitor.Kind {
	if a.isRead {
		return holdmonitor.Read
	}
	return holdmonitor.Write
}

// monitorOutcome returns an attempt's end for the hold monitor.
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

// attemptEnd maps the result of an attempt to what it shows about state left at the server.
func attemptEnd(r attempt.Result) heldstate.AttemptEnd {
	switch r.Outcome {
	case gannethook.ConnectFailed, gannethook.NotTried:
		return heldstate.NotSent
	case gannethook.Full, gannethook.Moot:
		return heldstate.Rejected
	case gannethook.Cancelled, gannethook.TimedOut, gannethook.Broken:
		if r.ClosedByServer && r.Outcome == gannethook.Broken && !faults.GuardDisabled(faults.BreakOvertake) {
			return heldstate.ClosedByServer
		}
		if faults.GuardDisabled(faults.BreakOvertake) {
			return heldstate.Completed
		}
		return heldstate.ClosedByRouter
	}
	if r.Interrupted {
		return heldstate.ClosedByRouter
	}
	return heldstate.Completed
}

// holdPlace requests a place on a goroutine of its own. For a named request, whose state the servers share, it does so only
// after the read is written. The place counts as possibly held from the moment of the request.
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
		case <-c.d.stopped: // the driver may have stopped before it ran the function
			return
		}
		place := c.d.cfg.Engines.Hold(c.d.ctx, call, reader)
		if !c.d.post(func() { c.placeAnswered(h, index, epoch, place) }) {
			c.d.cfg.Engines.Release(context.WithoutCancel(c.d.ctx), []attempt.Held{h})
		}
	})
}

// recordPlaceRequest records a request for a place. It returns false, and the place is not requested, if the read was not
// written or has ended, or if everything was released since.
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

// notifyPlace passes the result of a request for a place to the decision module.
func (c *Call) notifyPlace(index int, place attempt.PlaceResult) {
	// A named request has at most one place: while it is unknown whether it is held, no other is requested.
	known := place == attempt.Granted || place == attempt.Denied
	if c.attempts[index].inFlight && (known || c.job.Name == "") {
		c.d.handleEvent(gannethook.Held{ID: c.id, Attempt: index, OK: place == attempt.Granted})
	}
}

// placeOutcomes maps the results of requests for places to those of the ledger and of the hold monitor.
var placeOutcomes = map[attempt.PlaceResult]struct {
	grant   heldstate.PlaceResult
	outcome holdmonitor.Outcome
}{
	attempt.Denied:   {heldstate.Denied, holdmonitor.Rejected},
	attempt.Granted:  {heldstate.Granted, holdmonitor.Answered},
	attempt.Unknown:  {heldstate.Unknown, holdmonitor.Answered},
	attempt.NoAnswer: {heldstate.NoAnswer, holdmonitor.NoAnswer},
}

// placeAnswered handles the answer to a request for a place that was made during the attempt with the given index. If
// everything was released since, the ledger releases this place too.
func (c *Call) placeAnswered(h attempt.Held, index, epoch int, place attempt.PlaceResult) {
	c.d.placeRequestEnded(h.Key, h.Addr, place)
	if !c.removed && epoch == c.releaseEpoch {
		c.notifyPlace(index, place)
	}
}

// release requests the release of everything that may be held for the request's current key.
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

// recordStreamStart records the first event of the answer, by which everything that was held is consumed.
func (c *Call) recordStreamStart() {
	c.params = nil
	c.releaseEpoch++
	c.d.pollLiveness()
	c.d.ledger.StreamStarted(c.key, time.Now())
	c.d.holdMonitor.Streaming(c.key)
	c.d.scheduleLedgerCheck()
}

// recordRequestEnd records the end of the request for all its keys: the ledger releases what is left, now or later.
func (c *Call) recordRequestEnd() {
	c.d.anyRequestEnded = true
	for _, key := range c.keys {
		if !c.d.regressions.dropsKey(key) {
			c.d.ledger.RequestEnded(key, time.Now())
		}
	}
	c.d.scheduleLedgerCheck()
}

// hasUncancelledAttempt reports whether an attempt continues after the request was answered, as where attempts may not be
// cancelled.
func (c *Call) hasUncancelledAttempt() bool {
	return !c.streaming && slices.ContainsFunc(c.attempts, func(a *attemptState) bool { return a.inFlight && a.cancelResult == nil })
}

// newLivenessKey returns a key in the format of the platform's request ids that no request has: a release of it releases
// nothing, and an answer to it confirms that the server runs.
func newLivenessKey() string {
	var key [8]byte
	rand.Read(key[:]) // never fails
	return hex.EncodeToString(key[:])
}

// scheduleReleases schedules the requested releases for which no further attempt was made.
func (d *Driver) scheduleReleases() {
	for _, key := range d.releaseRequests {
		d.ledger.ScheduleRelease(key, time.Now())
		d.scheduleLedgerCheck()
	}
	d.releaseRequests = d.releaseRequests[:0]
}

// pollLiveness records in the ledger which suspected servers have answered.
func (d *Driver) pollLiveness() {
	now := time.Now()
	for _, server := range d.ledger.ServersToMonitor() {
		switch {
		case faults.GuardDisabled(faults.BreakUnheard):
			d.ledger.ServerAnswered(server, now, now.Add(-time.Second), now)
		case faults.GuardDisabled(faults.BreakFirst) && !d.anyRequestEnded:
			d.ledger.ServerAnswered(server, now, now, now)
		}
		if sent, answered := d.cfg.Engines.LastAnswer(server); !sent.IsZero() {
			d.ledger.ServerAnswered(server, sent, answered, now)
		}
	}
	d.nextLivenessPoll = now.Add(livenessPollInterval)
}

// startDueReleases starts the releases that are due and delivers the ledger's reports. The ledger, which may have thousands
// of pending releases, is checked only after a change or when one is due.
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

// reportUnanswered delivers the hold monitor's reports.
func (d *Driver) reportUnanswered(now time.Time) {
	for _, r := range d.holdMonitor.Due(now) {
		if d.cfg.OnUnanswered != nil {
			d.cfg.OnUnanswered(r)
		}
	}
}

// scheduleLedgerCheck makes the next check of the ledger due, at the earliest ledgerCheckInterval after the last one.
func (d *Driver) scheduleLedgerCheck() {
	d.nextLedgerCheck = d.lastLedgerCheck.Add(ledgerCheckInterval)
}

// deliverReports delivers the ledger's reports of pending releases and of abandoned state.
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

// untilNextCheck returns the time until the ledger or the hold monitor may have something due.
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

// startReleases makes each release on a goroutine of its own.
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

// placeRequestEnded records the result of a request for a place.
func (d *Driver) placeRequestEnded(key, server string, place attempt.PlaceResult) {
	outcome, now := placeOutcomes[place], time.Now()
	d.ledger.PlaceRequestEnded(key, server, outcome.grant, now)
	d.holdMonitor.Ended(key, holdmonitor.Reservation, server, outcome.outcome, now)
	d.scheduleLedgerCheck()
}

// releaseEnded records the result of a release.
func (d *Driver) releaseEnded(call heldstate.ReleaseCall, r attempt.ReleaseResult) {
	if !r.Acknowledged && !call.Probe && faults.GuardDisabled(faults.BreakGiveUp) {
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

// SetReleaseDeadline sets until when Run continues to release held state after its context has ended.
func (d *Driver) SetReleaseDeadline(deadline time.Time) { d.releaseDeadline.Store(&deadline) }

// releaseUntilDeadline makes the pending releases after the context has ended and all requests are answered, at most until
// the release deadline.
func (d *Driver) releaseUntilDeadline(wakeTimer *time.Timer) {
	end := time.Now().Add(defaultReleaseTimeout)
	if deadline := d.releaseDeadline.Load(); deadline != nil {
		end = *deadline
	}
	deadlineTimer := time.NewTimer(time.Until(end))
	defer deadlineTimer.Stop()
	for d.ledger.HasRequiredReleases() {
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
