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

	reportPart = 0.5                    // part of the pin limit after which silence is reported
	defaultPin = 500 * time.Millisecond // taken where the settings name no limit
	maxAge     = 2 * time.Minute        // for which a key is watched after it was last heard
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

// heard tells that the server answered.
func (o Outcome) heard() bool { return o == Answered || o == Rejected }

// leaves tells that the server may hold something.
func (o Outcome) leaves() bool { return o == NoAnswer || o == Answered }

// call is one call for a key.
type call struct {
	kind    Kind
	server  string
	sent    time.Time
	ended   time.Time // zero: it is in flight
	outcome Outcome
}

// key is what is known of one key.
type key struct {
	request  string
	pin      time.Duration
	calls    []call
	heard    time.Time // when a server last answered one of its calls, or the first was sent
	reported bool      // since it was last heard
	left     bool      // a call that has ended may have left something
}

// reportAt is when the key is reported, unless it is heard before.
func (k *key) reportAt() time.Time {
	return k.heard.Add(time.Duration(reportPart * float64(k.pin)))
}

// Report tells of a key of which nothing was heard.
type Report struct {
	Request   string
	SilentFor time.Duration
	Calls     []string // the last calls, oldest first
}

// Monitor watches keys. It is not safe for concurrent use.
type Monitor struct {
	keys map[string]*key
	next time.Time // no report is due before; zero: none is due
}

// New returns an empty watch.
func New() *Monitor { return &Monitor{keys: map[string]*key{}} }

// Sent notes that a call is sent. A release alone is not watched: its key holds nothing.
func (w *Monitor) Sent(name, request string, pin time.Duration, kind Kind, server string, now time.Time) {
	k := w.keys[name]
	if k == nil {
		if kind == Release || len(w.keys) >= maxKeys {
			return
		}
		if pin <= 0 {
			pin = defaultPin
		}
		k = &key{request: request, pin: pin, heard: now}
		w.keys[name] = k
		w.lookAt(k.reportAt())
	}
	if len(k.calls) >= maxCalls {
		k.calls = append(k.calls[:0], k.calls[1:]...)
	}
	k.calls = append(k.calls, call{kind: kind, server: server, sent: now})
}

// Ended notes how a call ended.
func (w *Monitor) Ended(name string, kind Kind, server string, how Outcome, now time.Time) {
	k := w.keys[name]
	if k == nil {
		return
	}
	sent := k.end(kind, server, how, now)
	if kind != Release && how.leaves() {
		k.left = true
	}
	if how.heard() {
		k.heard, k.reported = now, false
		w.lookAt(k.reportAt())
	}
	if kind == Release && how == Answered && k.endedBefore(sent) || !k.left && k.endedBefore(now) {
		delete(w.keys, name)
	}
}

// end notes the end of a key's last call of a kind that is in flight, and returns when it was sent. A release names its
// server only once one has taken it.
func (k *key) end(kind Kind, server string, how Outcome, now time.Time) (sent time.Time) {
	for i := len(k.calls) - 1; i >= 0; i-- {
		c := &k.calls[i]
		if c.kind == kind && c.ended.IsZero() && (kind == Release || c.server == server) {
			c.ended, c.outcome, c.server = now, how, server
			return c.sent
		}
	}
	return time.Time{}
}

// endedBefore tells whether all calls but releases had ended by a time.
func (k *key) endedBefore(at time.Time) bool {
	for _, c := range k.calls {
		if c.kind != Release && (c.ended.IsZero() || c.ended.After(at)) {
			return false
		}
	}
	return true
}

// Streaming notes the first event of an answer, with which all goes that is held.
func (w *Monitor) Streaming(name string) { delete(w.keys, name) }

// Len is how many keys are watched.
func (w *Monitor) Len() int { return len(w.keys) }

// Next is when Due may have a report; zero: not before something else is told.
func (w *Monitor) Next() time.Time { return w.next }

func (w *Monitor) lookAt(at time.Time) {
	if w.next.IsZero() || at.Before(w.next) {
		w.next = at
	}
}

// Due returns a report of each key of which nothing was heard for half of its pin
// limit, once until it is heard again.
func (w *Monitor) Due(now time.Time) []Report {
	if w.next.IsZero() || now.Before(w.next) {
		return nil
	}
	w.next = time.Time{}
	var reports []Report
	for name, k := range w.keys {
		at := k.reportAt()
		switch {
		case now.Sub(k.heard) > maxAge:
			delete(w.keys, name)
			continue
		case k.reported:
			at = k.heard.Add(maxAge + time.Millisecond)
		case !at.After(now):
			k.reported = true
			reports = append(reports, Report{Request: k.request, SilentFor: now.Sub(k.heard), Calls: k.describe(now)})
			at = k.heard.Add(maxAge + time.Millisecond)
		}
		w.lookAt(at)
	}
	return reports
}

// describe tells of a key's last calls.
func (k *key) describe(now time.Time) []string {
	list := make([]string, 0, len(k.calls))
	for _, c := range k.calls {
		state := "in flight"
		if !c.ended.IsZero() {
			state = fmt.Sprintf("ended after %v: %s", c.ended.Sub(c.sent).Round(time.Millisecond), c.outcome)
		}
		list = append(list, fmt.Sprintf("%s at %s sent %v ago, %s", c.kind, c.server, now.Sub(c.sent).Round(time.Millisecond), state))
	}
	return list
}
