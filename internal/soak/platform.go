package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Times of the platform that no seed changes.
const (
	warmAfter = 6 * time.Second
	coldFrom  = 0.1
	overload  = 1.5

	longestGrace = 3 * time.Second // of the longest deadline counts so much at most,
	killAfter    = 700 * time.Millisecond
)

// stopGrace is how long after SIGTERM a process is killed: as early as the platform may.
func (t Terms) stopGrace() time.Duration { return min(t.Deadline, longestGrace) + killAfter }

// Terms are the settings of a run's customer that its seed draws.
type Terms struct {
	Holds, Cancel, Resume, Asked bool
	MaxAttempts                  int
	Sockets                      int
	KeyWindow                    time.Duration
	Deadline                     time.Duration // that clients wait at the most
	Pin                          time.Duration // for how long something may be held with no attempt out
	EndsAsTold                   bool          // workers end an attempt once the time is up that they were told
	IdleClose                    time.Duration // workers close connections that have been idle for so long; 0: they don't
	WorkerConns                  int           // connections that a worker holds; further ones are reset; 0: any number
}

// NewTerms draws terms; one seed in three has the usual ones.
func NewTerms(seed uint64) Terms {
	drawn := rand.New(rand.NewPCG(seed, 6))
	t := Terms{IdleClose: []time.Duration{0, 0, 20 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}[drawn.IntN(5)],
		WorkerConns: []int{0, 0, 0, 40, 20}[drawn.IntN(5)], Holds: true, Cancel: true, Resume: true, MaxAttempts: 7, Sockets: 256, KeyWindow: 1500 * time.Millisecond,
		Deadline: 4 * time.Second, Pin: 500 * time.Millisecond, EndsAsTold: seed%2 == 0}
	if seed%3 == 0 {
		return t
	}
	rnd := rand.New(rand.NewPCG(seed, 5))
	t.Holds, t.Cancel, t.Resume, t.Asked = rnd.IntN(3) > 0, rnd.IntN(4) > 0, rnd.IntN(2) > 0, rnd.IntN(6) == 0
	t.MaxAttempts = []int{2, 3, 4, 7, 0}[rnd.IntN(5)]
	t.Sockets = []int{64, 128, 256}[rnd.IntN(3)]
	t.KeyWindow = []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond}[rnd.IntN(3)]
	t.Deadline = []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[rnd.IntN(3)]
	t.Pin = []time.Duration{250 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second}[rnd.IntN(4)]
	return t
}

func (t Terms) String() string {
	return fmt.Sprintf("holds %v, cancel %v, resume %v, asked %v, attempts %d, sockets %d, window %v, deadline %v, pin %v, ends as told %v, idle close %v, worker conns %d", t.Holds, t.Cancel, t.Resume, t.Asked,
		t.MaxAttempts, t.Sockets, t.KeyWindow, t.Deadline, t.Pin, t.EndsAsTold, t.IdleClose, t.WorkerConns)
}

// settings is the settings object of a router's configuration.
func (t Terms) settings(routers int) json.RawMessage {
	class := func(name, effect string, worth int, more map[string]any) map[string]any {
		c := map[string]any{"aimMs": min(1500, t.Deadline.Milliseconds()/2), "effect": effect, "importance": worth, "name": name, "streamed": true, "deadlineMs": t.Deadline.Milliseconds()}
		maps.Copy(c, more)
		return c
	}
	discovery := "automatic"
	if t.Asked {
		discovery = "subscribe"
	}
	text, _ := json.Marshal(map[string]any{
		"ceilings": map[string]any{"cancel": t.Cancel, "connIdleMs": 4000, "dialTimeoutMs": 250, "maxAttempts": t.MaxAttempts, "maxRetryAfterMs": 500, "retryAfter": true},
		"classes": []any{class("question", "pure", 3, nil), class("adjustment", "side_effect", 2, nil),
			class("note", "token", 2, map[string]any{"group": "all", "windowMs": t.KeyWindow.Milliseconds()})},
		"discovery": discovery,
		"domain": map[string]any{"holdsAllowed": t.Holds, "kindRole": []string{"read", "write"}, "pinLimitMs": t.Pin.Milliseconds(), "resume": t.Resume,
			"tokensByKind": []int{200000, 200000}},
		"guarantees": map[string]any{"coldFrom": coldFrom, "overloadFactor": overload, "warmAfterMs": warmAfter.Milliseconds()},
		"kinds":      []string{"prompt", "answer"}, "peersTotal": routers, "quantumMs": 4,
		"report": map[string]any{"fields": []string{}}, "tenants": []any{}, "zones": []string{"a", "b"}})
	return text
}

// platform is all that routers reach, in this process.
type platform struct {
	terms   Terms
	ledger  *Ledger
	dir     string
	workers []*worker

	mu      sync.Mutex
	rev     int64
	proxies [][]*proxy // by router and worker
	agents  []*agent
	routers []*process
}

func newPlatform(dir string, seed uint64, routers, workers int, l *Ledger) (*platform, error) {
	p := &platform{terms: NewTerms(seed), ledger: l, dir: dir, rev: 1}
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("w%d", i), i%2 == 0, seed+uint64(i), l, p.terms)
		if err != nil {
			return p, err
		}
		w.rev = p.rev
		p.workers = append(p.workers, w)
	}
	for i := range routers {
		var row []*proxy
		for _, w := range p.workers {
			px, err := newProxy(w.ln.Addr().String(), l.muted)
			if err != nil {
				return p, err
			}
			row = append(row, px)
		}
		p.proxies = append(p.proxies, row)
		a := &agent{p: p, router: i}
		if err := a.move(); err != nil {
			return p, err
		}
		p.agents = append(p.agents, a)
	}
	return p, nil
}

func (p *platform) close() {
	for _, a := range p.agents {
		a.close()
	}
	for _, row := range p.proxies {
		for _, px := range row {
			px.close()
		}
	}
	for _, w := range p.workers {
		w.close()
	}
}

func (p *platform) revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rev
}

// change has a worker change in the list.
func (p *platform) change(w *worker, what func(*worker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev++
	w.mu.Lock()
	defer w.mu.Unlock()
	what(w)
	w.rev = p.rev
	if p.ledger.countsAtAgent {
		for i, r := range p.routers {
			if !p.agents[i].mute.Load() {
				p.ledger.notify(i, r.current(), w.uid, w.state == "SERVING")
			}
		}
	}
}

// agentHas notes that a router's agent has the whole list, which counts as told.
func (p *platform) agentHas(router int) {
	if p.ledger.countsAtAgent && !p.agents[router].mute.Load() {
		p.noteTold(router, p.list(router, -1))
	}
}

// list is the list as one router is told it, or what has changed since a revision.
func (p *platform) list(router int, since int64) list {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := list{Rev: p.rev, All: since < 0, Targets: []target{}}
	for i, w := range p.workers {
		w.mu.Lock()
		t := target{UID: w.uid, Endpoint: p.proxies[router][i].addr(), Zone: string(rune('a' + i/2%2)), Model: "answer", State: w.state, Capacity: 1, Boot: w.boot}
		rev := w.rev
		w.mu.Unlock()
		if w.reads {
			t.Model = "prompt"
		}
		if since < 0 && t.State != "DELETED" || since >= 0 && rev > since {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

// noteTold notes that a router was told a list.
func (p *platform) noteTold(router int, l list) {
	p.mu.Lock()
	r := p.routers[router]
	p.mu.Unlock()
	for _, t := range l.Targets {
		p.ledger.notify(router, r.current(), t.UID, t.State == "SERVING")
		p.ledger.notifyStart(router, r.current(), t.UID, t.Boot)
	}
}

// configuration is a router's file as it stands.
func (p *platform) configuration(router int, listen string) []byte {
	text, _ := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", router), "listen": listen, "discovery": p.agents[router].addr(),
		"seed": fmt.Sprintf("%016x", router+1), "limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": p.terms.Sockets},
		"known": p.list(router, -1), "settings": p.terms.settings(len(p.proxies))})
	return text
}

// write writes a router's configuration, half of it or all.
func (p *platform) write(router int, listen string, half bool) error {
	text := p.configuration(router, listen)
	if half {
		text = text[:len(text)/2]
	}
	return os.WriteFile(p.file(router), text, 0o600)
}

func (p *platform) file(router int) string {
	return filepath.Join(p.dir, fmt.Sprintf("n%d.json", router))
}
