// Package guard decides whether a router may do what can't be undone: begin a
// request, write an attempt to a server, refuse, or close a connection that a
// request came on. Every path asks here, with the facts of that instant. The
// package is pure: it has no clock and does no I/O.
//
// A Monitor counts the answers. Most denials are the normal end of a race (a
// connection came up after its client had left). A denial of what the decision
// module should never have asked for is a violation: it is denied all the same,
// counted and reported, and fails a test.
package guard

import "time"

// Reason tells why something may not be done.
type Reason uint8

// The reasons. Allowed is the zero value.
const (
	Allowed        Reason = iota
	Cancelled             // the attempt was cancelled before it was written
	Unlisted              // the server is not in the list any more
	Draining              // the server takes nothing new
	DeadlinePassed        // the client's time, or the attempt's own, is over
	WindowPassed          // the servers may have forgotten the key of an earlier attempt
	ClientGone            // the client has closed its connection
	IDOpen                // another open request has the same id
	Answered              // the request has its final answer
	Streaming             // another attempt's answer is being passed on
	EffectInFlight        // an earlier attempt with an effect has no outcome yet
	MayHaveRun            // an earlier attempt may have run
	Unanswered            // a request was taken and has no answer
	HeldAtStop            // something may be held as the router's time to end is over
	HeldOverLimit         // something may be held, and there is no room to owe more
	numReasons
)

func (r Reason) String() string {
	return [numReasons]string{"allowed", "called off", "server not listed", "server draining", "deadline passed", "key window passed",
		"client gone", "id already open", "already answered", "already streaming", "earlier attempt still out",
		"earlier attempt may have run", "request unanswered", "held at the stop", "too much held"}[r]
}

// Action is what the guard is asked about.
type Action uint8

// The actions.
const (
	Start   Action = iota // a request is handed to the decision module
	Send                  // an attempt is made
	Write                 // its first byte is about to be written
	Refuse                // a client is told that nothing was done
	Close                 // a client's connection is closed
	Abandon               // what may be held for a request is forgotten without proof
	numActions
)

func (a Action) String() string {
	return [numActions]string{"start", "send", "write", "refuse", "close", "forget"}[a]
}

// Effect is what running a request twice does.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // nothing
	Keyed                // nothing while the servers remember its key
	Unsafe               // the effect happens twice
)

// StartFacts are those of a request that was read whole.
type StartFacts struct {
	ClientGone bool
	IDOpen     bool
}

// MayStart tells whether a request may be handed to the decision module.
func MayStart(f StartFacts) Reason {
	switch {
	case f.ClientGone:
		return ClientGone
	case f.IDOpen:
		return IDOpen
	}
	return Allowed
}

// SendFacts are those of a request for which the module wants another attempt.
type SendFacts struct {
	Effect         Effect
	Answered       bool
	Streaming      bool
	EffectInFlight bool // an attempt that may have an effect has no outcome yet
	MayHaveRun     bool // an attempt that ended is not known not to have run
}

// MaySend tells whether another attempt may be made.
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

// Violates tells whether a denial to send means that the module asked for what it
// must not; the others are races that it can't know of.
func (r Reason) Violates() bool { return r == EffectInFlight || r == MayHaveRun || r == Unanswered }

// WriteFacts are those of an attempt whose connection has come up.
type WriteFacts struct {
	Cancelled  bool
	Release    bool // it lets go of what is held, which is no new work
	Listed     bool
	Draining   bool
	Now        time.Time
	Deadline   time.Time   // of the attempt; zero: none
	WindowEnds time.Time   // of a key that an earlier attempt used; zero: none
	ClientGone func() bool // asked last, since it costs a system call; nil: not known
}

// MayWrite tells whether an attempt's first byte may be written now. Whoever
// decided on it could not know what has come while its connection came up.
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

// RefuseFacts are those of a request that is about to be refused.
type RefuseFacts struct {
	Effect     Effect
	MayHaveRun bool // an attempt is out, or is not known not to have run
	Remembered bool // the servers drop a repeat of its key for as long as the refusal advises to wait
}

// MayRefuse tells whether a refusal may promise that trying again is harmless.
func MayRefuse(f RefuseFacts) Reason {
	if f.MayHaveRun && (f.Effect == Unsafe || f.Effect == Keyed && !f.Remembered) {
		return MayHaveRun
	}
	return Allowed
}

// CloseFacts are those of a client's connection that is about to close.
type CloseFacts struct {
	Accepted   bool // a request was read whole on it and handed on
	Answered   bool // its answer was written as far as the client took it
	ClientGone bool
}

// MayClose tells whether a client's connection may close.
func MayClose(f CloseFacts) Reason {
	if f.Accepted && !f.Answered && !f.ClientGone {
		return Unanswered
	}
	return Allowed
}

// AbandonFacts are those of what a server may hold for a request, and of which it is not proven that it was let go.
type AbandonFacts struct {
	Stopped bool // the router ends, and its time is over
}

// MayAbandon tells why it is forgotten. It is never allowed: each time is counted and reported.
func MayAbandon(f AbandonFacts) Reason {
	if f.Stopped {
		return HeldAtStop
	}
	return HeldOverLimit
}
