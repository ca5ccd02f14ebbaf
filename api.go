// Package gannethook makes the decisions of a router in front of a language
// model service, whose readers process prompts (prefill) and whose writers
// stream the answers (decode): which reader gets a prompt, which writer holds a
// place for its answer, when to retry, when to refuse.
//
// The package does no I/O. Feed a Router its events with the time at which they
// occurred, and carry out the actions that it returns, in order. This file is
// the interface; the decisions are in router.go, slowstart.go and membership.go.
package gannethook

// Millis is a point in time or a time span in milliseconds, on any monotonic clock.
type Millis float64

// ServerID identifies a server. It is opaque.
type ServerID string

// RequestID identifies one try of a client's request. It is never reused.
type RequestID uint64

// Key is the hash of a session or of a shared prompt prefix; 0 means none.
type Key uint64

// Role is the kind of work that a kind of server does.
type Role int

// The roles of servers.
const (
	Reader Role = iota + 1 // reads prompts and keeps the read state
	Writer                 // fetches a read state and streams the answer
	Mixed                  // does both
)

// Effect is what a repeat of a request may do.
type Effect int

// The effects of classes.
const (
	Safe   Effect = iota + 1 // may be repeated freely
	Keyed                    // repeats are dropped inside a Group for a Window
	Unsafe                   // must not run twice
)

// Group is the set of servers that drops the repeats of a keyed request.
type Group int

// The groups of keyed classes.
const (
	GroupAll Group = iota + 1
	GroupZone
	GroupCell
)

// Class describes a class of requests.
type Class struct {
	Aim        Millis  // target latency of the first token; 0: the client's time budget
	AimPer1000 Millis  // added to Aim for each 1,000 prompt tokens
	Worth      float64 // of one request, or of one unit of its work
	Effect     Effect
	Group      Group
	Window     Millis // how long a group remembers a keyed request
	Streamed   bool   // the answer is streamed
	OneStage   bool   // the work ends with reading the prompt, as for an embedding: Served there is the answer
}

// Kind describes a kind of server.
type Kind struct {
	Role   Role
	Memory float64 // in tokens; 0 if unknown
}

// Tenant describes a tenant's quota.
type Tenant struct {
	QuotaPerS float64 // requests per second within its share, over all routers; 0: no limit
}

// Price is the cost of reading so many prompt tokens, by which readers are chosen. It is quadratic
// in the tokens and has no unit.
func Price(tokens float64) float64 { return price(tokens) }

// Settings configure a router.
type Settings struct {
	Routers int // number of routers that share the servers
	Classes []Class
	Kinds   []Kind
	Tenants []Tenant

	ColdFrom       float64 // share of its capacity that a server starts with
	WarmAfter      Millis  // duration of slow start: then it has its whole capacity
	OverloadFactor float64 // multiple of its capacity at which a server in slow start fails if it lasts
	PinLimit       Millis  // longest time that an idle hold or read state may be kept

	ConnIdle      Millis  // a connection closes after so long without use; 0: unknown
	MaxAttempts   int     // per request; 0: no limit
	RepeatPart    float64 // repeats that a server may get for each recent first attempt; 0: no limit
	MaxRetryAfter Millis  // longest advised wait that clients honour; 0: none
	Quantum       Millis  // time between two batches of events

	AskDiscovery bool // changes of the server list are sent only to subscribers
	Cancel       bool // Cancel actions are allowed
	Holds        bool // Hold actions are allowed
	WritersRead  bool // a writer without a read state reads the prompt itself
	SparesWaited bool // a Release preserves what an attempt that has arrived at its server waits for
}

// ServerState is a server's state in the list.
type ServerState int

// The states of listed servers.
const (
	Ready    ServerState = iota + 1
	Draining             // gets no new work
	Gone                 // removed from the list
)

// Server is one entry of the list of servers.
type Server struct {
	ID         ServerID
	Kind       int
	Zone, Cell int    // location; cells are parts of zones
	Since      Millis // start time, by the wall clock of who reports it; 0: long ago
	State      ServerState
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	Served        Outcome = iota + 1 // answered
	ReadDone                         // the prompt is read, its state is kept
	Failed                           // an error; it may have run
	Full                             // rejected; it did not run
	TimedOut                         // no answer in time; it may have run
	ConnectFailed                    // no connection; it did not run
	Broken                           // the connection broke; it may have run
	Cancelled                        // cancelled; it may have run
	Moot                             // never sent
	UnknownEnd                       // unknown to this version; it may have run
	NotTried                         // no connection, for a reason on the router's own machine; it did not run
)

// Event is an input of a Router.
type Event interface{ isEvent() }

// The events.
type (
	// Membership is an update of the list of servers.
	Membership struct {
		Whole   bool // Servers is the whole list; otherwise the changes
		Failed  bool // a subscription failed; the list stays
		Servers []Server
	}
	// Request is a client's request, to be answered exactly once.
	Request struct {
		ID        RequestID
		Class     int
		Tenant    int
		Session   Key
		Prefix    Key
		Budget    Millis  // time until the client stops waiting for this try
		Prompt    float64 // length in tokens
		PrefixLen float64 // tokens of Prompt that belong to Prefix
		MaxOut    float64 // maximum tokens of the answer
		Hint      float64 // estimated tokens of the answer; 0 if unknown
	}
	// Streaming reports that an answer has started; the attempt then belongs to the client.
	Streaming struct {
		ID      RequestID
		Attempt int
		Server  ServerID
	}
	// Held answers the last Hold, while the reading attempt that was sent with it is in flight.
	Held struct {
		ID      RequestID
		Attempt int
		OK      bool
	}
	// Ended reports the outcome of an attempt.
	Ended struct {
		ID       RequestID
		Attempt  int
		Server   ServerID
		Outcome  Outcome
		Done     bool    // the request has got its final answer
		NoState  bool    // with Full: there was no read state to fetch
		Kept     float64 // with ReadDone: tokens of the prompt that the server had cached; 0 if unknown
		Reported bool    // the answer carried a load report
		Memory   float64 // of the report: share of memory in use
	}
	// ClientGone reports that the client has disconnected; it needs no answer any more.
	ClientGone struct{ ID RequestID }
	// Wakeup is a Wake that is due.
	Wakeup struct{ Ref uint64 }
	// Reconfigure replaces the settings for what comes from now on; requests under way keep those
	// that they came under. Invalid settings change nothing. If the kinds change, a Membership with
	// the whole list has to follow.
	Reconfigure struct{ Settings Settings }
)

// Action is an output of a Router, to be carried out.
type Action interface{ isAction() }

// The actions.
type (
	// Send starts the next attempt of a request. Attempts count from 0.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout Millis // 0: none, the client's budget limits it
		Within  Millis // must be written within this time, or counts as ConnectFailed; 0: no limit
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Hold asks a writer to hold a place for the request.
	Hold struct {
		ID     RequestID
		Server ServerID
	}
	// Release releases every read state and place that is held for the request.
	Release struct{ ID RequestID }
	// Refuse is the final answer that promises that trying again is harmless.
	Refuse struct {
		ID         RequestID
		RetryAfter Millis
	}
	// Fail is the final answer that promises nothing.
	Fail struct{ ID RequestID }
	// Wake asks for a Wakeup with this Ref.
	Wake struct {
		In  Millis
		Ref uint64
	}
	// Subscribe asks for updates of the list of servers.
	Subscribe struct{}
)

func (Membership) isEvent()  {}
func (Request) isEvent()     {}
func (Streaming) isEvent()   {}
func (Held) isEvent()        {}
func (Ended) isEvent()       {}
func (ClientGone) isEvent()  {}
func (Wakeup) isEvent()      {}
func (Reconfigure) isEvent() {}

func (Send) isAction()      {}
func (Cancel) isAction()    {}
func (Hold) isAction()      {}
func (Release) isAction()   {}
func (Refuse) isAction()    {}
func (Fail) isAction()      {}
func (Wake) isAction()      {}
func (Subscribe) isAction() {}

// View is a server as the router sees it, for operators.
type View struct {
	Server
	Role     Role
	Freeness float64 // headroom after penalties: a reader's to read, a writer's memory, a Mixed server's lesser
	Charge   float64 // headroom lost to failures and lateness
	Backlog  float64 // price of own reads in flight
	Holds    int     // own places held and streams open
	Memory   float64 // share of memory in use as last reported
	Heard    Millis  // time of that report; 0: never
}
