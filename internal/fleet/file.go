// Package fleet is the operators' tool: it knows a fleet's routers from a file,
// shows them, gives them commands and carries out rollouts. What a router did
// is taken from the router alone; where that is not known, it says so.
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

// File is a fleet file; docs/fleet.md has its forms.
type File struct {
	At        sexp.Pos
	Name      string   `gann:"fleet,need"`
	Domain    string   `gann:"domain"` // trust domain of the certificates
	Cert      string   `gann:"cert"`   // the operator's, PEM files; beside the fleet file
	Key       string   `gann:"key"`
	Authority string   `gann:"authority"`
	Routers   []Router `gann:"router,need"`
	Times     Times    `gann:"times"`
	Rollout   Rollout  `gann:"rollout"`

	dir string
}

// Router is one router of the fleet.
type Router struct {
	At       sexp.Pos
	Name     string        `gann:"#,need"`
	Control  string        `gann:"at,need"` // unix:PATH or host:port
	Centre   string        `gann:"centre,need"`
	Labels   []string      `gann:"labels"`
	Capacity float64       `gann:"capacity"`
	Expect   time.Duration `gann:"expect"` // of a restart; 0: the rollout's
}

// Times bound what the tool waits for.
type Times struct {
	Call  time.Duration `gann:"call"`  // an answer to a question
	Drain time.Duration `gann:"drain"` // of drains, stops and restarts, unless the command says
	Start time.Duration `gann:"start"` // a successor is ready by then
	Hang  time.Duration `gann:"hang"`  // beyond a limit, before a router is taken to hang
	Again time.Duration `gann:"again"` // a router that broke off is looked for so long
}

// Rollout has the constraints of rollouts.
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
	Look        time.Duration `gann:"look"` // between two looks at a router
}

func defaults() *File {
	return &File{
		Times: Times{Call: 3 * time.Second, Drain: 30 * time.Second, Start: 15 * time.Second, Hang: 5 * time.Second,
			Again: 10 * time.Second},
		Rollout: Rollout{Share: 0.75, CentreShare: 0.5, Down: 1, Canaries: 1, Watch: 30 * time.Second, Settle: 5 * time.Second,
			Expect: 45 * time.Second, Silence: 10 * time.Second, Patience: 15 * time.Minute, Failures: 2, Service: 0.9,
			Window: 15 * time.Second, Enough: 50, Look: time.Second},
	}
}

// Load reads and checks a fleet file. Relative paths in it start at its folder.
func Load(path string) (*File, error) {
	f := defaults()
	f.dir = filepath.Dir(path)
	return sexp.Checked(f, sexp.ReadFile(path, f), f.check)
}

// Parse reads and checks a text; name stands for its file in errors.
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
			return sexp.Errorf(r.At, "router %q: a name has no =, / or space", r.Name)
		}
		seen[r.Name] = true
		if path, ok := strings.CutPrefix(r.Control, "unix:"); ok {
			if path == "" {
				return sexp.Errorf(r.At, "(at ...): a path is due after unix:")
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
		return sexp.Errorf(f.At, "(rollout ...): share, centre-share and service are 1 at the most")
	case o.Look <= 0 || o.Silence < 2*o.Look:
		return sexp.Errorf(f.At, "(rollout ...): silence is two looks at the least, and a look above 0")
	case slices.ContainsFunc(f.Routers, func(r Router) bool { return o.Patience > 0 && r.Expect >= o.Patience }):
		return sexp.Errorf(f.At, "(rollout ...): patience is longer than a restart is expected to take")
	case o.Service > 0 && (o.Window <= 0 || o.Enough < 1):
		return sexp.Errorf(f.At, "(rollout ...): service needs a window and enough")
	case f.Times.Call <= 0 || f.Times.Drain <= 0 || f.Times.Start <= 0:
		return sexp.Errorf(f.At, "(times ...): call, drain and start are above 0")
	}
	return nil
}

// Possible tells which of the routers no rollout can restart. It is no error
// of the file: a fleet may be too small for rollouts and take drains all the same.
func (f *File) Possible(todo []Router) error {
	var names []string
	for _, name := range rollout.Impossible(f.Members(f.Routers), f.Limits()) {
		if slices.ContainsFunc(todo, func(r Router) bool { return r.Name == name }) {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		return sexp.Errorf(f.At, "(rollout ...): %s can never be down under share, centre-share and down", strings.Join(names, ", "))
	}
	return nil
}

// Limits are the rollout's constraints, as the planner takes them.
func (f *File) Limits() rollout.Limits {
	o := f.Rollout
	return rollout.Limits{Share: o.Share, CentreShare: o.CentreShare, Down: o.Down, Canaries: o.Canaries, Watch: o.Watch,
		Settle: o.Settle, Silence: o.Silence, Patience: o.Patience, Failures: o.Failures, Service: o.Service,
		Window: o.Window, Enough: o.Enough}
}

// Members are routers as the planner takes them.
func (f *File) Members(list []Router) []rollout.Router {
	var out []rollout.Router
	for _, r := range list {
		out = append(out, rollout.Router{Name: r.Name, Centre: r.Centre, Capacity: r.Capacity, Expect: r.Expect})
	}
	return out
}

// Certs opens the operator's certificate; nil where every router is on a unix socket.
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

// Pick finds routers: by name, by centre=NAME, by label=NAME, or all. Several
// words add up; the order is the file's. A word that finds nothing is an error.
func (f *File) Pick(words []string) ([]Router, error) {
	found := make([]bool, len(f.Routers))
	for _, w := range words {
		any := false
		for i, r := range f.Routers {
			if matches(&r, w) {
				found[i], any = true, true
			}
		}
		if !any {
			return nil, fmt.Errorf("no router of fleet %s is %q", f.Name, w)
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

func matches(r *Router, word string) bool {
	if c, ok := strings.CutPrefix(word, "centre="); ok {
		return r.Centre == c
	}
	if l, ok := strings.CutPrefix(word, "label="); ok {
		return slices.Contains(r.Labels, l)
	}
	return word == "all" || r.Name == word
}
