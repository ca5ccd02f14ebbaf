// Package scenario plays a scripted day: routers as processes of their own, stand-in
// engines and a roster, clients at a rate, and faults at their times. What
// passed on the sockets is recorded and judged by package rules.
package scenario

import (
	_ "embed"
	"slices"
	"time"

	"gannethook/internal/settings"
	"gannethook/internal/sexp"
)

// Script is a day's file; docs/days.md has its forms.
type Script struct {
	At          sexp.Pos
	Name        string         `gann:"name,need"`
	Seed        uint64         `gann:"seed"`
	Length      time.Duration  `gann:"length,need"`
	Rate        float64        `gann:"rate,need"` // requests a second, without tries again
	Routers     int            `gann:"routers"`
	Readers     int            `gann:"readers"`
	Writers     int            `gann:"writers"`
	Reader      Engine         `gann:"reader"`
	Writer      Engine         `gann:"writer"`
	Clients     Clients        `gann:"clients"`
	Classes     []Class        `gann:"class,need"`
	Tenants     []Tenant       `gann:"tenant"`
	NoticeDelay time.Duration  `gann:"notice"` // the roster tells of a death so late, on average
	Faults      []Fault        `gann:"fault"`
	Settings    RouterSettings `gann:"router"`
}

// Engine sizes stand-ins.
type Engine struct {
	Slots        int           `gann:"slots"`
	Queue        int           `gann:"queue"`
	Memory       sexp.Tokens   `gann:"memory"`
	ReadRate     sexp.Tokens   `gann:"read-rate"`
	FetchRate    sexp.Tokens   `gann:"fetch-rate"`
	TokenGap     time.Duration `gann:"token-gap"`
	WarmAfter    time.Duration `gann:"warm-after"`
	ColdFrom     float64       `gann:"cold-from"`
	IgnoreCancel bool          `gann:"deaf"` // goes on with what was given up
}

// Clients tell how clients behave.
type Clients struct {
	Retries         int           `gann:"retries"`
	Backoff         time.Duration `gann:"backoff"`
	DisconnectShare float64       `gann:"drop"`  // part of the requests whose client cuts its socket and comes again
	MaxTurns        int           `gann:"turns"` // of a session, at the most
	ThinkTime       time.Duration `gann:"think"`
	DetectDelay     time.Duration `gann:"front-notice"` // the front goes on sending to a dead router for so long
}

// Class is a class of the day's requests.
type Class struct {
	At         sexp.Pos
	Name       string        `gann:"#,need"`
	Effect     string        `gann:"effect,need"`
	Share      float64       `gann:"part,need"`
	Prompt     []sexp.Tokens `gann:"prompt,need"` // least and most
	MaxTokens  int           `gann:"out,need"`    // most tokens
	Aim        time.Duration `gann:"aim,need"`
	Timeout    time.Duration `gann:"give-up,need"`
	Worth      float64       `gann:"worth"`
	Prefixes   int           `gann:"beginnings"` // shared beginnings
	Group      string        `gann:"group"`
	Window     time.Duration `gann:"window"`
	AimPer1000 time.Duration `gann:"aim-per-1000"`
	Work       settings.Work `gann:"work"`
	Front      string        `gann:"front"` // session or http
	Texts      []int         `gann:"texts"` // of a batch, least and most
	Priority   int           `gann:"priority"`
}

// Tenant is one tenant of the day. Its budgets are those of the routers' settings.
type Tenant struct {
	At      sexp.Pos
	Name    string            `gann:"#,need"`
	Share   float64           `gann:"part,need"` // of the requests
	Weight  float64           `gann:"weight"`
	Classes []string          `gann:"only"` // classes that it asks for; all if not given
	Budgets []settings.Budget `gann:"budget"`
}

// RouterSettings of the routers that a day may change.
type RouterSettings struct {
	PinLimit      time.Duration `gann:"pin-limit"`
	Grace         time.Duration `gann:"drain-grace"`
	Holds         bool          `gann:"holds"`
	Drain         time.Duration `gann:"drain"`
	Limits        bool          `gann:"limits"` // no: only the module says no
	MinRetryAfter time.Duration `gann:"back"`   // a refusal advises so long at the least
	InitialLimit  int           `gann:"in-hand"`
	ListRouters   bool          `gann:"listed"` // the roster lists the routers, too
	Attempts      int           `gann:"attempts"`
}

// Fault is one trouble of a day.
type Fault struct {
	At     sexp.Pos
	Kind   string        `gann:"#,need"`
	From   time.Duration `gann:"at,need"`
	For    time.Duration `gann:"for,need"`
	Share  float64       `gann:"part"` // of the engines, or of the routers
	Size   float64       `gann:"size"` // times slower, part of errors, times the traffic, ...
	On     string        `gann:"on"`   // readers, writers or both
	Class  string        `gann:"class"`
	Tenant string        `gann:"tenant"` // of a burst: it alone
}

// FaultKinds of faults, every kind of trouble that a bench day brings, and what
// operators do to routers with the fleet tool.
var FaultKinds = []string{"crash", "vanish", "slow", "hang", "fast-errors", "late-reports", "burst", "deploy",
	"router-crash", "router-roll", "shared-slow", "ageing", "slow-handshakes", "throttle", "eager-retries",
	"break-streams", "stall-streams", "roster-cut", "stalled-clients",
	"fleet-restart", "fleet-drain", "kill-restart", "kill-drain", "hang-drain"}

// Parse reads a script; name stands for it in errors.
func Parse(name, text string) (*Script, error) {
	s := defaults()
	return sexp.Checked(s, sexp.Read(name, text, s), s.check)
}

// Load reads a script's file.
func Load(path string) (*Script, error) {
	s := defaults()
	return sexp.Checked(s, sexp.ReadFile(path, s), s.check)
}

// defaults hold where the script is silent.
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
			return sexp.Errorf(f.At, "trouble %q is not known; known are %q", f.Kind, FaultKinds)
		}
		if f.Share > 1 {
			return sexp.Errorf(f.At, "a part is 1 at the most")
		}
		if !slices.Contains([]string{"", "readers", "writers", "both"}, f.On) {
			return sexp.Errorf(f.At, "(on ...) takes readers, writers or both")
		}
		if f.Tenant != "" && (f.Kind != "burst" || s.tenantIndex(f.Tenant) < 0) {
			return sexp.Errorf(f.At, "(tenant ...) names one of the day's, for a burst")
		}
		if f.From+f.For > s.Length {
			return sexp.Errorf(f.At, "the trouble ends after the day")
		}
	}
	return nil
}

// Without takes a tenant out, with its part of the rate.
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

// tenantIndex is the place of a tenant, or -1.
func (s *Script) tenantIndex(name string) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
}

// Stretch makes all times of a day longer or shorter by a factor, its rate
// staying: a short day for CI has the same troubles in the same order.
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

// Bad is the embedded bad day.
//
//go:embed bad.gann
var Bad string
