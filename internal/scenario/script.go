// Package scenario runs a scripted scenario: routers as processes of their own, stand-in engines and an EndpointSlice API,
// clients at a given rate, and faults at given times. The traffic is recorded and checked by package rules.
package scenario

import (
	_ "embed"
	"slices"
	"time"

	"gannethook/internal/settings"
	"gannethook/internal/sexp"
)

// Script is a scenario file; docs/days.md describes its forms.
type Script struct {
	At          sexp.Pos
	Name        string         `gann:"name,need"`
	Seed        uint64         `gann:"seed"`
	Length      time.Duration  `gann:"length,need"`
	Rate        float64        `gann:"rate,need"` // requests per second, without retries
	Routers     int            `gann:"routers"`
	Readers     int            `gann:"readers"`
	Writers     int            `gann:"writers"`
	Reader      Engine         `gann:"reader"`
	Writer      Engine         `gann:"writer"`
	Clients     Clients        `gann:"clients"`
	Classes     []Class        `gann:"class,need"`
	Tenants     []Tenant       `gann:"tenant"`
	NoticeDelay time.Duration  `gann:"notice"` // mean delay with which the roster reports a change
	Faults      []Fault        `gann:"fault"`
	Settings    RouterSettings `gann:"router"`
}

// Engine configures stand-in engines; the fields have the meaning of those of standin.Config.
type Engine struct {
	Slots        int           `gann:"slots"`
	Queue        int           `gann:"queue"`
	Memory       sexp.Tokens   `gann:"memory"`
	ReadRate     sexp.Tokens   `gann:"read-rate"`
	FetchRate    sexp.Tokens   `gann:"fetch-rate"`
	TokenGap     time.Duration `gann:"token-gap"`
	WarmAfter    time.Duration `gann:"warm-after"`
	ColdFrom     float64       `gann:"cold-from"`
	IgnoreCancel bool          `gann:"deaf"` // continues with requests that the router cancelled
}

// Clients describes the behaviour of clients.
type Clients struct {
	Retries         int           `gann:"retries"`
	Backoff         time.Duration `gann:"backoff"`
	DisconnectShare float64       `gann:"drop"`  // share of the requests whose client disconnects and retries
	MaxTurns        int           `gann:"turns"` // most requests of a session
	ThinkTime       time.Duration `gann:"think"`
	DetectDelay     time.Duration `gann:"front-notice"` // the front sends clients to a dead router for this long
}

// Class is a class of requests.
type Class struct {
	At         sexp.Pos
	Name       string        `gann:"#,need"`
	Effect     string        `gann:"effect,need"`
	Share      float64       `gann:"part,need"`
	Prompt     []sexp.Tokens `gann:"prompt,need"` // minimum and maximum size
	MaxTokens  int           `gann:"out,need"`    // most answer tokens
	Aim        time.Duration `gann:"aim,need"`
	Timeout    time.Duration `gann:"give-up,need"`
	Worth      float64       `gann:"worth"`
	Prefixes   int           `gann:"beginnings"` // number of shared prefixes
	Group      string        `gann:"group"`
	Window     time.Duration `gann:"window"`
	AimPer1000 time.Duration `gann:"aim-per-1000"`
	Work       settings.Work `gann:"work"`
	Front      string        `gann:"front"` // session or http
	Texts      []int         `gann:"texts"` // of a batch, minimum and maximum
	Priority   int           `gann:"priority"`
}

// Tenant is one tenant. Its budgets are those of the routers' settings.
type Tenant struct {
	At      sexp.Pos
	Name    string            `gann:"#,need"`
	Share   float64           `gann:"part,need"` // of the requests
	Weight  float64           `gann:"weight"`
	Classes []string          `gann:"only"` // classes that it uses; all if not given
	Budgets []settings.Budget `gann:"budget"`
}

// RouterSettings has the router settings that a scenario may change.
type RouterSettings struct {
	PinLimit      time.Duration `gann:"pin-limit"`
	Grace         time.Duration `gann:"drain-grace"`
	Holds         bool          `gann:"holds"`
	Drain         time.Duration `gann:"drain"`
	Limits        bool          `gann:"limits"` // admission limits; if off, only the module refuses requests
	MinRetryAfter time.Duration `gann:"back"`   // least retry-after of a refusal
	InitialLimit  int           `gann:"in-hand"`
	ListRouters   bool          `gann:"listed"` // the roster lists the routers as well
	Attempts      int           `gann:"attempts"`
}

// Fault is one scheduled fault, of a kind in FaultKinds.
type Fault struct {
	At     sexp.Pos
	Kind   string        `gann:"#,need"`
	From   time.Duration `gann:"at,need"`
	For    time.Duration `gann:"for,need"`
	Share  float64       `gann:"part"` // of the engines, or of the routers
	Size   float64       `gann:"size"` // the fault's magnitude: slowdown factor, share of errors, traffic factor, ...
	On     string        `gann:"on"`   // readers, writers or both
	Class  string        `gann:"class"`
	Tenant string        `gann:"tenant"` // for a burst: the only tenant affected
}

// FaultKinds lists the kinds of faults: faults of engines, routers, clients and the roster, and operators' commands to
// routers with the fleet tool.
var FaultKinds = []string{"crash", "vanish", "slow", "hang", "fast-errors", "late-reports", "burst", "deploy",
	"router-crash", "router-roll", "shared-slow", "ageing", "slow-handshakes", "throttle", "eager-retries",
	"break-streams", "stall-streams", "roster-cut", "stalled-clients",
	"fleet-restart", "fleet-drain", "kill-restart", "kill-drain", "hang-drain"}

// Parse parses a script; name stands for its file in errors.
func Parse(name, text string) (*Script, error) {
	s := defaults()
	return sexp.Checked(s, sexp.Read(name, text, s), s.check)
}

// Load reads a script from a file.
func Load(path string) (*Script, error) {
	s := defaults()
	return sexp.Checked(s, sexp.ReadFile(path, s), s.check)
}

// defaults returns a script with the values that apply where a file gives none.
func defaults() *Script {
	return &Script{Seed: 1, Routers: 2, Readers: 2, Writers: 2, NoticeDelay: 1500 * time.Millisecond,
		Clients: Clients{Retries: 1, Backoff: 200 * time.Millisecond, MaxTurns: 3, ThinkTime: time.Second,
			DetectDelay: 2 * time.Second},
		Reader: Engine{Slots: 8, Queue: 40, Memory: 200000, ReadRate: 20000, FetchRate: 250000, ColdFrom: 0.3,
			WarmAfter: 8 * time.Second},
		Writer: Engine{Slots: 80, Queue: 25, Memory: 160000, ReadRate: 7000, FetchRate: 250000, ColdFrom: 0.3,
			WarmAfter: 8 * time.Second, TokenGap: 25 * time.Millisecond},
		Settings: RouterSettings{PinLimit: 500 * time.Millisecond, Grace: 2 * time.Second, Holds: true, Drain: 10 * time.Second,
			Attempts: 4, Limits: true, MinRetryAfter: 250 * time.Millisecond, InitialLimit: 64}}
}

func (s *Script) check() error {
	if s.Routers < 1 || s.Readers < 1 || s.Writers < 1 || s.Rate <= 0 || s.Length <= 0 || s.Clients.MaxTurns < 1 {
		return sexp.Errorf(s.At, "routers, readers, writers, turns, rate and length are above 0")
	}
	for i, c := range s.Classes {
		if c.Worth == 0 {
			s.Classes[i].Worth = 1
		}
		switch {
		case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
			return sexp.Errorf(c.At, "effect %q is not safe, keyed or unsafe", c.Effect)
		case len(c.Prompt) != 2 || c.Prompt[0] > c.Prompt[1] || c.Prompt[0] < 1:
			return sexp.Errorf(c.At, "(prompt LEAST MOST) takes two sizes, the least first")
		case c.MaxTokens < 1 || c.Share <= 0:
			return sexp.Errorf(c.At, "out and part are above 0")
		case !slices.Contains([]string{"", "session", "http"}, c.Front) || c.Work != settings.Chat && c.Front != "http":
			return sexp.Errorf(c.At, "(front ...) is session or http; embeddings and reranks go over http")
		case c.Work != settings.Chat && (len(c.Texts) != 2 || c.Texts[0] < 1 || c.Texts[0] > c.Texts[1]):
			return sexp.Errorf(c.At, "(texts LEAST MOST) takes two numbers, the least first")
		}
	}
	for _, t := range s.Tenants {
		if t.Share <= 0 {
			return sexp.Errorf(t.At, "a tenant's part is above 0")
		}
	}
	for _, f := range s.Faults {
		if !slices.Contains(FaultKinds, f.Kind) {
			return sexp.Errorf(f.At, "fault %q is not known; known are %q", f.Kind, FaultKinds)
		}
		if f.Share > 1 {
			return sexp.Errorf(f.At, "a part is 1 at the most")
		}
		if !slices.Contains([]string{"", "readers", "writers", "both"}, f.On) {
			return sexp.Errorf(f.At, "(on ...) takes readers, writers or both")
		}
		if f.Tenant != "" && (f.Kind != "burst" || s.tenantIndex(f.Tenant) < 0) {
			return sexp.Errorf(f.At, "(tenant ...) names one of the scenario's tenants, for a burst")
		}
		if f.From+f.For > s.Length {
			return sexp.Errorf(f.At, "the fault ends after the scenario")
		}
	}
	return nil
}

// Without removes a tenant, with its share of the rate.
func (s *Script) Without(name string) {
	i, total := s.tenantIndex(name), 0.0
	if i < 0 {
		return
	}
	for _, t := range s.Tenants {
		total += t.Share
	}
	s.Rate *= 1 - s.Tenants[i].Share/total
	s.Tenants = slices.Delete(s.Tenants, i, i+1)
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.Tenant == name })
}

// tenantIndex returns the index of a tenant, or -1.
func (s *Script) tenantIndex(name string) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
}

// Stretch multiplies all times of a scenario by a factor and keeps its rate: a short run for CI has the same faults in the
// same order.
func (s *Script) Stretch(factor float64) {
	if factor == 1 || factor <= 0 {
		return
	}
	scale := func(d *time.Duration) { *d = time.Duration(float64(*d) * factor) }
	scale(&s.Length)
	for i := range s.Faults {
		scale(&s.Faults[i].From)
		scale(&s.Faults[i].For)
	}
}

// BadScript is the embedded scenario with faults that the day command runs by default.
//
//go:embed bad.gann
var BadScript string
