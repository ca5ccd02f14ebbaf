// Package record keeps what passed on the sockets, as clients and stand-ins saw
// it, with one clock. The rule checker reads nothing else.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kinds of events. Who is a client's name, an engine's address or "roster".
const (
	// Clients'.
	Open  = "open"  // a session is open at Router
	Offer = "offer" // a try is sent: Req, Try, Router, Class; N is the ms until it is given up, Note the tenant
	Token = "token" // the first one alone
	Final = "final" // Note is served, refused, failed or cancelled; N is the retry-after in ms
	After = "after" // something came for a try that had its final answer
	Lost  = "lost"  // the connection ended, or the client gave up, without a final answer; Note tells which
	// Engines'.
	Arrive      = "arrive"  // an attempt: Key, Req; Note is read or write
	Swallow     = "swallow" // an attempt came to a frozen engine; as Arrive
	End         = "end"     // of an attempt: Note tells how
	Apply       = "apply"   // the request's effect happened
	Drop        = "drop"    // a repeat was dropped
	Held        = "held"    // a state or place is held for Key: Note tells which
	Freed       = "freed"   // and no longer: Note tells why
	Fell        = "fell"    // pushed over while cold
	Started     = "started"
	Dead        = "dead"
	Frozen      = "frozen" // it answers nothing from now on
	Thawed      = "thawed"
	Jammed      = "jammed"         // new connections to it time out from now on
	Opened      = "opened"         // and no longer
	Told        = "told"           // the roster told Router of a server: Note is ready, draining or gone
	RouterUp    = "router-up"      // Router
	RouterReady = "router-ready"   // it takes connections
	Stopped     = "router-stopped" // it was asked to end
	Killed      = "router-killed"  // it is about to be
	Reaped      = "router-reaped"  // and it was
	Fault       = "fault"          // Note tells which
	// The fleet tool's. Note is the command; Key names one run of the tool.
	ToolBegin = "tool-begin"
	ToolEnd   = "tool-end" // N is the exit status
	Probe     = "probe"    // what Router is outside of a run: N is its process, 0 for none; Note tells whether it is ready
	ShutOut   = "shut-out" // a client got no session at Router; Note tells why
)

// Event is one thing seen.
type Event struct {
	T      float64 `json:"t"` // ms since the log began
	Who    string  `json:"who"`
	Kind   string  `json:"kind"`
	Req    string  `json:"req,omitempty"` // the client's request, over all its tries
	Try    int     `json:"try,omitempty"`
	Router string  `json:"router,omitempty"`
	Key    string  `json:"key,omitempty"` // names a read at the engines
	Class  string  `json:"class,omitempty"`
	N      float64 `json:"n,omitempty"`
	Note   string  `json:"note,omitempty"`
}

func (e Event) String() string {
	return fmt.Sprintf("%9.1f ms  %-22s %-13s req=%s try=%d router=%s key=%s class=%s n=%g %s",
		e.T, e.Who, e.Kind, e.Req, e.Try, e.Router, e.Key, e.Class, e.N, e.Note)
}

// Log collects events; it is safe for concurrent use. A nil Log takes none.
type Log struct {
	start time.Time
	mu    sync.Mutex
	list  []Event
}

// New returns a log that begins now.
func New() *Log { return &Log{start: time.Now()} }

// Now is the log's time in ms.
func (l *Log) Now() float64 { return float64(time.Since(l.start).Microseconds()) / 1000 }

// Add stamps an event and keeps it.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.T = l.Now() // under the lock: the order of the list is that of the times
	l.list = append(l.list, e)
}

// Events is a copy of what was seen, in order.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.list...)
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

// Read reads JSON lines; a torn last line is left out.
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
