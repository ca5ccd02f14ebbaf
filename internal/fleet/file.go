// Package fleet is the library of the operators' fleet tool. It reads the routers
// of a fleet from a file, shows their status, sends them commands over their
// control planes, and runs rollouts with a journal on disk. The outcome of a
// command is only what the router itself reports; if it can't be learnt from the
// router, the outcome is Unknown.
package fleet

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gannethook/internal/certs"
	"gannethook/internal/rollout"
	"gannethook/internal/sexp"
)

// File is a fleet file; its forms are described in docs/fleet.md.
type File struct {
	At        sexp.Pos
	Name      string   `gann:"fleet,need"`
	Domain    string   `gann:"domain"` // trust domain of the certificates
	Cert      string   `gann:"cert"`   // the operator's, PEM files; relative to the fleet file
	Key       string   `gann:"key"`
	Authority string   `gann:"authority"`
	Routers   []Router `gann:"router,need"`
	Times     Times    `gann:"times"`
	Rollout   Rollout  `gann:"rollout"`

	dir string // of the fleet file
}

// Router is one router of the fleet.
type Router struct {
	At       sexp.Pos
	Name     string        `gann:"#,need"`
	Control  string        `gann:"at,need"` // unix:PATH or host:port
	Centre   string        `gann:"centre,need"`
	Labels   []string      `gann:"labels"`
	Capacity float64       `gann:"capacity"`
	Expect   time.Duration `gann:"expect"` // expected duration of a restart; 0: that of (rollout ...)
}

// Times are the timeouts of calls and commands.
type Times struct {
	Call  time.Duration `gann:"call"`  // of a status or other query
	Drain time.Duration `gann:"drain"` // default limit of drains, stops and restarts
	Start time.Duration `gann:"start"` // until the successor of a restart is ready, or a reload is done
	Hang  time.Duration `gann:"hang"`  // added to a limit before a router is assumed to hang
	Again time.Duration `gann:"again"` // how long a command's result is queried after its call broke
}

// Rollout has the constraints of rollouts; rollout.Limits explains them.
type Rollout struct {
	Share       float64       `gann:"share"`
	CentreShare float64       `gann:"centre-share"`
	Down        int           `gann:"down"`
	Canaries    int           `gann:"canaries"`
	Watch       time.Duration `gann:"watch"`
	Settle      time.Duration `gann:"settle"`
	Expect      time.Duration `gann:"expect"`
	Silence     time.Duration `gann:"silence"`
	Patience    time.Duration `gann:"patience"`
	Failures    int           `gann:"failures"`
	Service     float64       `gann:"service"`
	Window      time.Duration `gann:"window"`
	Enough      int           `gann:"enough"`
	Look        time.Duration `gann:"look"` // polling interval of a router's status
}

// defaults returns the values of what a file leaves out.
func defaults() *File {
	return &File{
		Times: Times{Call: 3 * time.Second, Drain: 30 * time.Second, Start: 15 * time.Second, Hang: 5 * time.Second,
			Again: 10 * time.Second},
		Rollout: Rollout{Share: 0.75, CentreShare: 0.5, Down: 1, Canaries: 1, Watch: 30 * time.Second, Settle: 5 * time.Second,
			Expect: 45 * time.Second, Silence: 10 * time.Second, Patience: 15 * time.Minute, Failures: 2, Service: 0.9,
			Window: 15 * time.Second, Enough: 50, Look: time.Second},
	}
}

// Load reads and checks a fleet file. Relative paths in it are relative to its directory.
func Load(path string) (*File, error) {
	f := defaults()
	f.dir = filepath.Dir(path)
	return sexp.Checked(f, sexp.ReadFile(path, f), f.check)
}

// Parse reads and checks the text of a fleet file; name is used in errors.
func Parse(name, text string) (*File, error) {
	f := defaults()
	return sexp.Checked(f, sexp.Read(name, text, f), f.check)
}

func (f *File) check() error {
	seen, ports := map[string]bool{}, false
	for i := range f.Routers {
		r := &f.Routers[i]
		if r.Capacity == 0 {
			r.Capacity = 1
		}
		if r.Expect == 0 {
			r.Expect = f.Rollout.Expect
		}
		switch {
		case seen[r.Name]:
			return sexp.Errorf(r.At, "router %q is given twice", r.Name)
		case strings.ContainsAny(r.Name, "=/ "):
			return sexp.Errorf(r.At, "router %q: a name must not contain =, / or space", r.Name)
		}
		seen[r.Name] = true
		if path, ok := strings.CutPrefix(r.Control, "unix:"); ok {
			if path == "" {
				return sexp.Errorf(r.At, "(at ...): unix: needs a path")
			}
			continue
		}
		ports = true
		if _, _, err := net.SplitHostPort(r.Control); err != nil {
			return sexp.Errorf(r.At, "(at ...): %q is neither unix:PATH nor host:port", r.Control)
		}
	}
	if ports && (f.Domain == "" || f.Cert == "" || f.Key == "" || f.Authority == "") {
		return sexp.Errorf(f.At, "routers at host:port need (domain ...), (cert ...), (key ...) and (authority ...)")
	}
	return f.checkRollout()
}

func (f *File) checkRollout() error {
	o := &f.Rollout
	switch {
	case o.Share > 1 || o.CentreShare > 1 || o.Service > 1:
		return sexp.Errorf(f.At, "(rollout ...): share, centre-share and service must be at most 1")
	case o.Look <= 0 || o.Silence < 2*o.Look:
		return sexp.Errorf(f.At, "(rollout ...): look must be above 0, and silence at least twice look")
	case slices.ContainsFunc(f.Routers, func(r Router) bool { return o.Patience > 0 && r.Expect >= o.Patience }):
		return sexp.Errorf(f.At, "(rollout ...): patience must be longer than any router's expected restart")
	case o.Service > 0 && (o.Window <= 0 || o.Enough < 1):
		return sexp.Errorf(f.At, "(rollout ...): service needs a window above 0 and enough of at least 1")
	case f.Times.Call <= 0 || f.Times.Drain <= 0 || f.Times.Start <= 0:
		return sexp.Errorf(f.At, "(times ...): call, drain and start must be above 0")
	}
	return nil
}

// CheckFeasible returns an error that names the routers which no rollout can restart
// within the constraints. Load accepts such a file: a fleet that is too small for
// rollouts can still be drained and restarted by single commands.
func (f *File) CheckFeasible(todo []Router) error {
	var names []string
	for _, name := range rollout.Infeasible(f.RolloutRouters(f.Routers), f.Limits()) {
		if slices.ContainsFunc(todo, func(r Router) bool { return r.Name == name }) {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		return sexp.Errorf(f.At, "(rollout ...): %s can't be restarted within share, centre-share and down", strings.Join(names, ", "))
	}
	return nil
}

// Limits returns the constraints of rollouts for the planner.
func (f *File) Limits() rollout.Limits {
	o := f.Rollout
	return rollout.Limits{MinCapacity: o.Share, MinCentreCapacity: o.CentreShare, MaxDown: o.Down, Canaries: o.Canaries, CanaryWatch: o.Watch,
		SettleTime: o.Settle, StatusTimeout: o.Silence, ProgressDeadline: o.Patience, MaxFailures: o.Failures, MinServed: o.Service,
		ServedWindow: o.Window, MinRequests: o.Enough}
}

// RolloutRouters converts routers for the planner.
func (f *File) RolloutRouters(list []Router) []rollout.Router {
	var out []rollout.Router
	for _, r := range list {
		out = append(out, rollout.Router{Name: r.Name, Centre: r.Centre, Capacity: r.Capacity, RestartTime: r.Expect})
	}
	return out
}

// Certs opens the operator's certificate; nil if the file has none.
func (f *File) Certs() (*certs.Files, error) {
	if f.Cert == "" {
		return nil, nil
	}
	at := func(path string) string {
		if filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(f.dir, path)
	}
	return certs.Open(f.Domain, at(f.Cert), at(f.Key), at(f.Authority))
}

// Select selects routers by name, centre=NAME, label=NAME, or all. It returns the
// union of several selectors, in the order of the file. A selector that matches
// no router is an error.
func (f *File) Select(selectors []string) ([]Router, error) {
	found := make([]bool, len(f.Routers))
	for _, selector := range selectors {
		matched := false
		for i, r := range f.Routers {
			if matches(&r, selector) {
				found[i], matched = true, true
			}
		}
		if !matched {
			return nil, fmt.Errorf("no router of fleet %s is %q", f.Name, selector)
		}
	}
	var list []Router
	for i, r := range f.Routers {
		if found[i] {
			list = append(list, r)
		}
	}
	return list, nil
}

func matches(r *Router, selector string) bool {
	if c, ok := strings.CutPrefix(selector, "centre="); ok {
		return r.Centre == c
	}
	if l, ok := strings.CutPrefix(selector, "label="); ok {
		return slices.Contains(r.Labels, l)
	}
	return selector == "all" || r.Name == selector
}
