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

// Settings that no seed changes.
const (
	warmAfter      = 6 * time.Second // length of a worker's slow start
	coldFrom       = 0.1             // part of a warm worker's load that a worker may get as its slow start begins
	overloadFactor = 1.5             // factor by which the load of a worker may exceed its share

	maxDeadlineGrace = 3 * time.Second        // at most this much of the longest deadline counts towards stopGrace
	killMargin       = 700 * time.Millisecond // added to it
)

// stopGrace returns the time from SIGTERM to SIGKILL: the shortest that the platform may grant.
func (s Settings) stopGrace() time.Duration { return min(s.Deadline, maxDeadlineGrace) + killMargin }

// Settings are the router settings and the worker behaviour that the seed of a run draws.
type Settings struct {
	Holds, Cancel, Resume, Subscribe bool          // places are held, attempts cancelled, cut streams resumed by clients, discovery subscribed to
	MaxAttempts                      int           // for each request
	Sockets                          int           // of each router, at most
	KeyWindow                        time.Duration // for which workers remember the keys of requests with the effect Keyed
	Deadline                         time.Duration // longest timeout of clients
	PinLimit                         time.Duration // for which something may be held with no attempt in flight
	EnforceTimeout                   bool          // workers end an attempt once the timeout that they received has passed
	IdleClose                        time.Duration // after which workers close idle connections; 0: never
	WorkerConns                      int           // connections that a worker accepts, further ones are reset; 0: no limit
}

// NewSettings draws the settings of a seed. One seed in three has the default router settings.
func NewSettings(seed uint64) Settings {
	workerRnd := rand.New(rand.NewPCG(seed, 6))
	s := Settings{IdleClose: []time.Duration{0, 0, 20 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}[workerRnd.IntN(5)],
		WorkerConns: []int{0, 0, 0, 40, 20}[workerRnd.IntN(5)], Holds: true, Cancel: true, Resume: true, MaxAttempts: 7, Sockets: 256, KeyWindow: 1500 * time.Millisecond,
		Deadline: 4 * time.Second, PinLimit: 500 * time.Millisecond, EnforceTimeout: seed%2 == 0}
	if seed%3 == 0 {
		return s
	}
	rnd := rand.New(rand.NewPCG(seed, 5))
	s.Holds, s.Cancel, s.Resume, s.Subscribe = rnd.IntN(3) > 0, rnd.IntN(4) > 0, rnd.IntN(2) > 0, rnd.IntN(6) == 0
	s.MaxAttempts = []int{2, 3, 4, 7, 0}[rnd.IntN(5)]
	s.Sockets = []int{64, 128, 256}[rnd.IntN(3)]
	s.KeyWindow = []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond}[rnd.IntN(3)]
	s.Deadline = []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[rnd.IntN(3)]
	s.PinLimit = []time.Duration{250 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second}[rnd.IntN(4)]
	return s
}

func (s Settings) String() string {
	return fmt.Sprintf("holds %v, cancel %v, resume %v, asked %v, attempts %d, sockets %d, window %v, deadline %v, pin %v, ends as told %v, idle close %v, worker conns %d", s.Holds, s.Cancel, s.Resume, s.Subscribe,
		s.MaxAttempts, s.Sockets, s.KeyWindow, s.Deadline, s.PinLimit, s.EnforceTimeout, s.IdleClose, s.WorkerConns)
}

// routerSettings returns the settings object of a router's configuration.
func (s Settings) routerSettings(routers int) json.RawMessage {
	class := func(name, effect string, importance int, extra map[string]any) map[string]any {
		c := map[string]any{"aimMs": min(1500, s.Deadline.Milliseconds()/2), "effect": effect, "importance": importance, "name": name, "streamed": true, "deadlineMs": s.Deadline.Milliseconds()}
		maps.Copy(c, extra)
		return c
	}
	discovery := "automatic"
	if s.Subscribe {
		discovery = "subscribe"
	}
	text, _ := json.Marshal(map[string]any{
		"ceilings": map[string]any{"cancel": s.Cancel, "connIdleMs": 4000, "dialTimeoutMs": 250, "maxAttempts": s.MaxAttempts, "maxRetryAfterMs": 500, "retryAfter": true},
		"classes": []any{class("question", "pure", 3, nil), class("adjustment", "side_effect", 2, nil),
			class("note", "token", 2, map[string]any{"group": "all", "windowMs": s.KeyWindow.Milliseconds()})},
		"discovery": discovery,
		"domain": map[string]any{"holdsAllowed": s.Holds, "kindRole": []string{"read", "write"}, "pinLimitMs": s.PinLimit.Milliseconds(), "resume": s.Resume,
			"tokensByKind": []int{200000, 200000}},
		"guarantees": map[string]any{"coldFrom": coldFrom, "overloadFactor": overloadFactor, "warmAfterMs": warmAfter.Milliseconds()},
		"kinds":      []string{"prompt", "answer"}, "peersTotal": routers, "quantumMs": 4,
		"report": map[string]any{"fields": []string{}}, "tenants": []any{}, "zones": []string{"a", "b"}})
	return text
}

// platform is the environment of the routers, within this process: workers, discovery agents and the proxies between.
type platform struct {
	settings Settings
	history  *History
	dir      string
	workers  []*worker

	mu      sync.Mutex
	rev     int64      // of the worker list
	proxies [][]*proxy // by router and worker
	agents  []*agent   // by router
	routers []*process
}

func newPlatform(dir string, seed uint64, routers, workers int, h *History) (*platform, error) {
	p := &platform{settings: NewSettings(seed), history: h, dir: dir, rev: 1}
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("w%d", i), i%2 == 0, seed+uint64(i), h, p.settings)
		if err != nil {
			return p, err
		}
		w.rev = p.rev
		p.workers = append(p.workers, w)
	}
	for i := range routers {
		var row []*proxy
		for _, w := range p.workers {
			px, err := newProxy(w.ln.Addr().String(), h.linkSilent)
			if err != nil {
				return p, err
			}
			row = append(row, px)
		}
		p.proxies = append(p.proxies, row)
		a := &agent{platform: p, router: i}
		if err := a.relocate(); err != nil {
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

// updateWorker changes a worker in the list, with a new revision.
func (p *platform) updateWorker(w *worker, update func(*worker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev++
	w.mu.Lock()
	defer w.mu.Unlock()
	update(w)
	w.rev = p.rev
	if p.history.notifiedAtAgent {
		for i, r := range p.routers {
			if !p.agents[i].mute.Load() {
				p.history.stateNotified(i, r.currentNumber(), w.uid, w.state == "SERVING")
			}
		}
	}
}

// agentSynced records that a router's agent has the complete list. Where notifiedAtAgent is set, the router counts as
// notified of it.
func (p *platform) agentSynced(router int) {
	if p.history.notifiedAtAgent && !p.agents[router].mute.Load() {
		p.recordDelivery(router, p.list(router, -1))
	}
}

// list returns the worker list with one router's addresses, or its changes since a revision; a negative one asks for all.
func (p *platform) list(router int, since int64) workerList {
	p.mu.Lock()
	defer p.mu.Unlock()
	update := workerList{Rev: p.rev, All: since < 0, Targets: []workerEntry{}}
	for i, w := range p.workers {
		w.mu.Lock()
		t := workerEntry{UID: w.uid, Endpoint: p.proxies[router][i].addr(), Zone: string(rune('a' + i/2%2)), Model: "answer", State: w.state, Capacity: 1, Boot: w.bootMS}
		rev := w.rev
		w.mu.Unlock()
		if w.reads {
			t.Model = "prompt"
		}
		if since < 0 && t.State != "DELETED" || since >= 0 && rev > since {
			update.Targets = append(update.Targets, t)
		}
	}
	return update
}

// recordDelivery records that a router was notified of a list.
func (p *platform) recordDelivery(router int, update workerList) {
	p.mu.Lock()
	r := p.routers[router]
	p.mu.Unlock()
	for _, t := range update.Targets {
		p.history.stateNotified(router, r.currentNumber(), t.UID, t.State == "SERVING")
		p.history.startNotified(router, r.currentNumber(), t.UID, t.Boot)
	}
}

// routerConfig returns the content of a router's configuration file.
func (p *platform) routerConfig(router int, listen string) []byte {
	text, _ := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", router), "listen": listen, "discovery": p.agents[router].addr(),
		"seed": fmt.Sprintf("%016x", router+1), "limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": p.settings.Sockets},
		"known": p.list(router, -1), "settings": p.settings.routerSettings(len(p.proxies))})
	return text
}

// writeConfig writes a router's configuration file, the first half of it or all.
func (p *platform) writeConfig(router int, listen string, half bool) error {
	text := p.routerConfig(router, listen)
	if half {
		text = text[:len(text)/2]
	}
	return os.WriteFile(p.configPath(router), text, 0o600)
}

func (p *platform) configPath(router int) string {
	return filepath.Join(p.dir, fmt.Sprintf("n%d.json", router))
}
