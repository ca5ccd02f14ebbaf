// Package attempt has what the driver and its ways out to servers tell each
// other of one attempt, whatever protocol carries it.
package attempt

import (
	"encoding/json"
	"time"

	"gannethook"
	"gannethook/internal/http1"
)

// Call is one attempt at a server.
type Call struct {
	Addr          string // or another name that the way out knows the server by
	Key           string // names the read and its state at the servers
	Model         string
	Class         string
	Tenant        string
	Idempotency   string
	Prompt        string
	MaxTokens     int
	PromptSize    float64 // tokens, as the router counts them
	PrefixKey     string  // the shared beginning, for servers that keep text by it
	Params        json.RawMessage
	Sampling      json.RawMessage         // an object of fields that the server takes as they are
	Path          string                  // of a request that goes as it came, and of one-stage work
	Header        http1.Header            // of a request that goes as it came: the fields that are passed on
	Body          []byte                  // its body, as the server takes it,
	CheckAnswer   func(body []byte) error // and whether an answer is one
	Deadline      time.Time               // how long the router will wait; zero: not known
	WriteDeadline time.Time               // it has to be written by then, or not at all; zero: whenever
	ClientGone    func() bool             // whether its client has left; nil: not known. Nothing begins for one that has
	Unsafe        bool                    // it may not be made again once it may have run
	RetriesLeft   int                     // attempts that its request may make after it; negative: any number
	Trace         bool                    // somebody logs what became of it
	Connection    string                  // told by the way out: the connection that it went by, for the log
	Written       *Signal                 // set when the request's last byte is written; nil: nobody asks
}

// Result tells how an attempt ended.
type Result struct {
	Outcome        gannethook.Outcome
	NoState        bool
	Reported       bool
	Memory         float64
	Params         json.RawMessage // of a read that is done
	CachedTokens   float64         // the same: tokens of the prompt that the server had kept; 0: none, or it did not tell
	Tokens         int
	Body           json.RawMessage // of one-stage work that is done
	Detail         string          // why, for the log
	Interrupted    bool            // the connection ended before the answer had come whole: its server may not have noticed
	ClosedByServer bool            // the server's end of the connection ended it: it does not go on with the attempt
	BegunBy        time.Time       // by when its server has begun it, if it has arrived; zero: not known
}

// Held is a state or place that may be held for a request. Without an address any server may be asked.
type Held struct{ Addr, Key string }

// PlaceResult answers a request for a place.
type PlaceResult int

// The answers. What is Unknown may be held all the same; so may what is NoAnswer,
// to which no answer came.
const (
	Unknown PlaceResult = iota
	Granted
	Denied
	NoAnswer
)

// ReleaseResult tells how a release went.
type ReleaseResult struct {
	Acknowledged bool      // a server answered that it has let go
	Server       string    // which one
	SentAt       time.Time // when it was asked
	Unresponsive []string  // servers that were asked before it and did not answer
}
