// Package settings reads and validates the settings file of a router (docs/settings.md) and derives from it the settings of
// other packages. Errors name the line and column. The gann tags are the names of the forms in the file.
package settings

import (
	_ "embed"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"time"

	"gannethook"
	"gannethook/internal/engine"
	"gannethook/internal/sexp"
	"gannethook/internal/ws"
)

// Default is the text of the settings of the demo.
//
//go:embed default.gann
var Default string

// File is the content of a settings file.
type File struct {
	At       sexp.Pos
	Name     string   `gann:"name,need"`   // of this router
	Routers  int      `gann:"routers"`     // number of routers that share the engines
	Seed     uint64   `gann:"seed"`        // of the random decisions
	Listen   string   `gann:"listen,need"` // host:port for clients
	Zones    []string `gann:"zones"`       // names of zones, in the order of their numbers
	Classes  []Class  `gann:"class,need"`
	Kinds    []Kind   `gann:"kind,need"`
	Tenants  []Tenant `gann:"tenant"`
	Rules    Rules    `gann:"rules"`
	Limits   Limits   `gann:"limits"` // of the decision module and its driver
	Admit    Admit    `gann:"admit"`  // admission control
	Sessions Sessions `gann:"sessions"`
	HTTP     HTTP     `gann:"http"`
	Keys     Keys     `gann:"keys"`
	TLS      TLS      `gann:"tls"`
	Engines  Engines  `gann:"engines"`
	Roster   Roster   `gann:"roster,need"` // source of the server list
	Control  Control  `gann:"control"`
}

// Class is a class of requests. Its name is the first value of the form.
type Class struct {
	At         sexp.Pos
	Name       string        `gann:"#,need"`
	Aim        time.Duration `gann:"aim,need"`     // target latency of the first token, or of the whole answer if it is not streamed
	AimPer1000 time.Duration `gann:"aim-per-1000"` // added to Aim for each 1,000 prompt tokens
	GiveUp     time.Duration `gann:"give-up,need"` // deadline of a request; not below Aim
	Worth      float64       `gann:"worth"`        // value of a request in time, relative to other classes; 0 means 1
	Effect     Effect        `gann:"effect,need"`  // whether a repeated request is harmless
	Group      Group         `gann:"group"`        // of engines that recognise the key of a repeat; keyed classes only
	Window     time.Duration `gann:"window"`       // time for which a group remembers a key; keyed classes only
	MaxTokens  int           `gann:"max-tokens"`   // default maximum length of an answer; 0 means 1024
	Work       Work          `gann:"work"`
	Priority   int           `gann:"priority"` // order among the requests of a tenant; higher first
}

// Kind is a kind of engine.
type Kind struct {
	At     sexp.Pos
	Name   string      `gann:"#,need"`
	Role   Role        `gann:"role,need"`
	Memory sexp.Tokens `gann:"memory"` // capacity for state; 0: unknown
}

// Tenant is a tenant with its quota, its weight in the fair queue and its budgets.
type Tenant struct {
	At       sexp.Pos
	Name     string         `gann:"#,need"`
	Quota    sexp.PerSecond `gann:"quota"`    // requests within its share, over all routers; 0: unlimited
	Weight   float64        `gann:"weight"`   // in the fair queue
	Identity []string       `gann:"identity"` // SPIFFE IDs of its clients' certificates
	Budgets  []Budget       `gann:"budget"`
}

// Budget is a rate limit of a tenant over all routers, by token buckets.
type Budget struct {
	At         sexp.Pos
	Class      string         `gann:"class"`       // "": all classes together
	Requests   sexp.PerSecond `gann:"requests"`    // 0: unlimited
	Burst      float64        `gann:"burst"`       // capacity of the bucket of requests; default: those of one second, at least 1
	Tokens     sexp.PerSecond `gann:"tokens"`      // of prompts and of answers at their maximum length; 0: unlimited
	TokenBurst sexp.Tokens    `gann:"token-burst"` // capacity of the bucket of tokens; default: those of 10 s
}

// Rules are the parameters of the rules that the decision module keeps towards engines.
type Rules struct {
	ColdFrom  float64       `gann:"cold-from"`  // fraction of its capacity at which an engine begins its slow start
	WarmAfter time.Duration `gann:"warm-after"` // duration of the slow start
	Overload  float64       `gann:"overload"`   // multiple of its capacity at which an engine in slow start fails
	PinLimit  time.Duration `gann:"pin-limit"`  // longest time that an idle hold or a read state may be kept
}

// Limits bound the work of the router itself.
type Limits struct {
	MaxAttempts   int           `gann:"attempts"`      // per request
	RetryShare    float64       `gann:"repeats"`       // retries that an engine may get per recent first attempt; 0: unlimited
	MaxRetryAfter time.Duration `gann:"retry-after"`   // longest retry delay that clients are advised
	Quantum       time.Duration `gann:"quantum"`       // time between two batches of events for the decision module
	MaxOpen       int           `gann:"open"`          // maximum number of open requests
	InboxSize     int           `gann:"inbox"`         // capacity of the queue of events of the driver
	KeyRetention  time.Duration `gann:"remember-keys"` // time for which the outcome of an idempotency key is kept
	MaxKeys       int           `gann:"keys"`          // maximum number of idempotency keys
}

// Admit configures admission control: the queue before the decision module, the concurrency limit and load shedding.
type Admit struct {
	At            sexp.Pos
	On            bool          `gann:"on"`            // no: only budgets apply; neither concurrency limit, shedding nor retry limit
	MaxWaiting    int           `gann:"waiting"`       // maximum length of the queue, in requests
	WaitPart      float64       `gann:"wait-part"`     // fraction of its target latency that a request may wait
	MinInFlight   int           `gann:"in-hand-least"` // lower bound of the concurrency limit
	StartInFlight int           `gann:"in-hand-start"` // its initial value
	MaxInFlight   int           `gann:"in-hand-most"`  // its upper bound
	Retries       float64       `gann:"retries"`       // retries per first attempt of a client; 0: unlimited
	MaxClients    int           `gann:"clients"`       // maximum number of clients whose retries are counted
	Shed          bool          `gann:"shed"`          // reject classes of low worth under overload
	MinRetryAfter time.Duration `gann:"back"`          // lower bound of the retry delay of refusals
	MaxRetryAfter time.Duration `gann:"back-most"`     // upper bound
}

// HTTP bounds the HTTP APIs and the parts that batches are divided into.
type HTTP struct {
	MaxBody       sexp.Bytes    `gann:"body"`       // maximum size of the body of a request
	MaxBodies     sexp.Bytes    `gann:"bodies"`     // maximum size of the bodies of all requests under way
	MaxAnswer     sexp.Bytes    `gann:"answer"`     // maximum size of an answer
	ReadTimeout   time.Duration `gann:"read"`       // time limit for the body of a request
	IdleTimeout   time.Duration `gann:"idle"`       // an unused connection is closed after this time
	WriteTimeout  time.Duration `gann:"write"`      // a write that takes longer closes the connection
	PartTokens    sexp.Tokens   `gann:"part"`       // maximum tokens of a part, unless it is a single longer text
	PartItems     int           `gann:"part-items"` // maximum texts of a part
	PartsInFlight int           `gann:"parts-out"`  // maximum parts in flight of a batch
	PartAttempts  int           `gann:"part-tries"` // maximum attempts of a part that is refused
}

// Keys is the file with the API keys of the tenants. Without a file, clients name their tenant without proof.
type Keys struct {
	File         string        `gann:"file"`
	PollInterval time.Duration `gann:"every"` // time between two checks of the file
}

// TLS enables TLS on the port for clients. The files are PEM files. Client certificates are verified with the authority.
type TLS struct {
	At                sexp.Pos
	Domain            string `gann:"domain"` // SPIFFE trust domain
	Cert              string `gann:"cert"`
	Key               string `gann:"key"`
	Authority         string `gann:"authority"`
	RequireClientCert bool   `gann:"clients"` // a client without a certificate is rejected
}

// Sessions bounds the sessions of clients.
type Sessions struct {
	MaxSessions      int           `gann:"most"`            // maximum number of client connections
	MaxResponses     int           `gann:"responses"`       // maximum number of concurrent responses in a session
	MaxMessage       sexp.Bytes    `gann:"message"`         // maximum size of a message
	MaxConversation  sexp.Bytes    `gann:"conversation"`    // maximum size of the conversation that a session keeps
	MaxPending       sexp.Bytes    `gann:"pending"`         // bytes that may wait to be sent
	IdleTimeout      time.Duration `gann:"idle"`            // time without a frame until a ping; after as long again the connection is closed
	HandshakeTimeout time.Duration `gann:"handshake"`       // time limit for TLS and the first request of a connection
	BytesPerToken    float64       `gann:"bytes-per-token"` // bytes of text that count as one token
	DrainTimeout     time.Duration `gann:"drain"`           // time limit of a drain
}

// Engines configures the connections to engines and what engines support.
type Engines struct {
	Holds             bool          `gann:"holds"`        // engines accept holds of places for answers
	Cancel            bool          `gann:"cancel"`       // attempts may be cancelled
	WritersRead       bool          `gann:"writers-read"` // a writer without a read state reads the prompt itself
	DialTimeout       time.Duration `gann:"dial"`         // time limit for opening a connection
	IdleTimeout       time.Duration `gann:"idle"`         // an unused connection is closed after this time; keep it below the engines' own limit
	IdleConns         int           `gann:"idle-conns"`   // maximum unused connections to an engine
	SpareConns        int           `gann:"spare-conns"`  // unused connections opened in advance, so that a stream need not wait for a dial
	StreamIdleTimeout time.Duration `gann:"stream-idle"`  // a stream without a token for this time is broken
	ExtensionTimeout  time.Duration `gann:"extension"`    // a place or release not answered within this time counts as refused
}

// Roster is the source of the server list: either an API to watch or a file.
type Roster struct {
	At            sexp.Pos
	Watch         string        `gann:"watch"` // host:port of a Kubernetes API
	Namespace     string        `gann:"namespace"`
	Service       string        `gann:"service"` // of the EndpointSlices of the engines
	File          string        `gann:"file"`    // path of a list that is read instead
	PollInterval  time.Duration `gann:"every"`   // time between two checks of the file
	Cache         string        `gann:"cache"`   // file that keeps the last list over a restart
	RouterService string        `gann:"routers"` // service whose EndpointSlices list the routers; "": their number is File.Routers
	SilenceLimit  time.Duration `gann:"silence"` // a watch without a line for this time is considered lost
}

// Control configures the control API for operators and the files of the process.
type Control struct {
	At           sexp.Pos
	RunDir       string        `gann:"run"`    // directory of the pid file, lock and unix socket; "": none of them
	Listen       string        `gann:"listen"` // host:port for other machines, with mutual TLS
	Domain       string        `gann:"domain"` // SPIFFE trust domain of the certificates
	Cert         string        `gann:"cert"`   // PEM files, read again when they change
	Key          string        `gann:"key"`
	Authority    string        `gann:"authority"`
	ReleaseDir   string        `gann:"releases"` // directory with one subdirectory for each release that a restart may name
	StartTimeout time.Duration `gann:"start"`    // a router that is not ready within this time has failed
	MaxResults   int           `gann:"results"`  // results of commands that are kept for repeated commands
	MaxEvents    int           `gann:"events"`   // events that are kept for watchers that connect later
}

// Socket returns the path of the unix socket; "" for none.
func (c *Control) Socket() string {
	if c.RunDir == "" {
		return ""
	}
	return filepath.Join(c.RunDir, "control.sock")
}

// Effect, Group and Role are those of the decision module, written by name in the file.
type (
	Effect gannethook.Effect
	Group  gannethook.Group
	Role   gannethook.Role
)

// Work is the kind of work that a class requests from engines.
type Work int

// The kinds of work.
const (
	Chat      Work = iota // a streamed answer
	Embedding             // vectors of texts
	Rerank                // scores of documents for a query
)

// Names of the values in the file, in the order of the constants. Effects, groups and roles count from 1, works from 0.
var (
	effects = []string{"safe", "keyed", "unsafe"}
	groups  = []string{"all", "zone", "cell"}
	roles   = []string{"reader", "writer", "mixed"}
	works   = []string{"chat", "embedding", "rerank"}
)

// nameOf returns the name of the value i, which counts from 1; "" if there is none.
func nameOf(names []string, i int) string {
	if i < 1 || i > len(names) {
		return ""
	}
	return names[i-1]
}

func (e Effect) String() string { return nameOf(effects, int(e)) }
func (g Group) String() string  { return nameOf(groups, int(g)) }
func (r Role) String() string   { return nameOf(roles, int(r)) }

func (w Work) String() string { return nameOf(works, int(w)+1) }

// oneOf sets v to the number of a name, counting from 1. description completes the error "... is not".
func oneOf[T ~int](v *T, text []byte, description string, names []string) error {
	i := slices.Index(names, string(text))
	if i < 0 {
		return fmt.Errorf("%q is not %s; known are %q", text, description, names)
	}
	*v = T(i + 1)
	return nil
}

// UnmarshalText parses safe, keyed or unsafe.
func (e *Effect) UnmarshalText(t []byte) error {
	return oneOf(e, t, "an effect", effects)
}

// UnmarshalText parses all, zone or cell.
func (g *Group) UnmarshalText(t []byte) error { return oneOf(g, t, "a group", groups) }

// UnmarshalText parses reader, writer or mixed.
func (r *Role) UnmarshalText(t []byte) error {
	return oneOf(r, t, "a role", roles)
}

// UnmarshalText parses chat, embedding or rerank.
func (w *Work) UnmarshalText(t []byte) error {
	err := oneOf(w, t, "a kind of work", works)
	*w -= 1
	return err
}

// Load reads and validates a file.
func Load(path string) (*File, error) {
	f := defaults()
	return sexp.Checked(f, sexp.ReadFile(path, f), f.validate)
}

// Parse reads and validates a text; name is its file name in errors.
func Parse(name, text string) (*File, error) {
	f := defaults()
	return sexp.Checked(f, sexp.Read(name, text, f), f.validate)
}

// defaults returns the values of settings that a file does not give.
func defaults() *File {
	e, w := engine.DefaultLimits(), ws.DefaultLimits()
	return &File{
		Routers: 1, Seed: 1,
		Rules: Rules{ColdFrom: 0.25, WarmAfter: 10 * time.Second, Overload: 3, PinLimit: 500 * time.Millisecond},
		Limits: Limits{MaxAttempts: 4, MaxRetryAfter: 500 * time.Millisecond, Quantum: 10 * time.Millisecond, MaxOpen: 30000,
			InboxSize: 4096, KeyRetention: 10 * time.Minute, MaxKeys: 200000},
		Sessions: Sessions{MaxSessions: 20000, MaxResponses: 16, MaxMessage: sexp.Bytes(w.Message), MaxConversation: 4 << 20,
			MaxPending: sexp.Bytes(w.Pending), IdleTimeout: w.Idle, HandshakeTimeout: 5 * time.Second, BytesPerToken: 4,
			DrainTimeout: 30 * time.Second},
		Admit: Admit{On: true, MaxWaiting: 2000, WaitPart: 0.5, MinInFlight: 4, StartInFlight: 64, MaxInFlight: 8192, Retries: 0.2, MaxClients: 100000,
			Shed: true, MinRetryAfter: 250 * time.Millisecond, MaxRetryAfter: 10 * time.Second},
		HTTP: HTTP{MaxBody: 16 << 20, MaxBodies: 1 << 30, MaxAnswer: 128 << 20, ReadTimeout: 30 * time.Second, IdleTimeout: 75 * time.Second, WriteTimeout: 10 * time.Second,
			PartTokens: 1000, PartItems: 64, PartsInFlight: 8, PartAttempts: 8},
		Keys: Keys{PollInterval: time.Second},
		Engines: Engines{Holds: true, Cancel: true, DialTimeout: e.Dial, IdleTimeout: e.Idle, IdleConns: e.IdleConns, SpareConns: e.Spare,
			StreamIdleTimeout: e.StreamIdle, ExtensionTimeout: e.Extension},
		Control: Control{StartTimeout: 15 * time.Second, MaxResults: 256, MaxEvents: 1024},
		Roster:  Roster{Namespace: "default", PollInterval: time.Second, SilenceLimit: time.Minute},
	}
}

// validate returns the first error in values that are well-formed each but can't work, alone or together.
func (f *File) validate() error {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return sexp.Errorf(f.At, "(listen ...): %q is not host:port", f.Listen)
	}
	if (f.Roster.Watch == "") == (f.Roster.File == "") {
		return sexp.Errorf(f.Roster.At, "a roster comes from one of (watch ...) and (file ...)")
	}
	if f.Routers < 1 || f.Limits.MaxOpen < 1 || f.Limits.InboxSize < 1 || f.Sessions.MaxResponses < 1 {
		return sexp.Errorf(f.At, "routers, open, inbox and responses are 1 at the least")
	}
	if f.Sessions.BytesPerToken <= 0 || f.Limits.Quantum <= 0 {
		return sexp.Errorf(f.At, "bytes-per-token and quantum are above 0")
	}
	if err := f.checkClasses(); err != nil {
		return err
	}
	if err := f.checkControl(); err != nil {
		return err
	}
	if err := f.checkTenants(); err != nil {
		return err
	}
	if err := f.checkFrontEnd(); err != nil {
		return err
	}
	seen := map[string]bool{}
	reads, writes := false, false
	for _, k := range f.Kinds {
		if seen[k.Name] {
			return sexp.Errorf(k.At, "kind %q is given twice", k.Name)
		}
		seen[k.Name] = true
		reads = reads || Role(gannethook.Writer) != k.Role
		writes = writes || Role(gannethook.Reader) != k.Role
	}
	if !writes || !reads && !f.Engines.WritersRead {
		return sexp.Errorf(f.At, "there is no kind that reads, or none that writes")
	}
	return nil
}

// checkControl validates the control API. A control port needs certificates.
func (f *File) checkControl() error {
	c := &f.Control
	if c.StartTimeout <= 0 || c.MaxResults < 1 || c.MaxEvents < 1 {
		return sexp.Errorf(c.At, "start, results and events are above 0")
	}
	// The kernel limits the path of a unix socket to 108 bytes.
	if s := c.Socket(); len(s) > 100 {
		return sexp.Errorf(c.At, "(run ...): %q is too long for a socket's path; 100 bytes are the most", s)
	}
	if c.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return sexp.Errorf(c.At, "(listen ...): %q is not host:port", c.Listen)
	}
	if c.RunDir == "" || c.Domain == "" || c.Cert == "" || c.Key == "" || c.Authority == "" {
		return sexp.Errorf(c.At, "a control port needs (run ...), (domain ...), (cert ...), (key ...) and (authority ...)")
	}
	return nil
}

// checkClasses validates the classes and fills in the defaults of worth (1) and max-tokens (1024).
func (f *File) checkClasses() error {
	seen := map[string]bool{}
	for i := range f.Classes {
		c := &f.Classes[i]
		switch {
		case seen[c.Name]:
			return sexp.Errorf(c.At, "class %q is given twice", c.Name)
		case c.GiveUp < c.Aim:
			return sexp.Errorf(c.At, "class %q gives up before its aim", c.Name)
		case Effect(gannethook.Keyed) == c.Effect && (c.Group == 0 || c.Window == 0):
			return sexp.Errorf(c.At, "class %q is keyed: it needs (group ...) and (window ...)", c.Name)
		case Effect(gannethook.Keyed) != c.Effect && (c.Group != 0 || c.Window != 0):
			return sexp.Errorf(c.At, "class %q is not keyed: (group ...) and (window ...) have no meaning", c.Name)
		}
		seen[c.Name] = true
		if c.Worth == 0 {
			c.Worth = 1
		}
		if c.MaxTokens == 0 {
			c.MaxTokens = 1024
		}
	}
	return nil
}

func toMillis(d time.Duration) gannethook.Millis { return gannethook.Millis(d.Seconds() * 1000) }

// Module returns the settings of the decision module.
func (f *File) Module() gannethook.Settings {
	s := gannethook.Settings{
		Routers: f.Routers, ColdFrom: f.Rules.ColdFrom, WarmAfter: toMillis(f.Rules.WarmAfter),
		OverloadFactor: f.Rules.Overload, PinLimit: toMillis(f.Rules.PinLimit), ConnIdle: toMillis(f.Engines.IdleTimeout),
		MaxAttempts: f.Limits.MaxAttempts, RepeatPart: f.Limits.RetryShare, MaxRetryAfter: toMillis(f.Limits.MaxRetryAfter), Quantum: toMillis(f.Limits.Quantum),
		Cancel: f.Engines.Cancel, Holds: f.Engines.Holds, WritersRead: f.Engines.WritersRead,
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, gannethook.Class{Aim: toMillis(c.Aim), AimPer1000: toMillis(c.AimPer1000),
			Worth: c.Worth, Effect: gannethook.Effect(c.Effect), Group: gannethook.Group(c.Group),
			Window: toMillis(c.Window), Streamed: c.Work == Chat, OneStage: c.Work != Chat})
	}
	for _, k := range f.Kinds {
		s.Kinds = append(s.Kinds, gannethook.Kind{Role: gannethook.Role(k.Role), Memory: float64(k.Memory)})
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, gannethook.Tenant{QuotaPerS: float64(t.Quota)})
	}
	return s
}

// EngineLimits returns the limits of the client for engines.
func (f *File) EngineLimits() engine.Limits {
	l := engine.DefaultLimits()
	l.Dial, l.Idle, l.IdleConns, l.Spare = f.Engines.DialTimeout, f.Engines.IdleTimeout, f.Engines.IdleConns, f.Engines.SpareConns
	l.StreamIdle, l.Extension, l.PlaceIdle = f.Engines.StreamIdleTimeout, f.Engines.ExtensionTimeout, f.Rules.PinLimit
	return l
}

// SessionLimits returns the limits of the WebSocket connections of clients.
func (f *File) SessionLimits() ws.Limits {
	l := ws.DefaultLimits()
	l.Message, l.Pending, l.Idle = int(f.Sessions.MaxMessage), int(f.Sessions.MaxPending), f.Sessions.IdleTimeout
	return l
}
