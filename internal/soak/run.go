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

// Config sets how a run is played.
type Config struct {
	Program       string // executable of the routers, started with the argument "platform"
	Dir           string // for configurations and logs; Run does not remove it
	Routers       int
	Workers       int
	Clients       int // for each router
	Length        time.Duration
	Only          []FaultKind // kinds of fault to draw from; empty: all
	DisabledGuard string      // guard that the routers disable (faults.Break...); "": none
	// Strict also checks what is excused as known failures (KNOWN-RED.txt): state held after an answer was lost on one silent
	// connection, and keyed requests run again by an attempt that waited in the socket of a hanging worker.
	Strict bool
}

// Result is the result of a run.
type Result struct {
	Schedule       Schedule
	Settings       Settings
	Requests       int
	Served         int           // requests with a complete stream
	Refused        int           // requests answered with 503
	Releases       int           // release calls that workers received
	LateKeyedRuns  int           // keyed requests that ran again after their key window, in an attempt that waited in the socket of a hanging worker
	RejectedConns  int           // connections reset by workers at their connection limit
	OutlivedCloses int           // attempts that continued for more than the pin limit after a close that their worker did not observe
	Starved        bool          // the machine was too busy to check times
	MaxTimerDelay  time.Duration // longest delay of this process's timers
	Violations     []Violation
}

// Run plays the schedule of one seed and checks the invariants.
func Run(ctx context.Context, cfg Config, seed uint64) (Result, error) {
	schedule := NewSchedule(seed, cfg.Length, cfg.Only)
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return Result{}, err
	}
	h := NewHistory(schedule)
	h.strict = cfg.Strict
	stop := make(chan struct{})
	defer close(stop)
	go h.measureTimerDelay(stop)
	p, err := newPlatform(cfg.Dir, seed, cfg.Routers, cfg.Workers, h)
	defer p.close()
	if err != nil {
		return Result{}, err
	}
	if err := startRouters(p, cfg, schedule); err != nil {
		return Result{}, err
	}
	playSchedule(ctx, p, schedule, cfg)
	time.Sleep(h.settings.PinLimit + pinAllowance) // so that anything still held exceeds its limit
	return h.result(schedule), nil
}

// startRouters chooses an address for each router and starts all.
func startRouters(p *platform, cfg Config, schedule Schedule) error {
	for i := range cfg.Routers {
		ln, err := net.Listen("tcp", routerAddr(schedule.Seed, i))
		if err != nil {
			return err
		}
		listen := ln.Addr().String()
		ln.Close()
		r := &process{platform: p, router: i, listen: listen, program: cfg.Program, env: faultEnv(schedule, i, cfg.DisabledGuard)}
		p.routers = append(p.routers, r)
	}
	for _, r := range p.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// routerAddr returns a loopback address for one router only: outgoing connections of other processes start from 127.0.0.1
// and so can't take the router's port while it is down.
func routerAddr(seed uint64, router int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%200, 1+seed%250, 1+router%250)
}

// faultEnv returns the environment variables that make a router inject the system faults of a schedule and disable a guard.
func faultEnv(schedule Schedule, router int, guard string) []string {
	rnd := rand.New(rand.NewPCG(schedule.Seed, uint64(router)+50))
	var faults []string
	if f, ok := schedule.find(Calls); ok {
		faults = append(faults, fmt.Sprintf("accept=%.3f,dial=%.3f,short=%.2f,broken=%.4f,peek=%.3f,write=%.3f,hang=%.3f", 0.2*f.Fraction, 0.2*f.Fraction, f.Fraction, 0.01*f.Fraction, 0.2*f.Fraction, 0.1*f.Fraction, 0.2*f.Fraction))
	}
	if f, ok := schedule.find(Files); ok {
		faults = append(faults, fmt.Sprintf("file=%.2f", f.Fraction))
	}
	if _, ok := schedule.find(Clock); ok {
		steps := []float64{-3600, -5, 5, 3600}
		faults = append(faults, fmt.Sprintf("clock=%.0f", steps[rnd.IntN(len(steps))]))
	}
	env := []string{}
	if len(faults) > 0 {
		env = append(env, fmt.Sprintf("GANNETHOOK_FAULTS=seed=%d,%s", schedule.Seed+uint64(router), strings.Join(faults, ",")))
	}
	if guard != "" {
		env = append(env, "GANNETHOOK_BREAK="+guard)
	}
	return env
}

// playSchedule runs the clients and injects the faults until the end of the run, then stops the routers.
func playSchedule(ctx context.Context, p *platform, schedule Schedule, cfg Config) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &clientPool{platform: p, schedule: schedule, history: p.history}
	var clients, faults sync.WaitGroup
	for i := range cfg.Routers * cfg.Clients {
		clients.Go(func() { c.runClient(ctx, i) })
	}
	for _, f := range schedule.Faults {
		faults.Go(func() { injectFault(ctx, p, c, f) })
	}
	sleep(ctx, max(schedule.Length-p.history.Now(), 0))
	faults.Wait()
	inParallel(p.routers, func(_ int, r *process) { r.finish() }) // clients continue on open connections until the routers have ended
	cancel()
	clients.Wait()
}

// injectFault injects one fault at its time, and ends its effects.
func injectFault(ctx context.Context, p *platform, c *clientPool, f Fault) {
	sleep(ctx, max(f.From-p.history.Now(), 0))
	rnd := rand.New(rand.NewPCG(f.Seed, 4))
	expired := func() bool { return ctx.Err() != nil || p.history.Now() >= f.Until }
	waitForEnd := func() { sleep(ctx, max(f.Until-p.history.Now(), 0)) }
	routers, workers := sample(rnd, p.routers, f.Fraction), sample(rnd, p.workers, f.Fraction)
	switch f.Kind {
	case Stop, Signals:
		inParallel(routers, func(i int, r *process) {
			sleep(ctx, time.Duration(i)*stopStagger)
			r.restart(func() {
				if f.Kind == Signals {
					for range reloadBurst {
						r.reload()
						time.Sleep(time.Millisecond)
					}
				}
				r.stop()
			})
		})
	case Kill:
		inParallel(routers, func(_ int, r *process) {
			r.restart(func() {
				r.kill()
				sleep(ctx, killDowntime)
			})
		})
	case Reload, HalfFile:
		for !expired() {
			for _, r := range routers {
				p.agents[r.router].relocate()
				p.writeConfig(r.router, r.listen, f.Kind == HalfFile)
				r.reload()
				if f.Kind == HalfFile {
					time.AfterFunc(100*time.Millisecond, func() { p.writeConfig(r.router, r.listen, false) })
				}
			}
			sleep(ctx, 700*time.Millisecond)
		}
	case Freeze:
		for !expired() {
			for _, r := range routers {
				r.signal(syscall.SIGSTOP)
			}
			time.Sleep(20*time.Millisecond + time.Duration(rnd.Int64N(int64(120*time.Millisecond))))
			for _, r := range routers {
				r.signal(syscall.SIGCONT)
			}
			sleep(ctx, 300*time.Millisecond)
		}
	case AgentMute, AgentSlow, AgentReset:
		for _, r := range routers {
			p.agents[r.router].setFault(f.Kind, true)
		}
		for !expired() {
			if f.Kind == AgentReset {
				for _, r := range routers {
					p.agents[r.router].reset()
				}
			}
			sleep(ctx, 400*time.Millisecond)
		}
		for _, r := range routers {
			p.agents[r.router].setFault(f.Kind, false)
			p.agentSynced(r.router)
		}
	case Drain:
		for _, w := range workers {
			p.updateWorker(w, func(w *worker) { w.state = "DRAINING" })
			sleep(ctx, 200*time.Millisecond)
		}
		waitForEnd()
		for _, w := range workers {
			p.restartWorker(w)
		}
	case Cold:
		for _, w := range workers {
			p.restartWorker(w)
			sleep(ctx, 100*time.Millisecond)
		}
	case Hang, Jam, Spoil:
		for _, w := range workers {
			w.setFault(f.Kind, true)
		}
		waitForEnd()
		for _, w := range workers {
			w.setFault(f.Kind, false)
		}
	case Silent, Refuse, Trickle:
		set := func(on bool) {
			for _, px := range p.proxiesTo(workers) {
				if f.Kind == Silent && !on { // first, so that no held-back data is forwarded
					px.resetAll()
				}
				px.setFault(f.Kind, on)
				if f.Kind == Refuse && on {
					px.resetAll()
				}
			}
		}
		for _, w := range workers {
			w.setFault(f.Kind, true)
			if f.Kind != Trickle { // neither the worker nor what it holds can be reached
				p.history.workerIsolated(w.uid, f.Kind)
			}
		}
		set(true)
		waitForEnd()
		set(false)
		for _, w := range workers {
			p.history.workerReconnected(w.uid, f.Kind)
			w.setFault(f.Kind, false)
		}
	case Blackout:
		for !expired() {
			isolated := p.drawBlackout(rnd)
			p.isolateWorkers(isolated, f.Kind)
			sleep(ctx, min(minBlackout+time.Duration(rnd.Int64N(int64(maxBlackout-minBlackout))), max(f.Until-p.history.Now(), 0)))
			p.reconnectWorkers(isolated, f.Kind)
			sleep(ctx, blackoutGap)
		}
	case Partition:
		var proxies []*proxy
		for _, r := range routers {
			proxies = append(proxies, p.proxiesBetween(r, workers)...)
		}
		for _, px := range proxies {
			px.setFault(f.Kind, true)
		}
		waitForEnd()
		for _, px := range proxies {
			px.resetAll()
			px.setFault(f.Kind, false)
		}
	case Fresh:
		for _, w := range p.workers {
			w.setFault(f.Kind, true)
		}
		for !expired() {
			outageLength := minBlackout + time.Duration(rnd.Int64N(int64(maxBlackout-minBlackout)))
			inParallel(routers, func(_ int, r *process) { p.restartIsolated(ctx, r, f, outageLength) })
			sleep(ctx, blackoutGap)
		}
		for _, w := range p.workers {
			w.setFault(f.Kind, false)
		}
	case Mute:
		for _, px := range p.proxiesTo(p.workers) {
			px.setFault(f.Kind, true)
		}
		waitForEnd()
		for _, px := range p.proxiesTo(p.workers) {
			px.setFault(f.Kind, false)
			px.resetSilent()
		}
	case Resets:
		for !expired() {
			for _, px := range p.proxiesTo(workers) {
				px.resetAll()
			}
			sleep(ctx, 50*time.Millisecond+time.Duration(rnd.Int64N(int64(300*time.Millisecond))))
		}
	case Flood, Idle:
		var clients sync.WaitGroup
		n := 8
		if f.Kind == Idle {
			n = 60 * len(p.routers)
		}
		for i := range n {
			clients.Go(func() { c.runMalformedClient(ctx, f, i) })
		}
		clients.Wait()
	}
}

// The outages of the faults Blackout and Fresh.
const (
	minBlackout      = time.Second // length of one
	maxBlackout      = 3 * time.Second
	blackoutGap      = 600 * time.Millisecond // between two
	blackoutFraction = 0.8                    // of the workers of a role that become unreachable
)

// restartIsolated restarts a router, and makes all prefill workers unreachable for it after its first attempt, while reads
// run. Other routers reach the workers, and states move to the places held for them.
func (p *platform) restartIsolated(ctx context.Context, r *process, f Fault, outageLength time.Duration) {
	var readers []*worker
	for _, w := range p.workers {
		if w.reads {
			readers = append(readers, w)
		}
	}
	proxies := p.proxiesBetween(r, readers)
	r.restart(r.kill)
	for ctx.Err() == nil && p.history.Now() < f.Until && !p.history.attemptSeen(r.router, r.currentNumber()) {
		time.Sleep(proxyPollInterval)
	}
	sleep(ctx, firstReadDelay)
	for _, px := range proxies {
		px.setFault(f.Kind, true)
	}
	sleep(ctx, outageLength)
	for _, px := range proxies {
		px.resetAll()
		px.setFault(f.Kind, false)
	}
}

// proxiesBetween returns a router's proxies to some workers.
func (p *platform) proxiesBetween(r *process, workers []*worker) (list []*proxy) {
	for i, w := range p.workers {
		if slices.Contains(workers, w) {
			list = append(list, p.proxies[r.router][i])
		}
	}
	return list
}

// firstReadDelay is the time from a router's first attempt until its readers become unreachable.
const firstReadDelay = 30 * time.Millisecond

// drawBlackout draws blackoutFraction of the workers of one role, or of both.
func (p *platform) drawBlackout(rnd *rand.Rand) (list []*worker) {
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
		for _, i := range rnd.Perm(len(all))[:int(blackoutFraction*float64(len(all)))] {
			list = append(list, all[i])
		}
	}
	return list
}

// isolateWorkers makes workers unreachable for all routers.
func (p *platform) isolateWorkers(workers []*worker, kind FaultKind) {
	for _, w := range workers {
		p.history.workerIsolated(w.uid, kind)
	}
	for _, px := range p.proxiesTo(workers) {
		px.setFault(kind, true)
	}
}

// reconnectWorkers ends that. Connections are reset, so that no held-back data is forwarded.
func (p *platform) reconnectWorkers(workers []*worker, kind FaultKind) {
	for _, px := range p.proxiesTo(workers) {
		px.resetAll()
		px.setFault(kind, false)
	}
	for _, w := range workers {
		p.history.workerReconnected(w.uid, kind)
	}
}

// How routers are stopped and started.
const (
	stopStagger  = 150 * time.Millisecond // between the SIGTERMs of two routers
	killDowntime = 300 * time.Millisecond // between SIGKILL and the next start
	reloadBurst  = 30                     // SIGHUPs before the SIGTERM of the fault Signals
)

// inParallel calls do for all routers concurrently and waits for all calls.
func inParallel(routers []*process, do func(i int, r *process)) {
	var all sync.WaitGroup
	for i, r := range routers {
		all.Go(func() { do(i, r) })
	}
	all.Wait()
}

// sample draws a fraction of a list: at least one item and, from three up, all but two at most.
func sample[T any](rnd *rand.Rand, list []T, fraction float64) []T {
	n := min(max(int(fraction*float64(len(list))), 1), max(len(list)-2, 1))
	picked := make([]T, 0, n)
	for _, i := range rnd.Perm(len(list))[:n] {
		picked = append(picked, list[i])
	}
	return picked
}

// restartWorker restarts a worker: its connections are reset and its slow start begins.
func (p *platform) restartWorker(w *worker) {
	for _, px := range p.proxiesTo([]*worker{w}) {
		px.resetAll()
	}
	w.start(p.history.Now())
	p.updateWorker(w, func(w *worker) { w.state = "SERVING" })
}

// proxiesTo returns the proxies of all routers to some workers.
func (p *platform) proxiesTo(workers []*worker) []*proxy {
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

// result checks the run and sums it up.
func (h *History) result(schedule Schedule) Result {
	violations := h.Check()
	h.mu.Lock()
	defer h.mu.Unlock()
	res := Result{Schedule: schedule, Settings: h.settings, Requests: len(h.requests), Releases: h.releases, LateKeyedRuns: h.lateKeyedRuns, RejectedConns: h.rejectedConns, OutlivedCloses: h.outlivedCloses, Violations: violations, MaxTimerDelay: h.maxTimerDelay, Starved: h.maxTimerDelay > starvedTimerDelay}
	for _, q := range h.requests {
		switch {
		case q.outcome == streamCompleted:
			res.Served++
		case q.outcome == plainAnswer && q.status == 503:
			res.Refused++
		}
	}
	return res
}

// SeedDir returns the folder of a seed's run.
func SeedDir(base string, seed uint64) string {
	return filepath.Join(base, fmt.Sprintf("seed-%d", seed))
}
