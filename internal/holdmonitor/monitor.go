// Package holdmonitor checks from the calls alone which requests servers may hold state or places for: from what was sent
// to a server, and which answers came back. It makes no decisions, and it shares no state with the ledger of
// internal/heldstate, so that its reports do not depend on the ledger being right.
//
// A key is monitored from its first read or reservation until one of these: the first event of its answer; an
// acknowledged release that was sent after all its other calls had ended; or the end of all its calls without any that may
// have left state. A key is reported once no server has answered one of its calls for half of the pin limit.
//
// The package is pure: it does no I/O and reads no clock.
package holdmonitor

import (
	"fmt"
	"time"
)

// Limits.
const (
	maxKeys  = 4096 // keys monitored at once; further keys are not monitored
	maxCalls = 16   // most recent calls of a key that are kept for its report

	reportFraction  = 0.5                    // fraction of the pin limit without an answer after which a key is reported
	defaultPinLimit = 500 * time.Millisecond // used where the settings have no pin limit
	maxAge          = 2 * time.Minute        // time since the last answer after which a key is no longer monitored
)

// Kind is the kind of a call.
type Kind uint8

// Kinds of calls.
const (
	Read Kind = iota
	Write
	Reservation
	Release
)

func (k Kind) String() string { return [...]string{"read", "write", "reservation", "release"}[k] }

// Outcome is what the end of a call shows about the server.
type Outcome uint8

// Outcomes.
const (
	NoAnswer Outcome = iota // no answer came: the effect is unknown
	Answered                // the server answered and may hold state
	Rejected                // the server answered that it did nothing
	NotSent                 // the request was not written completely
)

func (o Outcome) String() string {
	return [...]string{"no answer", "answered", "turned away", "not sent"}[o]
}

// answered reports whether the server answered.
func (o Outcome) answered() bool { return o == Answered || o == Rejected }

// mayHold reports whether the server may hold state.
func (o Outcome) mayHold() bool { return o == NoAnswer || o == Answered }

// call is one call for a key.
type call struct {
	kind    Kind
	server  string
	sentAt  time.Time
	endedAt time.Time // zero: in flight
	outcome Outcome
}

// watchedKey is the record of one monitored key.
type watchedKey struct {
	request    string
	pinLimit   time.Duration
	calls      []call
	lastAnswer time.Time // when a server last answered one of its calls, or when the first was sent
	reported   bool      // since lastAnswer
	mayHold    bool      // a finished call may have left state at a server
}

// reportAt returns when the key is due to be reported unless a server answers before.
func (k *watchedKey) reportAt() time.Time {
	return k.lastAnswer.Add(time.Duration(reportFraction * float64(k.pinLimit)))
}

// Report describes a key without answers.
type Report struct {
	Request       string
	UnansweredFor time.Duration
	Calls         []string // the most recent calls, oldest first
}

// Monitor records the calls by key. It is not safe for concurrent use.
type Monitor struct {
	keys      map[string]*watchedKey
	nextCheck time.Time // earliest time at which a report may be due; zero: none is due
}

// New returns an empty monitor.
func New() *Monitor { return &Monitor{keys: map[string]*watchedKey{}} }

// Sent records that a call is sent. A release alone does not start the monitoring of a key: nothing is held for it.
func (m *Monitor) Sent(keyName, request string, pinLimit time.Duration, kind Kind, server string, now time.Time) {
	k := m.keys[keyName]
	if k == nil {
		if kind == Release || len(m.keys) >= maxKeys {
			return
		}
		if pinLimit <= 0 {
			pinLimit = defaultPinLimit
		}
		k = &watchedKey{request: request, pinLimit: pinLimit, lastAnswer: now}
		m.keys[keyName] = k
		m.scheduleCheck(k.reportAt())
	}
	if len(k.calls) >= maxCalls {
		k.calls = append(k.calls[:0], k.calls[1:]...)
	}
	k.calls = append(k.calls, call{kind: kind, server: server, sentAt: now})
}

// Ended records the end of a call.
func (m *Monitor) Ended(keyName string, kind Kind, server string, outcome Outcome, now time.Time) {
	k := m.keys[keyName]
	if k == nil {
		return
	}
	sentAt := k.recordEnd(kind, server, outcome, now)
	if kind != Release && outcome.mayHold() {
		k.mayHold = true
	}
	if outcome.answered() {
		k.lastAnswer, k.reported = now, false
		m.scheduleCheck(k.reportAt())
	}
	if kind == Release && outcome == Answered && k.attemptsEndedBy(sentAt) || !k.mayHold && k.attemptsEndedBy(now) {
		delete(m.keys, keyName)
	}
}

// recordEnd records the end of the most recent call of the given kind that is in flight, and returns when it was sent. A
// release has no server name until a server has accepted it.
func (k *watchedKey) recordEnd(kind Kind, server string, outcome Outcome, now time.Time) (sentAt time.Time) {
	for i := len(k.calls) - 1; i >= 0; i-- {
		c := &k.calls[i]
		if c.kind == kind && c.endedAt.IsZero() && (kind == Release || c.server == server) {
			c.endedAt, c.outcome, c.server = now, outcome, server
			return c.sentAt
		}
	}
	return time.Time{}
}

// attemptsEndedBy reports whether all calls other than releases had ended by the given time.
func (k *watchedKey) attemptsEndedBy(at time.Time) bool {
	for _, c := range k.calls {
		if c.kind != Release && (c.endedAt.IsZero() || c.endedAt.After(at)) {
			return false
		}
	}
	return true
}

// Streaming records the first event of the answer, by which everything that was held is consumed.
func (m *Monitor) Streaming(keyName string) { delete(m.keys, keyName) }

// Len returns the number of monitored keys.
func (m *Monitor) Len() int { return len(m.keys) }

// Next returns when Due may have a report; zero: not before another call is recorded.
func (m *Monitor) Next() time.Time { return m.nextCheck }

func (m *Monitor) scheduleCheck(at time.Time) {
	if m.nextCheck.IsZero() || at.Before(m.nextCheck) {
		m.nextCheck = at
	}
}

// Due returns a report for each key without an answer for half of its pin limit; a key is reported again only after another
// answer.
func (m *Monitor) Due(now time.Time) []Report {
	if m.nextCheck.IsZero() || now.Before(m.nextCheck) {
		return nil
	}
	m.nextCheck = time.Time{}
	var reports []Report
	for keyName, k := range m.keys {
		at := k.reportAt()
		switch {
		case now.Sub(k.lastAnswer) > maxAge:
			delete(m.keys, keyName)
			continue
		case k.reported:
			at = k.lastAnswer.Add(maxAge + time.Millisecond)
		case !at.After(now):
			k.reported = true
			reports = append(reports, Report{Request: k.request, UnansweredFor: now.Sub(k.lastAnswer), Calls: k.describe(now)})
			at = k.lastAnswer.Add(maxAge + time.Millisecond)
		}
		m.scheduleCheck(at)
	}
	return reports
}

// describe formats the key's most recent calls for a report.
func (k *watchedKey) describe(now time.Time) []string {
	list := make([]string, 0, len(k.calls))
	for _, c := range k.calls {
		state := "in flight"
		if !c.endedAt.IsZero() {
			state = fmt.Sprintf("ended after %v: %s", c.endedAt.Sub(c.sentAt).Round(time.Millisecond), c.outcome)
		}
		list = append(list, fmt.Sprintf("%s at %s sent %v ago, %s", c.kind, c.server, now.Sub(c.sentAt).Round(time.Millisecond), state))
	}
	return list
}
