package heldstate

import (
	"slices"
	"time"
)

// AbandonedEntry is an entry that was removed without evidence that nothing is held.
type AbandonedEntry struct {
	Request, Key string
	PendingFor   time.Duration
	Servers      []string
	Reason       AbandonReason
}

// AbandonReason is why an entry was abandoned.
type AbandonReason uint8

// The reasons.
const (
	LedgerFull    AbandonReason = iota // too many entries or compact holdings
	RouterStopped                      // the router ended
)

func (r AbandonReason) String() string {
	return [...]string{"too many pending", "the router ends"}[r]
}

// Report describes an entry that has been pending for half of its pin limit.
type Report struct {
	Request, Key string
	PendingFor   time.Duration
	Releases     int      // acknowledged ones
	Holders      []string // servers that may hold something
	Unconfirmed  []string // servers that may not have observed a close
}

// Abandoned returns the entries that were abandoned since the last call.
func (l *Ledger) Abandoned() []AbandonedEntry {
	list := l.abandoned
	l.abandoned = nil
	return list
}

// report adds the report of an entry that has been pending for half of its pin limit, once.
func (l *Ledger) report(e *entry, now time.Time) {
	if e.reportAt.IsZero() || now.Before(e.reportAt) {
		return
	}
	if e.onlyHalfOpen() { // only suspected, as after each call that the router closes
		_, goneBy := e.halfOpenEnds()
		e.reportAt = goneBy.Add(e.pinPart(reportPart))
		return
	}
	e.reportAt = time.Time{}
	if !e.anyCallEnded() {
		return // only a place request in flight, whose answer may be slow
	}
	r := Report{Request: e.terms.Request, Key: e.key, PendingFor: now.Sub(e.pendingSince), Releases: e.ackedReleases, Unconfirmed: e.unconfirmedServers()}
	r.Holders = slices.DeleteFunc(e.holders(), e.isUnconfirmed)
	l.reports = append(l.reports, r)
}

// Reports returns the reports since the last call.
func (l *Ledger) Reports() []Report {
	list := l.reports
	l.reports = nil
	return list
}
