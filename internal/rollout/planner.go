package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Stage is the state of one router in a rollout.
type Stage int

// The stages.
const (
	Pending    Stage = iota + 1 // to be restarted
	Restarting                  // a restart command is in flight
	Verifying                   // the command completed; the new incarnation is not confirmed yet
	Settling                    // confirmed; counts as down until the settle time is over
	Done                        // restarted, or not part of the rollout
	Unknown                     // the command ended without a result; resolved by the next status
	Refused                     // the restart failed; not retried, except by a rollback
)

// Phase is the state of the whole rollout.
type Phase int

// The phases.
const (
	Forward     Phase = iota + 1 // to the target release
	Paused                       // too few requests are served; no restart is started
	RollingBack                  // to the previous releases
	Ended                        // no more effects
)

func (p Phase) String() string { return [...]string{"", "forward", "paused", "back", "over"}[p] }

// Ending is the final result of a rollout.
type Ending int

// The endings.
const (
	AllDone    Ending = iota + 1 // every router runs the target release
	RolledBack                   // every router runs its previous release
	Stuck                        // progress deadline exceeded, or a restart failed; some routers may not run the wanted release
)

func (e Ending) String() string { return [...]string{"", "all done", "rolled back", "stuck"}[e] }

// Observation is a router's status as just read. Boot identifies the incarnation
// (process) that answered; Served and Total count its requests since its start.
type Observation struct {
	Router, Boot, Release string
	Ready                 bool // accepts sessions
	PredecessorEnding     bool // its predecessor is still draining
	Served, Total         uint64
}

// Outcome is what is known about the end of a command.
type Outcome int

// The outcomes.
const (
	Completed   Outcome = iota + 1 // the router reported success
	Rejected                       // the router reported failure and keeps running
	NoAnswer                       // no result: it may have been carried out or not
	Unreachable                    // the command did not reach the router
)

// Effect is an action for the caller, in the order returned.
type Effect interface{ isEffect() }

// The effects.
type (
	// Restart asks to restart a router with a release, under the command id ID. Its JournalEntry must
	// be written to the journal before the command is sent.
	Restart struct{ Router, Release, ID string }
	// Note is a message for the operator. Those of kind done, refused and back must be written to the
	// journal as well.
	Note struct{ Kind, Router, Text string }
	// End is the last effect of a rollout.
	End struct{ Ending Ending }
)

func (Restart) isEffect() {}
func (Note) isEffect()    {}
func (End) isEffect()     {}

// member is a router of the fleet with its state in the rollout.
type member struct {
	Router
	stage           Stage
	previousRelease string // release before the rollout, restored by a rollback
	bootBefore      string // incarnation when the command was sent
	boot            string // boot, release and ready are those of the last status
	release         string
	ready           bool
	observed        bool                 // a status was received, or the journal has its previous release
	seenAt          time.Duration        // time of the last status; -1: none
	settlesAt       time.Duration        // end of the settle time
	commandID       string               // of the command in flight; "": none
	commandRelease  string               // release that the command asks for; "": the same program
	attempts        int                  // restarts so far; the last part of the command id
	counters        map[string][2]uint64 // served and total of the last status, by incarnation
	samples         []sample             // of the served window
	onTarget        bool                 // restarted with the target release
}

// sample counts a router's requests between two statuses.
type sample struct {
	at            time.Duration
	served, total uint64
	onTarget      bool // of an incarnation on the target release
}

// Planner runs one rollout. It is not safe for concurrent use.
type Planner struct {
	id           string
	target       string
	limits       Limits
	order        []*member // routers to restart, by priority
	byName       map[string]*member
	phase        Phase
	pauseReason  string        // why the phase is Paused
	canariesDone int           // canaries restarted successfully
	watchUntil   time.Duration // no restart starts earlier: the last canary is being watched
	progressAt   time.Duration // time of the last progress, for the progress deadline
	failures     int           // failed restarts
	rollingBack  bool          // a rollback has begun; decides the phase after a pause
	effects      []Effect
}

// New returns a planner that restarts todo with the release target; "" restarts the
// same program. all are the routers of the fleet, whose capacity the limits refer
// to; order is a schedule's, and routers of todo missing in it come last. id is
// the rollout's, the prefix of its command ids.
func New(id, target string, all, todo []Router, order []string, lim Limits, now time.Duration) *Planner {
	p := &Planner{id: id, target: target, limits: lim, byName: map[string]*member{}, phase: Forward, progressAt: now}
	for _, r := range all {
		m := &member{Router: r, stage: Done, counters: map[string][2]uint64{}, seenAt: -1}
		p.byName[r.Name] = m
	}
	for _, r := range todo {
		p.byName[r.Name].stage = Pending
	}
	for _, name := range order {
		if m := p.byName[name]; m != nil && m.stage == Pending {
			p.order = append(p.order, m)
		}
	}
	for _, r := range todo { // routers missing in order
		if m := p.byName[r.Name]; !slices.Contains(p.order, m) {
			p.order = append(p.order, m)
		}
	}
	return p
}

// Phase returns the current phase and the reason of a pause.
func (p *Planner) Phase() (Phase, string) { return p.phase, p.pauseReason }

func (p *Planner) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Planner) note(kind, router, format string, args ...any) {
	p.emit(Note{kind, router, fmt.Sprintf(format, args...)})
}

func (p *Planner) takeEffects() []Effect {
	out := p.effects
	p.effects = nil
	return out
}

// Observe processes a router's status.
func (p *Planner) Observe(now time.Duration, s Observation) []Effect {
	m := p.byName[s.Router]
	if m == nil || p.phase == Ended {
		return nil
	}
	p.countServed(now, m, s)
	if !m.observed {
		m.observed = true
		if m.previousRelease == "" {
			m.previousRelease = s.Release
		}
	}
	m.seenAt, m.boot, m.release, m.ready = now, s.Boot, s.Release, s.Ready
	switch m.stage {
	case Verifying:
		p.checkRestart(now, m, s)
	case Unknown:
		p.resolveUnknown(now, m, s)
	case Settling:
		switch {
		case m.commandRelease != "" && s.Release != m.commandRelease: // it crashed and was started again with its previous release
			m.stage = Pending
			p.note("seen", m.Name, "fell back to release %q", s.Release)
		case now >= m.settlesAt && !s.PredecessorEnding:
			p.finishRestart(now, m)
		}
	}
	p.act(now)
	return p.takeEffects()
}

// wantedRelease returns the release that a router should run in the current phase.
func (p *Planner) wantedRelease(m *member) string {
	if p.isRollingBack() {
		return m.previousRelease
	}
	return p.target
}

func (p *Planner) isRollingBack() bool {
	return p.phase == RollingBack || p.phase == Paused && p.rollingBack
}

// isRestarted reports whether a status shows a new incarnation on the release that the command asked for.
func (m *member) isRestarted(s Observation) bool {
	return s.Boot != m.bootBefore && (m.commandRelease == "" || s.Release == m.commandRelease)
}

// confirmRestart records that a router runs the release of its command. If a
// rollback began meanwhile, the router is restarted once more.
func (p *Planner) confirmRestart(now time.Duration, m *member) {
	m.commandID, m.onTarget, p.progressAt = "", m.commandRelease == p.target, now
	if m.commandRelease != p.wantedRelease(m) {
		m.stage = Pending
		return
	}
	m.stage, m.settlesAt = Settling, now+p.limits.SettleTime
}

func (p *Planner) checkRestart(now time.Duration, m *member, s Observation) {
	switch {
	case m.isRestarted(s):
		p.confirmRestart(now, m)
	case s.Boot != m.bootBefore:
		// The successor crashed after the handover, and a supervisor started another release.
		p.restartFailed(now, m, fmt.Sprintf("runs release %q", s.Release))
	}
}

// resolveUnknown continues with a router whose command ended without a result.
func (p *Planner) resolveUnknown(now time.Duration, m *member, s Observation) {
	p.progressAt = now
	if m.isRestarted(s) {
		p.note("seen", m.Name, "seen again, restarted")
		p.confirmRestart(now, m)
		return
	}
	if s.Boot == m.bootBefore {
		// The same incarnation: the command is sent again under its id. This is idempotent: the router
		// returns the first result if the command has ended, and waits for its end if it is still running.
		p.note("seen", m.Name, "seen again, not restarted; the command is repeated")
		m.stage = Restarting
		p.emit(Restart{m.Name, m.commandRelease, m.commandID})
		return
	}
	p.note("seen", m.Name, "seen again in another life, on release %q", s.Release)
	m.stage, m.commandID = Pending, ""
}

func (p *Planner) finishRestart(now time.Duration, m *member) {
	m.stage = Done
	p.progressAt = now
	p.note("done", m.Name, "done")
	if p.canariesPending() {
		p.canariesDone++
		p.watchUntil = now + p.limits.CanaryWatch
	}
}

// canariesPending reports whether canaries still have to be restarted. A rollback has none.
func (p *Planner) canariesPending() bool {
	return !p.isRollingBack() && p.canariesDone < p.limits.Canaries
}

// CommandResult processes the outcome of a restart command; outdated ones are ignored.
func (p *Planner) CommandResult(now time.Duration, router, id string, o Outcome, text string) []Effect {
	m := p.byName[router]
	if m == nil || m.commandID != id || m.stage != Restarting || p.phase == Ended {
		return nil
	}
	switch o {
	case Completed:
		m.stage = Verifying
		p.progressAt = now
	case Rejected:
		p.restartFailed(now, m, text)
	case NoAnswer:
		m.stage = Unknown
		p.note("unknown", m.Name, "no result, outcome unknown until its next status: %s", text)
	case Unreachable:
		m.stage, m.commandID = Pending, ""
		m.seenAt = -1 // not restarted again before its next status
		p.note("unreached", m.Name, "command not delivered: %s", text)
	}
	p.act(now)
	return p.takeEffects()
}

// restartFailed records a failed restart, and starts the rollback after too many of them.
func (p *Planner) restartFailed(now time.Duration, m *member, reason string) {
	p.note("refused", m.Name, "not restarted: %s", reason)
	m.stage, m.commandID = Refused, ""
	p.progressAt = now
	p.failures++
	// Protects the fleet from a release that does not start: each attempt occupies a router and may crash
	// it. A rollout with as many unrelated failures is rolled back too; it can be run again.
	if p.phase != RollingBack && p.target != "" && p.failures >= max(p.limits.MaxFailures, 1) {
		p.rollBack(now, fmt.Sprintf("%d restarts did not come up", p.failures))
	}
}

// rollBack reverses the rollout: routers on the target release get their previous release.
func (p *Planner) rollBack(now time.Duration, reason string) {
	if p.isRollingBack() {
		return
	}
	p.note("back", "", "going back: %s", reason)
	p.phase, p.pauseReason, p.progressAt, p.rollingBack, p.watchUntil = RollingBack, "", now, true, 0
	for _, m := range p.order {
		switch m.stage {
		case Pending, Refused:
			if !m.onTarget || m.observed && m.release == m.previousRelease {
				m.stage = Done
			} else {
				m.stage = Pending
			}
		case Done, Settling, Verifying:
			if m.onTarget {
				m.stage, m.commandID = Pending, ""
			}
		}
		// Restarting and Unknown are left: once their outcome is known, those that reached the target release
		// are rolled back as well.
	}
}

// countServed adds the requests that a router counted since its last status.
func (p *Planner) countServed(now time.Duration, m *member, s Observation) {
	last, known := m.counters[s.Boot]
	m.counters[s.Boot] = [2]uint64{s.Served, s.Total}
	for boot := range m.counters { // keeps two incarnations: the predecessor counts on while it drains
		if len(m.counters) > 2 && boot != s.Boot {
			delete(m.counters, boot)
		}
	}
	if !known && s.Boot != m.bootBefore && m.observed {
		last, known = [2]uint64{}, true // the counters of a new incarnation start at 0
	}
	if !known || s.Total < last[1] || s.Served < last[0] {
		return
	}
	m.samples = append(m.samples, sample{now, s.Served - last[0], s.Total - last[1], m.onTarget && s.Boot != m.bootBefore})
	for len(m.samples) > 0 && m.samples[0].at < now-p.limits.ServedWindow {
		m.samples = m.samples[1:]
	}
}

// servedShare counts requests and those of them that were served.
type servedShare struct{ served, total uint64 }

func (s servedShare) ratio() float64 { return float64(s.served) / float64(max(s.total, 1)) }

// servedShares sums up the requests of the window: of routers on the target
// release, and of the others.
func (p *Planner) servedShares(now time.Duration) (updated, others servedShare) {
	for _, m := range p.byName {
		for _, x := range m.samples {
			switch {
			case x.at < now-p.limits.ServedWindow:
			case x.onTarget:
				updated.served, updated.total = updated.served+x.served, updated.total+x.total
			default:
				others.served, others.total = others.served+x.served, others.total+x.total
			}
		}
	}
	return updated, others
}

// Tick processes the passing of time; it is called at regular intervals.
func (p *Planner) Tick(now time.Duration) []Effect {
	if p.phase == Ended {
		return nil
	}
	p.act(now)
	return p.takeEffects()
}

// act checks the served share, ends the rollout if it is finished, and starts the restarts that fit.
func (p *Planner) act(now time.Duration) {
	if p.phase == Ended {
		return
	}
	p.checkServed(now)
	if p.endIfFinished(now) {
		return
	}
	if p.phase != Paused {
		p.startRestarts(now)
	}
}

// checkServed pauses the rollout while too few requests are served, and rolls it back
// if the routers on the target release serve too few and the others do not.
func (p *Planner) checkServed(now time.Duration) {
	if p.limits.MinServed <= 0 {
		return
	}
	updated, others := p.servedShares(now)
	all := servedShare{updated.served + others.served, updated.total + others.total}
	significant := func(x servedShare) bool { return x.total > 0 && x.total >= uint64(p.limits.MinRequests) }
	low := func(x servedShare) bool { return significant(x) && x.ratio() < p.limits.MinServed }
	switch {
	case p.target != "" && !p.isRollingBack() && low(updated) && significant(others) && !low(others):
		// Protects the fleet from a release that serves worse: the routers on the previous release do well at
		// the same time. A rollout whose first routers get the worse traffic is rolled back without need.
		p.rollBack(now, fmt.Sprintf("restarted routers serve %.1f%%, the others %.1f%%", 100*updated.ratio(), 100*others.ratio()))
	case p.phase != Paused && low(all):
		p.pause(fmt.Sprintf("service fell to %.1f%%", 100*all.ratio()))
	case p.phase == Paused && !low(all):
		p.phase, p.pauseReason = Forward, ""
		if p.rollingBack {
			p.phase = RollingBack
		}
		p.progressAt = now
		p.note("on", "", "going on: service is back")
	}
}

func (p *Planner) pause(reason string) {
	p.phase, p.pauseReason = Paused, reason
	p.note("paused", "", "paused: %s", reason)
}

// endIfFinished ends the rollout when no router is pending, or the progress deadline is exceeded.
func (p *Planner) endIfFinished(now time.Duration) bool {
	remaining := false
	for _, m := range p.order {
		if m.stage != Done && m.stage != Refused {
			remaining = true
		}
	}
	ending := Ending(0)
	switch {
	case remaining && now-p.progressAt >= p.limits.ProgressDeadline && p.limits.ProgressDeadline > 0:
		ending = Stuck
	case remaining || now < p.watchUntil:
		return false
	case slices.ContainsFunc(p.order, func(m *member) bool { return m.stage == Refused }):
		ending = Stuck
	case p.isRollingBack():
		ending = RolledBack
	default:
		ending = AllDone
	}
	p.phase = Ended
	p.emit(End{ending})
	return true
}

// isDown reports whether a router counts as down: restarted, not ready, or without a recent status.
func (p *Planner) isDown(now time.Duration, m *member) bool {
	switch m.stage {
	case Restarting, Verifying, Settling, Unknown:
		return true
	}
	return m.seenAt < 0 || !m.ready || now-m.seenAt > p.limits.StatusTimeout
}

// startRestarts restarts, by priority, the pending routers that the limits allow.
func (p *Planner) startRestarts(now time.Duration) {
	if now < p.watchUntil || p.canaryInProgress() {
		return
	}
	all := make([]Router, 0, len(p.byName))
	for _, m := range p.byName {
		all = append(all, m.Router)
	}
	down := newBudget(all, p.limits)
	for _, m := range p.byName {
		if p.isDown(now, m) {
			down.add(&m.Router, 1)
		}
	}
	for _, m := range p.order {
		if m.stage != Pending || m.seenAt < 0 || now-m.seenAt > p.limits.StatusTimeout {
			continue // no recent status: it would hardly receive a command
		}
		alreadyDown := p.isDown(now, m) // not ready, so a restart takes no further capacity away
		if !alreadyDown && !down.fits(&m.Router) {
			continue
		}
		if !alreadyDown {
			down.add(&m.Router, 1)
		}
		p.startRestart(now, m)
		if p.canaryInProgress() {
			return
		}
	}
}

// canaryInProgress reports whether a canary is being restarted; no other restart starts then.
func (p *Planner) canaryInProgress() bool {
	return p.canariesPending() && slices.ContainsFunc(p.order, func(m *member) bool {
		return m.stage == Restarting || m.stage == Verifying || m.stage == Settling || m.stage == Unknown
	})
}

func (p *Planner) startRestart(now time.Duration, m *member) {
	m.attempts++
	m.stage, m.bootBefore, m.commandRelease, m.commandID = Restarting, m.boot, p.wantedRelease(m), fmt.Sprintf("%s/%s/%d", p.id, m.Name, m.attempts)
	p.progressAt = now
	p.emit(Restart{m.Name, m.commandRelease, m.commandID})
}

// Entry is a decision or result in the journal, from which Restore continues after a crash of the tool.
type Entry struct {
	Kind    string // restart, done, refused or back
	Router  string `json:",omitempty"`
	ID      string `json:",omitempty"`
	Was     string `json:",omitempty"` // incarnation (boot) when the restart was decided
	Before  string `json:",omitempty"` // release before the rollout
	Release string `json:",omitempty"`
	Text    string `json:",omitempty"`
}

// JournalEntry returns the entry that is written to the journal before a restart is sent.
func (p *Planner) JournalEntry(e Restart) Entry {
	m := p.byName[e.Router]
	return Entry{Kind: "restart", Router: e.Router, ID: e.ID, Was: m.bootBefore, Before: m.previousRelease, Release: e.Release}
}

// Restore replays the entries of a journal. A restart without a recorded outcome
// is Unknown until the router's next status.
func (p *Planner) Restore(now time.Duration, entries []Entry) {
	for _, e := range entries {
		if e.Kind == "back" {
			p.rollBack(now, "continued from the journal")
			p.effects = nil
			continue
		}
		m := p.byName[e.Router]
		if m == nil {
			continue
		}
		switch e.Kind {
		case "restart":
			if e.ID != m.commandID {
				m.attempts++
			}
			m.stage, m.commandID, m.bootBefore, m.commandRelease, m.previousRelease, m.observed = Unknown, e.ID, e.Was, e.Release, e.Before, true
		case "done":
			if p.canariesPending() {
				p.canariesDone++
			}
			m.stage, m.commandID, m.onTarget = Done, "", m.commandRelease == p.target
		case "refused":
			m.stage, m.commandID = Refused, ""
			p.failures++
		}
	}
	p.progressAt = now
}
