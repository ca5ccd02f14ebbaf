// Package settings reads a router's settings file (docs/settings.md) and tells
// what in it makes no sense, by line and column.
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

// Default is the settings that the demo runs on.
//
//go:embed default.gann
var Default string

// File is a settings file.
type File struct {
	At       sexp.Pos
	Name     string   `gann:"name,need"`
	Routers  int      `gann:"routers"`
	Seed     uint64   `gann:"seed"`
	Listen   string   `gann:"listen,need"`
	Zones    []string `gann:"zones"`
	Classes  []Class  `gann:"class,need"`
	Kinds    []Kind   `gann:"kind,need"`
	Tenants  []Tenant `gann:"tenant"`
	Rules    Rules    `gann:"rules"`
	Limits   Limits   `gann:"limits"`
	Admit    Admit    `gann:"admit"`
	Sessions Sessions `gann:"sessions"`
	HTTP     HTTP     `gann:"http"`
	Keys     Keys     `gann:"keys"`
	TLS      TLS      `gann:"tls"`
	Engines  Engines  `gann:"engines"`
	Roster   Roster   `gann:"roster,need"`
	Control  Control  `gann:"control"`
}

// Class is a class of requests.
type Class struct {
	At         sexp.Pos
	Name       string        `gann:"#,need"`
	Aim        time.Duration `gann:"aim,need"`
	AimPer1000 time.Duration `gann:"aim-per-1000"`
	GiveUp     time.Duration `gann:"give-up,need"`
	Worth      float64       `gann:"worth"`
	Effect     Effect        `gann:"effect,need"`
	Group      Group         `gann:"group"`
	Window     time.Duration `gann:"window"`
	MaxTokens  int           `gann:"max-tokens"`
	Work       Work          `gann:"work"`
	Priority   int           `gann:"priority"`
}

// Kind is a kind of engine.
type Kind struct {
	At     sexp.Pos
	Name   string      `gann:"#,need"`
	Role   Role        `gann:"role,need"`
	Memory sexp.Tokens `gann:"memory"`
}

// Tenant is one tenant's share.
type Tenant struct {
	At       sexp.Pos
	Name     string         `gann:"#,need"`
	Quota    sexp.PerSecond `gann:"quota"`
	Weight   float64        `gann:"weight"`
	Identity []string       `gann:"identity"` // SPIFFE ids of its clients' certificates
	Budgets  []Budget       `gann:"budget"`
}

// Budget bounds what a tenant may ask for, over all routers.
type Budget struct {
	At         sexp.Pos
	Class      string         `gann:"class"`    // "": all together
	Requests   sexp.PerSecond `gann:"requests"` // 0: not limited
	Burst      float64        `gann:"burst"`
	Tokens     sexp.PerSecond `gann:"tokens"`
	TokenBurst sexp.Tokens    `gann:"token-burst"`
}

// Rules are the figures of the five rules.
type Rules struct {
	ColdFrom  float64       `gann:"cold-from"`
	WarmAfter time.Duration `gann:"warm-after"`
	Overload  float64       `gann:"overload"`
	PinLimit  time.Duration `gann:"pin-limit"`
}

// Limits bound the router's own work.
type Limits struct {
	MaxAttempts int           `gann:"attempts"`
	RetryShare  float64       `gann:"repeats"` // that an engine gets for each first attempt; 0: not limited
	RetryAfter  time.Duration `gann:"retry-after"`
	Quantum     time.Duration `gann:"quantum"`
	Open        int           `gann:"open"`
	Inbox       int           `gann:"inbox"`
	Remember    time.Duration `gann:"remember-keys"`
	Keys        int           `gann:"keys"`
}

// Admit tells what is handed to the module, and in which order.
type Admit struct {
	At            sexp.Pos
	On            bool          `gann:"on"` // no: budgets hold, all else passes
	MaxWaiting    int           `gann:"waiting"`
	WaitPart      float64       `gann:"wait-part"`
	MinInFlight   int           `gann:"in-hand-least"`
	StartInFlight int           `gann:"in-hand-start"`
	MaxInFlight   int           `gann:"in-hand-most"`
	Retries       float64       `gann:"retries"`
	MaxClients    int           `gann:"clients"`
	Shed          bool          `gann:"shed"`
	MinRetryAfter time.Duration `gann:"back"`
	MaxRetryAfter time.Duration `gann:"back-most"`
}

// HTTP bounds the HTTP APIs.
type HTTP struct {
	Body          sexp.Bytes    `gann:"body"`
	Bodies        sexp.Bytes    `gann:"bodies"` // of all requests under way
	Answer        sexp.Bytes    `gann:"answer"`
	Read          time.Duration `gann:"read"`  // a request's body is whole by then
	Idle          time.Duration `gann:"idle"`  // an unused connection closes
	Write         time.Duration `gann:"write"` // a write that takes longer cuts the connection
	PartTokens    sexp.Tokens   `gann:"part"`
	PartItems     int           `gann:"part-items"`
	PartsInFlight int           `gann:"parts-out"`
	PartAttempts  int           `gann:"part-tries"`
}

// Keys tells where the tenants' API keys are listed; without a file, clients name their tenant themselves.
type Keys struct {
	File  string        `gann:"file"`
	Every time.Duration `gann:"every"` // between two looks at the file
}

// TLS has the clients' port speak TLS; with an authority, clients show certificates.
type TLS struct {
	At        sexp.Pos
	Domain    string `gann:"domain"`
	Cert      string `gann:"cert"`
	Key       string `gann:"key"`
	Authority string `gann:"authority"`
	Clients   bool   `gann:"clients"` // a client without a certificate is not let in
}

// Sessions bound the clients' side.
type Sessions struct {
	Most         int           `gann:"most"`
	Responses    int           `gann:"responses"`
	Message      sexp.Bytes    `gann:"message"`
	Conversation sexp.Bytes    `gann:"conversation"`
	Pending      sexp.Bytes    `gann:"pending"`
	Idle         time.Duration `gann:"idle"`
	Handshake    time.Duration `gann:"handshake"`
	TokenBytes   float64       `gann:"bytes-per-token"`
	Drain        time.Duration `gann:"drain"`
}

// Engines bound the engines' side.
type Engines struct {
	Holds       bool          `gann:"holds"`
	Cancel      bool          `gann:"cancel"`
	WritersRead bool          `gann:"writers-read"`
	Dial        time.Duration `gann:"dial"`
	Idle        time.Duration `gann:"idle"`
	IdleConns   int           `gann:"idle-conns"`
	Spare       int           `gann:"spare-conns"`
	StreamIdle  time.Duration `gann:"stream-idle"`
	Extension   time.Duration `gann:"extension"`
}

// Roster tells where the list of servers comes from: one of the two.
type Roster struct {
	At        sexp.Pos
	Watch     string        `gann:"watch"` // host:port of a Kubernetes API
	Namespace string        `gann:"namespace"`
	Service   string        `gann:"service"`
	File      string        `gann:"file"`
	Every     time.Duration `gann:"every"`   // between two looks at the file
	Cache     string        `gann:"cache"`   // keeps the last list over a restart
	Routers   string        `gann:"routers"` // service that lists the routers themselves; "": their number is told
	Silence   time.Duration `gann:"silence"`
}

// Control is how operators reach the router, and what it keeps on disk for them.
type Control struct {
	At        sexp.Pos
	Run       string        `gann:"run"`       // folder of pid, lock and socket; "" for none of them
	Listen    string        `gann:"listen"`    // host:port for other machines, with certificates on both sides
	Domain    string        `gann:"domain"`    // trust domain of the certificates
	Cert      string        `gann:"cert"`      // PEM files; looked at again while the router runs
	Key       string        `gann:"key"`       //
	Authority string        `gann:"authority"` //
	Releases  string        `gann:"releases"`  // folder with a folder for each release that a restart may name
	Start     time.Duration `gann:"start"`     // a router that is not ready by then has failed
	Results   int           `gann:"results"`   // of commands, remembered for repeats
	Events    int           `gann:"events"`    // kept for those who come late
}

// Socket is the path of the unix socket; "" for none.
func (c *Control) Socket() string {
	if c.Run == "" {
		return ""
	}
	return filepath.Join(c.Run, "control.sock")
}

// Effect, Group and Role are the module's, by name.
type (
	Effect gannethook.Effect
	Group  gannethook.Group
	Role   gannethook.Role
)

// Work is what a class asks engines for.
type Work int

// The kinds of work.
const (
	Chat Work = iota // an answer, streamed
	Embedding
	Rerank
)

var (
	effects = []string{"safe", "keyed", "unsafe"}
	groups  = []string{"all", "zone", "cell"}
	roles   = []string{"reader", "writer", "mixed"}
	works   = []string{"chat", "embedding", "rerank"}
)

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

func oneOf[T ~int](v *T, text []byte, description string, names []string) error {
	i := slices.Index(names, string(text))
	if i < 0 {
		return fmt.Errorf("%q is not %s; known are %q", text, description, names)
	}
	*v = T(i + 1)
	return nil
}

// UnmarshalText reads safe, keyed or unsafe.
func (e *Effect) UnmarshalText(t []byte) error {
	return oneOf(e, t, "an effect", effects)
}

// UnmarshalText reads all, zone or cell.
func (g *Group) UnmarshalText(t []byte) error { return oneOf(g, t, "a group", groups) }

// UnmarshalText reads reader, writer or mixed.
func (r *Role) UnmarshalText(t []byte) error {
	return oneOf(r, t, "a role", roles)
}

// UnmarshalText reads chat, embedding or rerank.
func (w *Work) UnmarshalText(t []byte) error {
	err := oneOf(w, t, "a kind of work", works)
	*w -= 1
	return err
}

// Load reads and checks a file.
func Load(path string) (*File, error) {
	f := defaults()
	return sexp.Checked(f, sexp.ReadFile(path, f), f.check)
}

// Parse reads and checks a text; name stands for it in errors.
func Parse(name, text string) (*File, error) {
	f := defaults()
	return sexp.Checked(f, sexp.Read(name, text, f), f.check)
}

// defaults hold where the file is silent.
func defaults() *File {
	e, w := engine.DefaultLimits(), ws.DefaultLimits()
	return &File{
		Routers: 1, Seed: 1,
		Rules: Rules{ColdFrom: 0.25, WarmAfter: 10 * time.Second, Overload: 3, PinLimit: 500 * time.Millisecond},
		Limits: Limits{MaxAttempts: 4, RetryAfter: 500 * time.Millisecond, Quantum: 10 * time.Millisecond, Open: 30000,
			Inbox: 4096, Remember: 10 * time.Minute, Keys: 200000},
		Sessions: Sessions{Most: 20000, Responses: 16, Message: sexp.Bytes(w.Message), Conversation: 4 << 20,
			Pending: sexp.Bytes(w.Pending), Idle: w.Idle, Handshake: 5 * time.Second, TokenBytes: 4,
			Drain: 30 * time.Second},
		Admit: Admit{On: true, MaxWaiting: 2000, WaitPart: 0.5, MinInFlight: 4, StartInFlight: 64, MaxInFlight: 8192, Retries: 0.2, MaxClients: 100000,
			Shed: true, MinRetryAfter: 250 * time.Millisecond, MaxRetryAfter: 10 * time.Second},
		HTTP: HTTP{Body: 16 << 20, Bodies: 1 << 30, Answer: 128 << 20, Read: 30 * time.Second, Idle: 75 * time.Second, Write: 10 * time.Second,
			PartTokens: 1000, PartItems: 64, PartsInFlight: 8, PartAttempts: 8},
		Keys: Keys{Every: time.Second},
		Engines: Engines{Holds: true, Cancel: true, Dial: e.Dial, Idle: e.Idle, IdleConns: e.IdleConns, Spare: e.Spare,
			StreamIdle: e.StreamIdle, Extension: e.Extension},
		Control: Control{Start: 15 * time.Second, Results: 256, Events: 1024},
		Roster:  Roster{Namespace: "default", Every: time.Second, Silence: time.Minute},
	}
}

// check tells what can't work, though each value is one.
func (f *File) check() error {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return sexp.Errorf(f.At, "(listen ...): %q is not host:port", f.Listen)
	}
	if (f.Roster.Watch == "") == (f.Roster.File == "") {
		return sexp.Errorf(f.Roster.At, "a roster comes from one of (watch ...) and (file ...)")
	}
	if f.Routers < 1 || f.Limits.Open < 1 || f.Limits.Inbox < 1 || f.Sessions.Responses < 1 {
		return sexp.Errorf(f.At, "routers, open, inbox and responses are 1 at the least")
	}
	if f.Sessions.TokenBytes <= 0 || f.Limits.Quantum <= 0 {
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

func (f *File) checkControl() error {
	c := &f.Control
	if c.Start <= 0 || c.Results < 1 || c.Events < 1 {
		return sexp.Errorf(c.At, "start, results and events are above 0")
	}
	// A unix socket's path has 108 bytes in the kernel.
	if s := c.Socket(); len(s) > 100 {
		return sexp.Errorf(c.At, "(run ...): %q is too long for a socket's path; 100 bytes are the most", s)
	}
	if c.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return sexp.Errorf(c.At, "(listen ...): %q is not host:port", c.Listen)
	}
	if c.Run == "" || c.Domain == "" || c.Cert == "" || c.Key == "" || c.Authority == "" {
		return sexp.Errorf(c.At, "a control port needs (run ...), (domain ...), (cert ...), (key ...) and (authority ...)")
	}
	return nil
}

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

// Module is what the decision module is told.
func (f *File) Module() gannethook.Settings {
	s := gannethook.Settings{
		Routers: f.Routers, ColdFrom: f.Rules.ColdFrom, WarmAfter: toMillis(f.Rules.WarmAfter),
		OverloadFactor: f.Rules.Overload, PinLimit: toMillis(f.Rules.PinLimit), ConnIdle: toMillis(f.Engines.Idle),
		MaxAttempts: f.Limits.MaxAttempts, RepeatPart: f.Limits.RetryShare, MaxRetryAfter: toMillis(f.Limits.RetryAfter), Quantum: toMillis(f.Limits.Quantum),
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

// EngineLimits bound the engines' client.
func (f *File) EngineLimits() engine.Limits {
	l := engine.DefaultLimits()
	l.Dial, l.Idle, l.IdleConns, l.Spare = f.Engines.Dial, f.Engines.Idle, f.Engines.IdleConns, f.Engines.Spare
	l.StreamIdle, l.Extension, l.PlaceIdle = f.Engines.StreamIdle, f.Engines.Extension, f.Rules.PinLimit
	return l
}

// SessionLimits bound the clients' connections.
func (f *File) SessionLimits() ws.Limits {
	l := ws.DefaultLimits()
	l.Message, l.Pending, l.Idle = int(f.Sessions.Message), int(f.Sessions.Pending), f.Sessions.Idle
	return l
}
