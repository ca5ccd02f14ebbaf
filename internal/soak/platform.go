package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Settings of the platform's routers, in the form of the configuration file.
const (
	pinLimit   = 500 * time.Millisecond
	keyWindow  = 1500 * time.Millisecond
	warmAfter  = 6 * time.Second
	coldFrom   = 0.1
	overload   = 1.5
	maxTimeout = 4 * time.Second // that clients wait
	stopGrace  = 3700 * time.Millisecond
)

var settings = fmt.Sprintf(`{"ceilings":{"cancel":true,"connIdleMs":4000,"dialTimeoutMs":250,"maxAttempts":7,"maxRetryAfterMs":500,"retryAfter":true},
"classes":[{"aimMs":1200,"effect":"pure","importance":3,"name":"question","streamed":true,"deadlineMs":%[1]d},
{"aimMs":1500,"effect":"side_effect","importance":2,"name":"adjustment","streamed":true,"deadlineMs":%[1]d},
{"aimMs":1500,"effect":"token","group":"all","windowMs":%[2]d,"importance":2,"name":"note","streamed":true,"deadlineMs":%[1]d}],
"discovery":"automatic","domain":{"holdsAllowed":true,"kindRole":["read","write"],"pinLimitMs":%[3]d,"resume":true,"tokensByKind":[200000,200000]},
"guarantees":{"coldFrom":%[4]v,"overloadFactor":%[5]v,"warmAfterMs":%[6]d},"kinds":["prompt","answer"],"peersTotal":%%d,"quantumMs":4,
"report":{"fields":[]},"tenants":[],"zones":["a","b"]}`, maxTimeout.Milliseconds(), keyWindow.Milliseconds(), pinLimit.Milliseconds(), coldFrom, overload,
	warmAfter.Milliseconds())

// platform is all that routers reach, in this process.
type platform struct {
	ledger  *Ledger
	states  *states
	dir     string
	workers []*worker

	mu      sync.Mutex
	rev     int64
	proxies [][]*proxy // by router and worker
	agents  []*agent
	routers []*process
}

func newPlatform(dir string, seed uint64, routers, workers int, l *Ledger) (*platform, error) {
	p := &platform{ledger: l, states: &states{at: map[string]string{}}, dir: dir, rev: 1}
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("w%d", i), i%2 == 0, seed+uint64(i), l, p.states)
		if err != nil {
			return p, err
		}
		w.rev = p.rev
		p.workers = append(p.workers, w)
	}
	for i := range routers {
		var row []*proxy
		for _, w := range p.workers {
			px, err := newProxy(w.ln.Addr().String())
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
	}
}

// configuration is a router's file as it stands.
func (p *platform) configuration(router int, listen string) []byte {
	text, _ := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", router), "listen": listen, "discovery": p.agents[router].addr(),
		"seed": fmt.Sprintf("%016x", router+1), "limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 256},
		"known": p.list(router, -1), "settings": json.RawMessage(fmt.Sprintf(settings, len(p.proxies)))})
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
