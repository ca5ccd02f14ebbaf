// Package holdmonitor watches what servers may hold for requests by the calls alone:
// what was sent to a server, and what was heard from it. It decides nothing, and it
// shares nothing with the ledger of internal/heldstate, so that its reports do not
// depend on what that ledger believes.
//
// A key is watched from its first read or reservation until the first event of its
// answer, until a release was answered that was sent after all else had ended, or
// until it is known that no call has left anything. A report is made when nothing
// was heard of it for half of the pin limit.
//
// The package is pure: it does no I/O and reads no clock.
package holdmonitor

import (
	"fmt"
	"time"
)

// Bounds.
const (
	maxKeys  = 4096 // keys watched at once; beyond them a new one is not watched
	maxCalls = 16   // calls of a key that a report tells of: the last ones

	reportFraction  = 0.5                    // part of the pin limit after which silence is reported
	defaultPinLimit = 500 * time.Millisecond // taken where the settings name no limit
	maxAge          = 2 * time.Minute        // for which a key is watched after it was last heard
)

// Kind is a kind of call.
type Kind uint8

// The kinds.
const (
	Read Kind = iota
	Write
	Reservation
	Release
)

func (k Kind) String() string { return [...]string{"read", "write", "reservation", "release"}[k] }

// Outcome tells what the end of a call proves.
type Outcome uint8

// The outcomes.
const (
	NoAnswer Outcome = iota // no answer came: what it did is not known
	Answered                // the server answered, and may hold something
	Rejected                // the server answered that it did nothing
	NotSent                 // it was not written whole
)

func (o Outcome) String() string {
	return [...]string{"no answer", "answered", "turned away", "not sent"}[o]
}

// answered tells that the server answered.
func (o Outcome) answered() bool { return o == Answered || o == Rejected }

// mayHold tells that the server may hold something.
func (o Outcome) mayHold() bool { return o == NoAnswer || o == Answered }

// call is one call for a key.
type call struct {
	kind    Kind
	server  string
	sentAt  time.Time
	endedAt time.Time // zero: it is in flight
	outcome Outcome
}

// watchedKey is what is known of one key.
type watchedKey struct {
	request    string
	pinLimit   time.Duration
	calls      []call
	lastAnswer time.Time // when a server last answered one of its calls, or the first was sent
	reported   bool      // since it was last heard
	mayHold    bool      // a call that has ended may have left something
}

// reportAt is when the key is reported, unless it is heard before.
func (k *watchedKey) reportAt() time.Time {
	return k.lastAnswer.Add(time.Duration(reportFraction * float64(k.pinLimit)))
}

// Report tells of a key of which nothing was heard.
type Report struct {
	Request   string
	SilentFor time.Duration
	Calls     []string // the last calls, oldest first
}

// Monitor watches keys. It is not safe for concurrent use.
type Monitor struct {
	keys      map[string]*watchedKey
	nextCheck time.Time // no report is due before; zero: none is due
}

// New returns an empty watch.
func New() *Monitor { return &Monitor{keys: map[string]*watchedKey{}} }

// Sent notes that a call is sent. A release alone is not watched: its key holds nothing.
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

// Ended notes how a call ended.
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

// recordEnd notes the end of a key's last call of a kind that is in flight, and returns when it was sent. A release names its
// server only once one has taken it.
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

// attemptsEndedBy tells whether all calls but releases had ended by a time.
func (k *watchedKey) attemptsEndedBy(at time.Time) bool {
	for _, c := range k.calls {
		if c.kind != Release && (c.endedAt.IsZero() || c.endedAt.After(at)) {
			return false
		}
	}
	return true
}

// Streaming notes the first event of an answer, with which all goes that is held.
func (m *Monitor) Streaming(keyName string) { delete(m.keys, keyName) }

// Len is how many keys are watched.
func (m *Monitor) Len() int { return len(m.keys) }

// Next is when Due may have a report; zero: not before something else is told.
func (m *Monitor) Next() time.Time { return m.nextCheck }

func (m *Monitor) scheduleCheck(at time.Time) {
	if m.nextCheck.IsZero() || at.Before(m.nextCheck) {
		m.nextCheck = at
	}
}

// Due returns a report of each key of which nothing was heard for half of its pin
// limit, once until it is heard again.
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
			reports = append(reports, Report{Request: k.request, SilentFor: now.Sub(k.lastAnswer), Calls: k.describe(now)})
			at = k.lastAnswer.Add(maxAge + time.Millisecond)
		}
		m.scheduleCheck(at)
	}
	return reports
}

// describe tells of a key's last calls.
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
