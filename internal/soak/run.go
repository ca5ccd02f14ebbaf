package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config is how a run is played.
type Config struct {
	Program string // of the routers, which "platform" is its first argument to
	Dir     string // for configurations and logs; it stays
	Routers int
	Workers int
	Clients int // for each router
	Length  time.Duration
	Only    []Kind
	Break   string // a guard that the routers' build leaves out
	Strict  bool   // judge also a read whose answer was lost on a connection that fell silent alone (KNOWN-RED.txt)
}

// Result is what a run showed.
type Result struct {
	Plan     Plan
	Terms    Terms
	Requests int
	Served   int
	Refused  int
	Releases int // calls that let go of what is held
	LateRuns int // keyed requests that ran again behind their window, in an attempt that waited in the socket of a worker that hung
	Turned   int // connections that workers which hold too many have reset
	WentOn   int // attempts that went on for the pin limit at least behind a close that was lost
	Starved  bool
	Latest   time.Duration // the most by which this process was late
	Breaks   []Break
}

// Run plays one seed.
func Run(ctx context.Context, cfg Config, seed uint64) (Result, error) {
	plan := NewPlan(seed, cfg.Length, cfg.Only)
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return Result{}, err
	}
	l := NewLedger(plan)
	l.strict = cfg.Strict
	stop := make(chan struct{})
	defer close(stop)
	go l.measure(stop)
	p, err := newPlatform(cfg.Dir, seed, cfg.Routers, cfg.Workers, l)
	defer p.close()
	if err != nil {
		return Result{}, err
	}
	if err := startRouters(p, cfg, plan); err != nil {
		return Result{}, err
	}
	playAll(ctx, p, plan, cfg)
	time.Sleep(l.terms.Pin + allowance) // so that what is still held shows
	return l.result(plan), nil
}

func startRouters(p *platform, cfg Config, plan Plan) error {
	for i := range cfg.Routers {
		ln, err := net.Listen("tcp", routerAddr(plan.Seed, i))
		if err != nil {
			return err
		}
		listen := ln.Addr().String()
		ln.Close()
		r := &process{p: p, router: i, listen: listen, program: cfg.Program, env: faultsOf(plan, i, cfg.Break)}
		p.routers = append(p.routers, r)
	}
	for _, r := range p.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// routerAddr is an address of a router's own: another process's connections, which
// start from 127.0.0.1, can't take its port while it is down.
func routerAddr(seed uint64, router int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%200, 1+seed%250, 1+router%250)
}

// faultsOf is the environment that has a router's build inject its part of a plan's system faults.
func faultsOf(plan Plan, router int, guard string) []string {
	rnd := rand.New(rand.NewPCG(plan.Seed, uint64(router)+50))
	var faults []string
	if t, ok := plan.find(Calls); ok {
		faults = append(faults, fmt.Sprintf("accept=%.3f,dial=%.3f,short=%.2f,broken=%.4f,peek=%.3f,write=%.3f,hang=%.3f", 0.2*t.Part, 0.2*t.Part, t.Part, 0.01*t.Part, 0.2*t.Part, 0.1*t.Part, 0.2*t.Part))
	}
	if t, ok := plan.find(Files); ok {
		faults = append(faults, fmt.Sprintf("file=%.2f", t.Part))
	}
	if _, ok := plan.find(Clock); ok {
		steps := []float64{-3600, -5, 5, 3600}
		faults = append(faults, fmt.Sprintf("clock=%.0f", steps[rnd.IntN(len(steps))]))
	}
	env := []string{}
	if len(faults) > 0 {
		env = append(env, fmt.Sprintf("GANNETHOOK_FAULTS=seed=%d,%s", plan.Seed+uint64(router), strings.Join(faults, ",")))
	}
	if guard != "" {
		env = append(env, "GANNETHOOK_BREAK="+guard)
	}
	return env
}

// playAll plays the troubles and the clients to the run's end.
func playAll(ctx context.Context, p *platform, plan Plan, cfg Config) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &crowd{p: p, plan: plan, ledger: p.ledger}
	var asking, troubles sync.WaitGroup
	for i := range cfg.Routers * cfg.Clients {
		asking.Go(func() { c.usual(ctx, i) })
	}
	for _, t := range plan.Troubles {
		troubles.Go(func() { play(ctx, p, c, t) })
	}
	pause(ctx, max(plan.Length-p.ledger.Now(), 0))
	troubles.Wait()
	each(p.routers, func(_ int, r *process) { r.finish() }) // clients go on using what stays open until the kill
	cancel()
	asking.Wait()
}

// play plays one trouble at its time, and sets right what it did.
func play(ctx context.Context, p *platform, c *crowd, t Trouble) {
	pause(ctx, max(t.From-p.ledger.Now(), 0))
	rnd := rand.New(rand.NewPCG(t.Seed, 4))
	over := func() bool { return ctx.Err() != nil || p.ledger.Now() >= t.Until }
	rest := func() { pause(ctx, max(t.Until-p.ledger.Now(), 0)) }
	routers, workers := pick(rnd, p.routers, t.Part), pick(rnd, p.workers, t.Part)
	switch t.Kind {
	case Stop, Signals:
		each(routers, func(i int, r *process) {
			pause(ctx, time.Duration(i)*stopStagger)
			r.again(func() {
				if t.Kind == Signals {
					for range manySignals {
						r.reload()
						time.Sleep(time.Millisecond)
					}
				}
				r.stop()
			})
		})
	case Kill:
		each(routers, func(_ int, r *process) {
			r.again(func() {
				r.kill()
				pause(ctx, downtime)
			})
		})
	case Reload, HalfFile:
		for !over() {
			for _, r := range routers {
				p.agents[r.router].move()
				p.write(r.router, r.listen, t.Kind == HalfFile)
				r.reload()
				if t.Kind == HalfFile {
					time.AfterFunc(100*time.Millisecond, func() { p.write(r.router, r.listen, false) })
				}
			}
			pause(ctx, 700*time.Millisecond)
		}
	case Freeze:
		for !over() {
			for _, r := range routers {
				r.signal(syscall.SIGSTOP)
			}
			time.Sleep(20*time.Millisecond + time.Duration(rnd.Int64N(int64(120*time.Millisecond))))
			for _, r := range routers {
				r.signal(syscall.SIGCONT)
			}
			pause(ctx, 300*time.Millisecond)
		}
	case AgentMute, AgentSlow, AgentReset:
		for _, r := range routers {
			p.agents[r.router].set(t.Kind, true)
		}
		for !over() {
			if t.Kind == AgentReset {
				for _, r := range routers {
					p.agents[r.router].reset()
				}
			}
			pause(ctx, 400*time.Millisecond)
		}
		for _, r := range routers {
			p.agents[r.router].set(t.Kind, false)
			p.agentHas(r.router)
		}
	case Drain:
		for _, w := range workers {
			p.change(w, func(w *worker) { w.state = "DRAINING" })
			pause(ctx, 200*time.Millisecond)
		}
		rest()
		for _, w := range workers {
			p.restart(w)
		}
	case Cold:
		for _, w := range workers {
			p.restart(w)
			pause(ctx, 100*time.Millisecond)
		}
	case Hang, Jam, Spoil:
		for _, w := range workers {
			w.set(t.Kind, true)
		}
		rest()
		for _, w := range workers {
			w.set(t.Kind, false)
		}
	case Silent, Refuse, Trickle:
		set := func(on bool) {
			for _, px := range p.proxiesOf(workers) {
				if t.Kind == Silent && !on { // first: nothing that waited passes
					px.resetAll()
				}
				px.set(t.Kind, on)
				if t.Kind == Refuse && on {
					px.resetAll()
				}
			}
		}
		for _, w := range workers {
			w.set(t.Kind, true)
			if t.Kind != Trickle { // nobody reaches it, nor what it holds
				p.ledger.cutOff(w.uid, t.Kind)
			}
		}
		set(true)
		rest()
		set(false)
		for _, w := range workers {
			p.ledger.joined(w.uid, t.Kind)
			w.set(t.Kind, false)
		}
	case Blackout:
		for !over() {
			dark := p.mostOf(rnd)
			p.cutOff(dark, t.Kind)
			pause(ctx, min(leastDark+time.Duration(rnd.Int64N(int64(mostDark-leastDark))), max(t.Until-p.ledger.Now(), 0)))
			p.join(dark, t.Kind)
			pause(ctx, darkGap)
		}
	case Partition:
		var ways []*proxy
		for _, r := range routers {
			ways = append(ways, p.ways(r, workers)...)
		}
		for _, px := range ways {
			px.set(t.Kind, true)
		}
		rest()
		for _, px := range ways {
			px.resetAll()
			px.set(t.Kind, false)
		}
	case Fresh:
		for _, w := range p.workers {
			w.set(t.Kind, true)
		}
		for !over() {
			dark := leastDark + time.Duration(rnd.Int64N(int64(mostDark-leastDark)))
			each(routers, func(_ int, r *process) { p.freshInACut(ctx, r, t, dark) })
			pause(ctx, darkGap)
		}
		for _, w := range p.workers {
			w.set(t.Kind, false)
		}
	case Mute:
		for _, px := range p.proxiesOf(p.workers) {
			px.set(t.Kind, true)
		}
		rest()
		for _, px := range p.proxiesOf(p.workers) {
			px.set(t.Kind, false)
			px.resetMuted()
		}
	case Resets:
		for !over() {
			for _, px := range p.proxiesOf(workers) {
				px.resetAll()
			}
			pause(ctx, 50*time.Millisecond+time.Duration(rnd.Int64N(int64(300*time.Millisecond))))
		}
	case Flood, Idle:
		var bad sync.WaitGroup
		n := 8
		if t.Kind == Idle {
			n = 60 * len(p.routers)
		}
		for i := range n {
			bad.Go(func() { c.bad(ctx, t, i) })
		}
		bad.Wait()
	}
}

// How long most workers of a role are cut off, and the time between two cuts.
const (
	leastDark = time.Second
	mostDark  = 3 * time.Second
	darkGap   = 600 * time.Millisecond
	darkPart  = 0.8 // of the workers of a role
)

// freshInACut starts a router anew, and cuts it off from all prefill workers behind its first requests, while their reads run.
// Others reach them, and states move to the places that wait for them.
func (p *platform) freshInACut(ctx context.Context, r *process, t Trouble, dark time.Duration) {
	var readers []*worker
	for _, w := range p.workers {
		if w.reads {
			readers = append(readers, w)
		}
	}
	ways := p.ways(r, readers)
	r.again(r.kill)
	for ctx.Err() == nil && p.ledger.Now() < t.Until && !p.ledger.hasAsked(r.router, r.current()) {
		time.Sleep(silentLook)
	}
	pause(ctx, firstReads)
	for _, px := range ways {
		px.set(t.Kind, true)
	}
	pause(ctx, dark)
	for _, px := range ways {
		px.resetAll()
		px.set(t.Kind, false)
	}
}

// ways are a router's proxies to some workers.
func (p *platform) ways(r *process, workers []*worker) (list []*proxy) {
	for i, w := range p.workers {
		if slices.Contains(workers, w) {
			list = append(list, p.proxies[r.router][i])
		}
	}
	return list
}

// firstReads is how long behind a router's first attempt its readers are cut off.
const firstReads = 30 * time.Millisecond

// mostOf draws four in five workers of one role, or of both.
func (p *platform) mostOf(rnd *rand.Rand) (list []*worker) {
	roles := []bool{rnd.IntN(2) == 0}
	if rnd.IntN(3) == 0 {
		roles = []bool{true, false}
	}
	for _, reads := range roles {
		var all []*worker
		for _, w := range p.workers {
			if w.reads == reads {
				all = append(all, w)
			}
		}
		for _, i := range rnd.Perm(len(all))[:int(darkPart*float64(len(all)))] {
			list = append(list, all[i])
		}
	}
	return list
}

// cutOff cuts workers off from all routers, and join ends that: connections are reset, and nothing that waited passes.
func (p *platform) cutOff(workers []*worker, kind Kind) {
	for _, w := range workers {
		p.ledger.cutOff(w.uid, kind)
	}
	for _, px := range p.proxiesOf(workers) {
		px.set(kind, true)
	}
}

func (p *platform) join(workers []*worker, kind Kind) {
	for _, px := range p.proxiesOf(workers) {
		px.resetAll()
		px.set(kind, false)
	}
	for _, w := range workers {
		p.ledger.joined(w.uid, kind)
	}
}

// How routers are stopped and started.
const (
	stopStagger = 150 * time.Millisecond // between two that are told to end
	downtime    = 300 * time.Millisecond // of one that was killed
	manySignals = 30                     // for reloads, ahead of one for a stop
)

func each(routers []*process, do func(i int, r *process)) {
	var all sync.WaitGroup
	for i, r := range routers {
		all.Go(func() { do(i, r) })
	}
	all.Wait()
}

// pick draws a part of a list, one at the least and not all.
func pick[T any](rnd *rand.Rand, list []T, part float64) []T {
	n := min(max(int(part*float64(len(list))), 1), max(len(list)-2, 1))
	picked := make([]T, 0, n)
	for _, i := range rnd.Perm(len(list))[:n] {
		picked = append(picked, list[i])
	}
	return picked
}

// restart has a worker come back cold.
func (p *platform) restart(w *worker) {
	for _, px := range p.proxiesOf([]*worker{w}) {
		px.resetAll()
	}
	w.start(p.ledger.Now())
	p.change(w, func(w *worker) { w.state = "SERVING" })
}

func (p *platform) proxiesOf(workers []*worker) []*proxy {
	var list []*proxy
	for i, w := range p.workers {
		for _, picked := range workers {
			if picked == w {
				for _, row := range p.proxies {
					list = append(list, row[i])
				}
			}
		}
	}
	return list
}

func (l *Ledger) result(plan Plan) Result {
	breaks := l.Judge()
	l.mu.Lock()
	defer l.mu.Unlock()
	res := Result{Plan: plan, Terms: l.terms, Requests: len(l.requests), Releases: l.releases, LateRuns: l.lateRuns, Turned: l.turned, WentOn: l.wentOn, Breaks: breaks, Latest: l.latest, Starved: l.latest > mostLate}
	for _, q := range l.requests {
		switch {
		case q.end == streamed:
			res.Served++
		case q.end == answered && q.status == 503:
			res.Refused++
		}
	}
	return res
}

// DirOf is a seed's folder.
func DirOf(base string, seed uint64) string { return filepath.Join(base, fmt.Sprintf("seed-%d", seed)) }
