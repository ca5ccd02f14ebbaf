// Package gannethook decides for a router in front of a model service whose
// readers take in prompts and whose writers stream the answers: which reader
// gets a prompt, which writer holds a place for its answer, when to try again,
// when to say no.
//
// The package does no I/O. Feed a Router its events with the time they came at
// and carry out the actions it returns, in order. This file is the interface;
// every decision is in router.go.
package gannethook

// Millis is a time or a span in milliseconds on any clock that only increases.
type Millis float64

// ServerID names a server. It is opaque.
type ServerID string

// RequestID names one try of a client's request. It is never reused.
type RequestID uint64

// Key is the hash of a session or of a shared prompt beginning; 0 means none.
type Key uint64

// Role tells what a kind of server does.
type Role int

// The roles of servers.
const (
	Reader Role = iota + 1 // reads prompts, keeps the read state
	Writer                 // fetches a state and streams the answer
	Mixed                  // either
)

// Effect tells what a repeat of a request may do.
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
	Aim        Millis  // first token wanted within this; 0: while its client waits
	AimPer1000 Millis  // and so much more for each 1,000 prompt tokens
	Worth      float64 // of one request, or of one unit of its work
	Effect     Effect
	Group      Group
	Window     Millis // how long a group remembers a keyed request
	Streamed   bool
	OneStage   bool // its work ends where its prompt is read, as an embedding's: a Served there is the answer
}

// Kind describes a kind of server.
type Kind struct {
	Role   Role
	Memory float64 // in tokens; 0 when not told
}

// Tenant describes one tenant's share.
type Tenant struct {
	QuotaPerS float64 // requests a second within its share, over all routers
}

// Price is what reading so many prompt tokens costs, by which readers are chosen.
func Price(tokens float64) float64 { return price(tokens) }

// Settings are all that a router is told at its start.
type Settings struct {
	Routers int // how many there are
	Classes []Class
	Kinds   []Kind
	Tenants []Tenant

	ColdFrom       float64 // fraction of its capacity with which a server starts
	WarmAfter      Millis  // it is warm by then
	OverloadFactor float64 // sent more than this multiple of its capacity, for a time, a cold server falls over
	PinLimit       Millis  // an idle hold or state is let go by then

	ConnIdle      Millis  // a connection closes after so long without use; 0: not told
	MaxAttempts   int     // per request; 0 means no limit
	RepeatPart    float64 // repeats that a server gets for each first attempt of late; 0: not limited
	MaxRetryAfter Millis  // the longest wait that clients honour; 0 means none do
	Quantum       Millis  // time between two batches of events

	AskDiscovery bool // changes come only to routers that ask for them
	Cancel       bool // Cancel actions are allowed
	Holds        bool // Hold actions are allowed
	WritersRead  bool // a writer without a state reads the prompt itself
	SparesWaited bool // a Release spares what an attempt that has arrived waits for
}

// ServerState is a server's state in the list.
type ServerState int

// The states of listed servers.
const (
	Ready ServerState = iota + 1
	Draining
	Gone
)

// Server is one entry of the list of servers.
type Server struct {
	ID         ServerID
	Kind       int
	Zone, Cell int
	Since      Millis // when it last started; 0: long ago
	State      ServerState
}

// Outcome tells how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	Served        Outcome = iota + 1 // answered
	ReadDone                         // the prompt is read, its state waits
	Failed                           // an error; it may have run
	Full                             // turned away; it did not run
	TimedOut                         // no answer in time; it may have run
	ConnectFailed                    // not connected; it did not run
	Broken                           // connection broke; it may have run
	Cancelled                        // called off; it may have run
	Moot                             // never sent
	UnknownEnd                       // not known to this version; it may have run
	NotTried                         // not connected for a reason on the router's own machine; it did not run
)

// Event is something that a router is told.
type Event interface{ isEvent() }

// The events.
type (
	// Membership is news of the list of servers.
	Membership struct {
		Whole   bool // Servers is the whole list; else only what changed
		Failed  bool // a call failed; the list stays
		Servers []Server
	}
	// Request is a client's request, to be answered once.
	Request struct {
		ID        RequestID
		Class     int
		Tenant    int
		Session   Key
		Prefix    Key
		Budget    Millis  // until the client gives this try up
		Prompt    float64 // tokens
		PrefixLen float64 // tokens of Prompt that belong to Prefix
		MaxOut    float64 // most tokens of the answer
		Hint      float64 // rough tokens of the answer; 0 when not told
	}
	// Streaming tells that an answer has started; the attempt is the client's.
	Streaming struct {
		ID      RequestID
		Attempt int
		Server  ServerID
	}
	// Held answers the last Hold, while the reading attempt that it was given with is out.
	Held struct {
		ID      RequestID
		Attempt int
		OK      bool
	}
	// Ended tells how an attempt ended.
	Ended struct {
		ID       RequestID
		Attempt  int
		Server   ServerID
		Outcome  Outcome
		Done     bool    // the request has had its final answer
		NoState  bool    // Full because there was no state to fetch
		Kept     float64 // with ReadDone: tokens of the prompt that the server had kept; 0 when not told
		Reported bool    // a load report came along
		Memory   float64 // and tells this share of memory held
	}
	// ClientGone tells that the client left; no answer is owed.
	ClientGone struct{ ID RequestID }
	// Wakeup is a Wake come due.
	Wakeup struct{ Ref uint64 }
	// Reconfigure gives settings for what comes from now on; requests under way keep those that they came
	// under, and settings that make no sense change nothing. Where kinds change, a Membership with the whole
	// list has to follow.
	Reconfigure struct{ Settings Settings }
)

// Action is something that a router wants done.
type Action interface{ isAction() }

// The actions.
type (
	// Send starts the next attempt of a request. Attempts count from 0.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout Millis // 0: until the client gives up
		Within  Millis // it has to be written by then, or counts as not connected; 0: whenever
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Hold holds a place for the request at a writer.
	Hold struct {
		ID     RequestID
		Server ServerID
	}
	// Release lets go of every state and place held for the request.
	Release struct{ ID RequestID }
	// Refuse is the final answer that promises that trying again is harmless.
	Refuse struct {
		ID         RequestID
		RetryAfter Millis
	}
	// Fail is the final answer that promises nothing.
	Fail struct{ ID RequestID }
	// Wake asks for a Wakeup.
	Wake struct {
		In  Millis
		Ref uint64
	}
	// Subscribe asks for news of the list of servers.
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

// View is a server as the router sees it, for operators. It changes nothing.
type View struct {
	Server
	Role     Role
	Freeness float64 // a reader's to read, a writer's of memory, what is taken off included; a Mixed server's lesser
	Charge   float64 // taken off for failures and lateness
	Backlog  float64 // price of own reads out
	Holds    int     // own places held and streams open
	Memory   float64 // share of memory as last reported
	Heard    Millis  // when; 0: never
}
