package driver

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/http1"
	"gannethook/internal/limits"
)

// ErrBusy tells that a request was not taken: nothing of it has run.
var ErrBusy = errors.New("the router is full")

// ErrStopped tells that the driver has ended.
var ErrStopped = errors.New("the router has stopped")

// Engines makes attempts; engine.Client does, and the platform's workers do.
type Engines interface {
	Read(ctx context.Context, call *attempt.Call) attempt.Result
	Do(ctx context.Context, call *attempt.Call) attempt.Result
	Write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result
	// Hold asks for a place for what reader is about to read; call.Sent, if set, is that read's.
	Hold(ctx context.Context, call *attempt.Call, reader string) attempt.PlaceResult
	// Release lets go of what is held under one key, with tries again of its own; it ends in bounded time.
	Release(ctx context.Context, list []attempt.Held) attempt.ReleaseResult
	// ReleaseAt asks one server alone, once, and waits for it longer; one without an address asks whichever answered last.
	ReleaseAt(ctx context.Context, h attempt.Held) attempt.ReleaseResult
	// LastAnswer is when the last call was sent that a server has answered, and when it was answered; zero: not known.
	LastAnswer(server string) (sent, answered time.Time)
}

// Decider decides; gannethook.Router does. A baseline may stand in for it in comparisons.
type Decider interface {
	Handle(now gannethook.Millis, ev gannethook.Event) []gannethook.Action
}

// Job is a request as a client's front hands it over.
type Job struct {
	Class, Tenant            int
	ClassName, TenantName    string
	SessionID                string
	Session, Prefix          gannethook.Key
	PrefixName               string
	Timeout                  time.Duration
	PromptSize, PrefixTokens float64 // tokens of the prompt, and of these the shared beginning's
	MaxTokens                int
	Model, Prompt            string
	Idempotency              string
	Name                     string                  // the request's own id, where servers know it and all held for it by that; else ""
	Sampling                 json.RawMessage         // an object of fields that the engine takes as they are
	Path                     string                  // of a named or one-stage request: the servers' path,
	Header                   http1.Header            // the fields that are passed on with it,
	Body                     []byte                  // the request as they take it,
	CheckAnswer              func(body []byte) error // and whether an answer is one
	QueuedFor                time.Duration           // of Timeout, before it came to the driver
	ClientGone               func() bool             // whether its client has left, seen at once; nil: Abandon tells
}

// Outcome tells how a request ended.
type Outcome int

// The final answers, and Cancelled for a request that its client took back.
const (
	Served Outcome = iota + 1
	Refused
	Failed
	Cancelled
)

func (k Outcome) String() string {
	return [...]string{"none", "served", "refused", "failed", "cancelled"}[k]
}

// Answer is the final answer.
type Answer struct {
	Outcome     Outcome
	RetryAfter  time.Duration // of a refusal
	Tokens      int
	Body        []byte // of one-stage work that was served, as the engine gave it
	Reason      string
	LimitReason limits.Reason // of a refusal by limits; 0 of any other
	MayHaveRun  bool          // an attempt at a writer is not known not to have run
}

// Sink receives a request's answer. Token comes from the attempt's goroutine, as
// the way out gives it (a raw JSON string from engines, events from platform
// workers), valid during the call; it returns false once nobody reads, and may
// wait for its reader alone. Final comes once, last, from
// the driver's goroutine, and may not wait.
type Sink interface {
	Token(text []byte) bool
	Final(Answer)
}

// Summary is what is logged of one request.
type Summary struct {
	ID                 uint64
	Name               string // of a named job
	Session, Class     string
	Reader, Writer     string
	Attempts, Tokens   int
	Outcome            Outcome
	Reason             string
	FirstToken, Total  time.Duration
	AttemptEnds        []string        // of the attempts, in order: where, when, how long and how
	ReleasedAfter      []time.Duration // after it came, when what may have been held was let go
	RetryAfter         time.Duration
	PromptSize         float64
	Read, CachedTokens float64 // tokens of prompts read for it, and of these found kept
}

// Names are the names of classes and tenants, in the settings' order. Jobs that
// carry names outlive a change of the settings, which numbers them anew.
type Names struct{ Classes, Tenants []string }
