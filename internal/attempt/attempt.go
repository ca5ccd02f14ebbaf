// Package attempt defines the types that the driver exchanges with the clients for workers: an attempt, its result, and
// the held state of a request. They do not depend on the protocol that carries the attempt.
package attempt

import (
	"encoding/json"
	"time"

	"gannethook"
	"gannethook/internal/http1"
)

// Call describes one attempt at a server.
type Call struct {
	Addr          string // address, or another name by which the client for workers knows the server
	Key           string // identifies the read and its held state at the servers
	Model         string
	Class         string
	Tenant        string
	Idempotency   string
	Prompt        string
	MaxTokens     int
	PromptSize    float64                 // in tokens, by the router's own count
	PrefixKey     string                  // key of the shared prefix, for servers that cache by it
	Params        json.RawMessage         // of a write: the parameters that the read returned; nil: the server reads the prompt itself
	Sampling      json.RawMessage         // JSON object with sampling fields, passed to the server unchanged
	Path          string                  // server path of one-stage work and of a request that is forwarded unchanged
	Header        http1.Header            // header fields passed on with a request that is forwarded unchanged
	Body          []byte                  // request body in the server's format
	CheckAnswer   func(body []byte) error // validates the answer to Body
	Deadline      time.Time               // until when the router waits for the answer; zero: unknown
	WriteDeadline time.Time               // the request is not sent unless it is written by then; zero: no limit
	ClientGone    func() bool             // reports whether the client has disconnected; nil: unknown. No attempt starts for such a client
	Unsafe        bool                    // not to be repeated once it may have run
	RetriesLeft   int                     // attempts that the request may still make after this one; negative: unlimited
	Trace         bool                    // the result is logged
	Connection    string                  // set by the client for workers: the connection that carried the attempt, for the log
	Written       *Signal                 // set once the last byte of the request is written; nil: not needed
}

// Result describes how an attempt ended.
type Result struct {
	Outcome        gannethook.Outcome
	NoState        bool
	Reported       bool
	Memory         float64
	Params         json.RawMessage // of a completed read: parameters for the write
	CachedTokens   float64         // of a completed read: prompt tokens found in the server's cache; 0: none or not reported
	Tokens         int
	Body           json.RawMessage // of completed one-stage work: the answer
	Detail         string          // reason, for the log
	Interrupted    bool            // the connection ended before the answer was complete: the server may not have observed the close
	ClosedByServer bool            // the server closed the connection: it does not continue the attempt
	StartedBy      time.Time       // latest time at which the server began the attempt, if it arrived; zero: unknown
}

// Held identifies state or a place that a server may hold for a request. With an empty Addr any server may be asked to release it.
type Held struct{ Addr, Key string }

// PlaceResult is the result of a request for a place.
type PlaceResult int

// Place results. After Unknown and NoAnswer the server may hold the place.
const (
	Unknown PlaceResult = iota // answered, but the server knew of no read for the key
	Granted
	Denied
	NoAnswer // the connection ended before an answer came
)

// ReleaseResult describes how a release ended.
type ReleaseResult struct {
	Acknowledged bool      // a server confirmed the release
	Server       string    // the server that confirmed it
	SentAt       time.Time // when the confirmed release was sent
	Unresponsive []string  // servers that were asked earlier and did not answer
}
