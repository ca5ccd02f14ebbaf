// Package guard decides whether a router may take a step that cannot be undone: start a request, write an attempt to a
// server, refuse a request, or close a client's connection. Every path asks with the facts of that moment. The package is
// pure: it has no clock and does no I/O.
//
// A Monitor counts the decisions. Most denials are the normal outcome of a race, such as a connection that is established
// after its client has disconnected. A denial of a step that the decision module should never request is a violation: it is
// denied as well, counted, reported, and fails a test.
package guard

import "time"

// Reason is why a step is denied.
type Reason uint8

// Reasons. Allowed is the zero value.
const (
	Allowed        Reason = iota
	Cancelled             // the attempt was cancelled before it was written
	Unlisted              // the server is no longer in the list of servers
	Draining              // the server accepts no new work
	DeadlinePassed        // the deadline of the client or of the attempt has passed
	WindowPassed          // the servers may no longer remember the idempotency key of an earlier attempt
	ClientGone            // the client has closed its connection
	IDOpen                // another open request has the same id
	Answered              // the request has its final answer
	Streaming             // the answer of another attempt is being streamed
	EffectInFlight        // an earlier attempt with side effects has no outcome yet
	MayHaveRun            // an earlier attempt may have run
	Unanswered            // the request was accepted and has no answer
	HeldAtStop            // servers may hold state at the end of the router's shutdown time
	HeldOverLimit         // servers may hold state, and the limit on pending releases is reached
	LateInStop            // the router stops, and the request arrived too late to end before the kill
	numReasons
)

func (r Reason) String() string {
	return [numReasons]string{"allowed", "called off", "server not listed", "server draining", "deadline passed", "key window passed",
		"client gone", "id already open", "already answered", "already streaming", "earlier attempt still out",
		"earlier attempt may have run", "request unanswered", "held at the stop", "too much held", "late in the stop"}[r]
}

// Action is a step that needs the guard's permission.
type Action uint8

// Actions.
const (
	Start   Action = iota // hand a request to the decision module
	Send                  // make an attempt
	Write                 // write the first byte of an attempt
	Refuse                // tell a client that nothing was done
	Close                 // close a client's connection
	Abandon               // drop held state from the ledger without a confirmed release
	numActions
)

func (a Action) String() string {
	return [numActions]string{"start", "send", "write", "refuse", "close", "forget"}[a]
}

// Effect is the consequence of running a request twice.
type Effect uint8

// Effects.
const (
	Safe   Effect = iota // none
	Keyed                // none while the servers remember the request's idempotency key
	Unsafe               // the side effect happens twice
)

// StartFacts describe a request that was read completely.
type StartFacts struct {
	ClientGone bool
	LateInStop bool // see streamdrain.Plan
	IDOpen     bool
}

// MayStart decides whether a request may be handed to the decision module.
func MayStart(f StartFacts) Reason {
	switch {
	case f.ClientGone:
		return ClientGone
	case f.LateInStop:
		return LateInStop
	case f.IDOpen:
		return IDOpen
	}
	return Allowed
}

// SendFacts describe a request for which the decision module wants another attempt.
type SendFacts struct {
	Effect         Effect
	Answered       bool
	Streaming      bool
	EffectInFlight bool // an attempt that may have side effects has no outcome yet
	MayHaveRun     bool // a finished attempt may have run
}

// MaySend decides whether another attempt may be made.
func MaySend(f SendFacts) Reason {
	switch {
	case f.Answered:
		return Answered
	case f.Streaming:
		return Streaming
	case f.Effect != Safe && f.EffectInFlight:
		return EffectInFlight
	case f.Effect == Unsafe && f.MayHaveRun:
		return MayHaveRun
	}
	return Allowed
}

// Violates reports whether a denial for this reason means that the decision module requested a step that it must not. The
// other denials come from races that the module cannot know about.
func (r Reason) Violates() bool { return r == EffectInFlight || r == MayHaveRun || r == Unanswered }

// WriteFacts describe an attempt whose connection is established.
type WriteFacts struct {
	Cancelled  bool
	Release    bool // the call releases held state, which is not new work
	Listed     bool
	Draining   bool
	Now        time.Time
	Deadline   time.Time   // of the attempt; zero: none
	WindowEnds time.Time   // of the idempotency key of an earlier attempt; zero: none
	ClientGone func() bool // evaluated last, since it costs a system call; nil: unknown
}

// MayWrite decides whether the first byte of an attempt may be written now. The decision to make the attempt could not
// account for what changed while its connection was being established.
func MayWrite(f WriteFacts) Reason {
	switch {
	case f.Cancelled:
		return Cancelled
	case f.Release:
		return Allowed
	case !f.Listed:
		return Unlisted
	case f.Draining:
		return Draining
	case !f.WindowEnds.IsZero() && f.Now.After(f.WindowEnds):
		return WindowPassed
	case !f.Deadline.IsZero() && f.Now.After(f.Deadline):
		return DeadlinePassed
	case f.ClientGone != nil && f.ClientGone():
		return ClientGone
	}
	return Allowed
}

// RefuseFacts describe a request that is about to be refused.
type RefuseFacts struct {
	Effect     Effect
	MayHaveRun bool // an attempt is in flight, or a finished one may have run
	Remembered bool // the servers drop a repeat of its idempotency key for at least the advised retry delay
}

// MayRefuse decides whether a refusal may promise that a retry is harmless.
func MayRefuse(f RefuseFacts) Reason {
	if f.MayHaveRun && (f.Effect == Unsafe || f.Effect == Keyed && !f.Remembered) {
		return MayHaveRun
	}
	return Allowed
}

// CloseFacts describe a client's connection that is about to be closed.
type CloseFacts struct {
	Accepted   bool // a request was read completely and handed on
	Answered   bool // its answer was written as far as the client read it
	ClientGone bool
}

// MayClose decides whether a client's connection may be closed.
func MayClose(f CloseFacts) Reason {
	if f.Accepted && !f.Answered && !f.ClientGone {
		return Unanswered
	}
	return Allowed
}

// AbandonFacts describe state that a server may hold for a request and whose release is not confirmed.
type AbandonFacts struct {
	Stopped bool // the router stops, and its shutdown time is over
}

// MayAbandon returns the reason for abandoning the state. It is never Allowed: every case is counted and reported.
func MayAbandon(f AbandonFacts) Reason {
	if f.Stopped {
		return HeldAtStop
	}
	return HeldOverLimit
}
