package heldstate

import (
	"slices"
	"time"
)

// AbandonedEntry is an entry that left without proof.
type AbandonedEntry struct {
	Request, Key string
	PendingFor   time.Duration
	Servers      []string
	Reason       AbandonReason
}

// AbandonReason tells why an entry was forgotten.
type AbandonReason uint8

// The reasons.
const (
	LedgerFull    AbandonReason = iota // the ledger was full
	RouterStopped                      // the router ended
)

func (w AbandonReason) String() string {
	return [...]string{"too many owed", "the router ends"}[w]
}

// Report tells of an entry that has been owed for half of its time.
type Report struct {
	Request, Key string
	PendingFor   time.Duration
	Releases     int      // that were answered
	Holders      []string // servers that may hold something
	Unconfirmed  []string // servers that may not have noticed a close
}

// Abandoned returns what left without proof since the last call.
func (l *Ledger) Abandoned() []AbandonedEntry {
	list := l.forgot
	l.forgot = nil
	return list
}

// report notes an entry that has been owed for half of its time, once.
func (l *Ledger) report(e *entry, now time.Time) {
	if e.reportAt.IsZero() || now.Before(e.reportAt) {
		return
	}
	if e.onlyHalfOpen() { // a suspicion, which each call that is given up leaves behind
		_, gone := e.closesEnd()
		e.reportAt = gone.Add(e.part(evidencePart))
		return
	}
	e.reportAt = time.Time{}
	if !e.answered() {
		return // a place that is asked for, and nothing else: its answer may be slow
	}
	r := Report{Request: e.terms.Request, Key: e.key, PendingFor: now.Sub(e.owedAt), Releases: e.takes, Unconfirmed: e.doubted()}
	r.Holders = slices.DeleteFunc(e.where(), e.doubts)
	l.reports = append(l.reports, r)
}

// Reports returns the entries that have been owed for half of their time since the last call.
func (l *Ledger) Reports() []Report {
	list := l.reports
	l.reports = nil
	return list
}
