// Package record keeps a log of the traffic as clients and stand-ins saw it, with one clock. Package rules checks a run by
// this log alone.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kinds of events. Who is a client's name, an engine's address, "roster", "fleet" or "tool".
const (
	// Recorded by clients.
	Open  = "open"  // a session or connection to Router is open
	Offer = "offer" // a try is sent: Req, Try, Router, Class; N is the client's time limit in ms, Note the tenant
	Token = "token" // first token of a try
	Final = "final" // final answer: Note is served, refused, failed or cancelled; N is the retry-after in ms
	After = "after" // data arrived after the final answer of a try
	Lost  = "lost"  // no final answer: Note reports whether the connection ended or the client timed out or disconnected
	// Recorded by engines and the roster, and by the run of a scenario.
	Arrive      = "arrive"  // an attempt arrived: Key, Req; Note is read, write or whole (one-stage work)
	Swallow     = "swallow" // an attempt arrived at a frozen engine; fields as for Arrive
	End         = "end"     // an attempt ended: Note tells how
	Apply       = "apply"   // the request took effect
	Drop        = "drop"    // a repeat was dropped
	Held        = "held"    // a state or place is held for Key: Note tells which
	Freed       = "freed"   // it is no longer held: Note tells which and why
	Fell        = "fell"    // crashed from overload during slow start
	Started     = "started"
	Dead        = "dead"
	Frozen      = "frozen" // answers nothing from now on
	Thawed      = "thawed"
	Jammed      = "jammed"         // new connections time out from now on
	Opened      = "opened"         // new connections are accepted again
	Told        = "told"           // the roster notified Router of a server: Note is ready, draining or gone
	RouterUp    = "router-up"      // Router was started
	RouterReady = "router-ready"   // Router accepts connections
	Stopped     = "router-stopped" // Router was asked to end
	Killed      = "router-killed"  // Router is about to be killed or suspended
	Reaped      = "router-reaped"  // Router has ended, or runs on after a suspension
	Fault       = "fault"          // a fault begins or ends: Note tells which
	// Recorded around runs of the fleet tool. Note is the command; Key names one run.
	ToolBegin = "tool-begin"
	ToolEnd   = "tool-end" // N is the exit status
	Probe     = "probe"    // state of Router before and after a run: N is its process id, 0 for none; Note is "ready" if it is ready
	ShutOut   = "shut-out" // a client got no session at Router; Note tells why
)

// Event is one observation.
type Event struct {
	T      float64 `json:"t"` // ms since the log began
	Who    string  `json:"who"`
	Kind   string  `json:"kind"`
	Req    string  `json:"req,omitempty"` // the client's request, the same for all its tries
	Try    int     `json:"try,omitempty"`
	Router string  `json:"router,omitempty"`
	Key    string  `json:"key,omitempty"` // request id of an attempt at the engines
	Class  string  `json:"class,omitempty"`
	N      float64 `json:"n,omitempty"`
	Note   string  `json:"note,omitempty"`
}

func (e Event) String() string {
	return fmt.Sprintf("%9.1f ms  %-22s %-13s req=%s try=%d router=%s key=%s class=%s n=%g %s",
		e.T, e.Who, e.Kind, e.Req, e.Try, e.Router, e.Key, e.Class, e.N, e.Note)
}

// Log collects events; it is safe for concurrent use. A nil Log discards them.
type Log struct {
	start  time.Time
	mu     sync.Mutex
	events []Event
}

// New returns a log that begins now.
func New() *Log { return &Log{start: time.Now()} }

// Now returns the log's time in ms.
func (l *Log) Now() float64 { return float64(time.Since(l.start).Microseconds()) / 1000 }

// Add stamps an event with the time and keeps it.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.T = l.Now() // under the lock, so that the list is in the order of time
	l.events = append(l.events, e)
}

// Events returns a copy of the events, in order.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}

// Write writes events as JSON lines.
func Write(w io.Writer, events []Event) error {
	bw := bufio.NewWriter(w)
	enc := json.NewEncoder(bw)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return err
		}
	}
	return bw.Flush()
}

// Read reads JSON lines; a truncated last line is left out.
func Read(r io.Reader) ([]Event, error) {
	var list []Event
	dec := json.NewDecoder(r)
	for {
		var e Event
		switch err := dec.Decode(&e); err {
		case nil:
			list = append(list, e)
		case io.EOF, io.ErrUnexpectedEOF:
			return list, nil
		default:
			return list, fmt.Errorf("record: event %d: %w", len(list), err)
		}
	}
}
