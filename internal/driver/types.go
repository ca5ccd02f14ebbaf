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

// ErrBusy means that a request was not accepted: nothing of it has run.
var ErrBusy = errors.New("the router is full")

// ErrStopped means that the driver has stopped.
var ErrStopped = errors.New("the router has stopped")

// Engines makes the attempts at servers; engine.Client and the platform's worker client implement it.
type Engines interface {
	// Read makes a read at a reader.
	Read(ctx context.Context, call *attempt.Call) attempt.Result
	// Do makes an attempt at one-stage work.
	Do(ctx context.Context, call *attempt.Call) attempt.Result
	// Write makes a write at a writer: started is called before the first token and reports whether the stream may start; token
	// receives each token and returns false to end the stream.
	Write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result
	// Hold requests a place for what reader is about to read; call.Written, if set, is that of the read.
	Hold(ctx context.Context, call *attempt.Call, reader string) attempt.PlaceResult
	// Release releases what is held under one key, with retries of its own; it returns in bounded time.
	Release(ctx context.Context, list []attempt.Held) attempt.ReleaseResult
	// ReleaseAt asks a single server once, with a longer timeout; without an address it asks the server that answered last.
	ReleaseAt(ctx context.Context, h attempt.Held) attempt.ReleaseResult
	// LastAnswer returns when the last call that a server answered was sent, and when it was answered; zero: unknown.
	LastAnswer(server string) (sent, answered time.Time)
}

// Decider makes the routing decisions; gannethook.Router implements it, and comparisons may use a baseline.
type Decider interface {
	Handle(now gannethook.Millis, ev gannethook.Event) []gannethook.Action
}

// Job is a request as the front end submits it.
type Job struct {
	Class, Tenant            int
	ClassName, TenantName    string
	SessionID                string
	Session, Prefix          gannethook.Key // hashes of the session and of the shared prefix; 0: none
	PrefixName               string         // key of the shared prefix at the servers
	Timeout                  time.Duration  // the client's time limit, from ArrivedAt
	PromptSize, PrefixTokens float64        // in tokens: of the prompt, and of its shared prefix
	MaxTokens                int
	Model, Prompt            string
	Idempotency              string                  // idempotency key; empty: none
	Name                     string                  // the request's own id, if servers know it and its held state by that; else empty
	Sampling                 json.RawMessage         // JSON object with sampling fields, passed to the engine unchanged
	Path                     string                  // of a named or one-stage request: the path at the servers
	Header                   http1.Header            // header fields passed on with it
	Body                     []byte                  // request body in the servers' format
	CheckAnswer              func(body []byte) error // validates the answer to Body
	ArrivedAt                time.Time               // of the request at this router, before any queue; zero: at Submit
	ClientGone               func() bool             // reports at once whether the client has disconnected; nil: only Cancel reports it
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of final answers; Cancelled is that of a request whose client cancelled it or disconnected.
const (
	Served Outcome = iota + 1
	Refused
	Failed
	Cancelled
)

func (k Outcome) String() string {
	return [...]string{"none", "served", "refused", "failed", "cancelled"}[k]
}

// Answer is the final answer to a request.
type Answer struct {
	Outcome     Outcome
	RetryAfter  time.Duration // of a refusal
	Tokens      int
	Body        []byte // of one-stage work that was served: the engine's answer
	Reason      string
	LimitReason limits.Reason // of a refusal by limits; 0: no such refusal
	MayHaveRun  bool          // an attempt at a writer may have run
}

// Sink receives the answer to a request. Token is called on the attempt's goroutine with a token as the client for workers
// delivers it (a raw JSON string from engines, events from platform workers), valid during the call; it returns false once
// the client does not read any more, and may block only while the client reads slowly. Final is called once, after the last
// token, on the driver's goroutine, and must not block.
type Sink interface {
	Token(text []byte) bool
	Final(Answer)
}

// Summary is the log record of a request.
type Summary struct {
	ID                       uint64
	Name                     string // of a named job
	Session, Class           string
	Reader, Writer           string
	Attempts, Tokens         int
	Outcome                  Outcome
	Reason                   string
	FirstToken, Total        time.Duration
	AttemptEnds              []string        // one per attempt, in order: server, start, connection, duration and result
	ReleasedAfter            []time.Duration // times of the release requests, from the request's arrival
	RetryAfter               time.Duration
	PromptSize               float64
	ReadTokens, CachedTokens float64 // prompt tokens of all reads, and how many of them servers found in their caches
}

// Names are the names of classes and tenants in the order of the settings. Jobs that carry names remain valid when new
// settings number classes and tenants differently.
type Names struct{ Classes, Tenants []string }
