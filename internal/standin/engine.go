package standin

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"gannethook/internal/record"
)

// Config sizes a stand-in engine.
type Config struct {
	Addr           string // host:port; port 0 takes a free port at the first start
	Writes         bool   // serves writes; otherwise reads
	Mixed          bool   // serves both reads and writes
	Slots          int
	Queue          int
	Memory         float64       // tokens
	ReadRate       float64       // prompt tokens per second in one slot
	FetchRate      float64       // tokens per second when a state is transferred
	TokenGap       time.Duration // between two tokens of an answer
	EarlyShare     float64       // share of a state that is transferred during the read if a place is held
	ColdFrom       float64       // share of full speed right after a cold start
	WarmAfter      time.Duration // length of the slow start
	OverloadFactor float64       // during slow start the engine crashes at this multiple of its speed, sustained for OverloadWindow
	OverloadWindow time.Duration // 0: it never crashes
	StateLifetime  time.Duration // lifetime of a state or place that no write takes
	Extended       bool          // offers the engine-protocol extension: places and releases
	IgnoreCancel   bool          // continues with requests that the router cancelled
	Seed           uint64
}

// Faults are injected faults; the zero value injects none.
type Faults struct {
	Slow         float64 // factor by which work takes longer; 0 and 1 mean none
	Errors       float64 // share of the requests that fail at once, with nothing run
	Hang         bool    // requests are accepted and never answered
	Draining     bool    // new requests are rejected with 503
	Throttle     string  // class that is rejected
	BreakAfter   int     // streams break after this number of tokens
	StallAfter   int     // streams stall after this number of tokens, with the connection open
	StaleReports bool    // load reports keep their last value
}

// Dedupe remembers the idempotency keys that a group of engines has applied.
type Dedupe struct {
	mu   sync.Mutex
	seen map[string]bool
}

// markNew reports whether a key is new, and remembers it.
func (d *Dedupe) markNew(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = map[string]bool{}
	}
	known := d.seen[key]
	d.seen[key] = true
	return !known
}

// Engine is a stand-in engine that can be started and killed repeatedly. Its methods are safe for concurrent use.
type Engine struct {
	cfg          Config
	log          *record.Log
	dedupe       *Dedupe         // nil: repeats are applied again
	keyedClasses map[string]bool // classes whose repeats the group drops

	mu      sync.Mutex
	addr    string
	current *lifetime
	applied map[string]int
}

// lifetime is one run of an engine, from Start until it is killed or crashes.
type lifetime struct {
	e         *Engine
	ln        *faultListener
	srv       *http.Server
	startedAt time.Time
	cold      bool // started with a slow start
	stopped   chan struct{}
	client    *http.Client // fetches states from readers
	slots     chan struct{}
	rng       *rand.Rand
	wg        sync.WaitGroup
	stopOnce  sync.Once

	mu             sync.Mutex
	faults         Faults
	queued         int
	memoryUsed     float64       // in tokens
	memoryFreed    chan struct{} // closed when memory is released
	states         map[string]*state
	places         map[string]*place
	recentWork     []workSample
	cachedPrefixes map[string]bool // shared prefixes that have been read before
	lastReport     float64
	droppedReads   map[string]bool // reads whose state was dropped
	readStarted    chan struct{}   // closed when a read begins
}

type workSample struct {
	at     time.Time
	amount float64
}

// NewEngine returns an engine that is not running. keyed names the classes whose repeats the group drops.
func NewEngine(cfg Config, log *record.Log, dedupe *Dedupe, keyed ...string) *Engine {
	e := &Engine{cfg: cfg, log: log, dedupe: dedupe, keyedClasses: map[string]bool{}, addr: cfg.Addr, applied: map[string]int{}}
	for _, k := range keyed {
		e.keyedClasses[k] = true
	}
	return e
}

// Addr returns the address that the engine listens on, once it has started.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Applied returns how often each request took effect here, over all lifetimes.
func (e *Engine) Applied() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := map[string]int{}
	for k, n := range e.applied {
		counts[k] = n
	}
	return counts
}

// Start begins a lifetime; cold gives it a slow start.
func (e *Engine) Start(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		return errors.New("standin: the engine is already running")
	}
	ln, err := listen(e.addr)
	if err != nil {
		return err
	}
	if addr := ln.Addr().String(); addr != e.addr { // handlers of an earlier lifetime may still read it
		e.addr = addr
	}
	l := &lifetime{e: e, ln: ln, startedAt: time.Now(), cold: cold, stopped: make(chan struct{}),
		slots: make(chan struct{}, e.cfg.Slots), memoryFreed: make(chan struct{}), states: map[string]*state{},
		places: map[string]*place{}, cachedPrefixes: map[string]bool{}, droppedReads: map[string]bool{}, readStarted: make(chan struct{}),
		rng: rand.New(rand.NewPCG(e.cfg.Seed, uint64(len(e.addr))))}
	ln.onFrozenRead = l.recordSwallowed
	l.client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
	l.srv = &http.Server{Handler: l.routes(), BaseContext: func(net.Listener) context.Context { return context.Background() }}
	e.current = l
	l.wg.Go(func() { l.srv.Serve(ln) })
	e.log.Add(record.Event{Who: e.addr, Kind: record.Started})
	return nil
}

// Kill ends the lifetime at once: connections are reset, held states and places are lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	l := e.current
	e.current = nil
	e.mu.Unlock()
	if l != nil {
		l.stop(record.Dead)
		l.wg.Wait()
	}
}

// stop ends the lifetime; Kill and a crash call it.
func (l *lifetime) stop(kind string) {
	l.stopOnce.Do(func() {
		l.e.log.Add(record.Event{Who: l.e.addr, Kind: kind})
		close(l.stopped)
		l.mu.Lock()
		for _, p := range l.places {
			p.cancel()
		}
		l.mu.Unlock()
		l.ln.abort()
		l.srv.Close()
		l.client.CloseIdleConnections()
	})
}

// Alive reports whether the engine runs and has not crashed.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return false
	}
	select {
	case <-e.current.stopped:
		return false
	default:
		return true
	}
}

// Set changes the faults of the current lifetime.
func (e *Engine) Set(change func(*Faults)) {
	e.mu.Lock()
	l := e.current
	e.mu.Unlock()
	if l != nil {
		l.mu.Lock()
		change(&l.faults)
		l.mu.Unlock()
	}
}

// Freeze stops all traffic without a reset, or resumes it.
func (e *Engine) Freeze(on bool) {
	e.mu.Lock()
	l := e.current
	e.mu.Unlock()
	if l == nil {
		return
	}
	kind := record.Thawed
	if on {
		kind = record.Frozen
	}
	e.log.Add(record.Event{Who: e.Addr(), Kind: kind})
	l.ln.freeze(on)
}

// Jam makes new connections time out, or ends that.
func (e *Engine) Jam(on bool) {
	e.mu.Lock()
	l := e.current
	e.mu.Unlock()
	if l == nil {
		return
	}
	kind := record.Opened
	if on {
		kind = record.Jammed
	}
	e.log.Add(record.Event{Who: e.Addr(), Kind: kind})
	l.ln.jam(on)
}

func (l *lifetime) currentFaults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// rampFactor returns the share of full speed that slow start allows at present.
func (l *lifetime) rampFactor() float64 {
	age := time.Since(l.startedAt)
	if !l.cold || age >= l.e.cfg.WarmAfter {
		return 1
	}
	return l.e.cfg.ColdFrom + (1-l.e.cfg.ColdFrom)*float64(age)/float64(l.e.cfg.WarmAfter)
}

// doWork sleeps for the time that work of duration d takes at the present speed; it reports whether the work completed.
func (l *lifetime) doWork(ctx context.Context, d time.Duration) bool {
	faults := l.currentFaults()
	factor := max(faults.Slow, 1) / l.rampFactor()
	t := time.NewTimer(time.Duration(float64(d) * factor))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-l.stopped:
		return false
	}
}

// recordWork counts work that arrived, completed or not. An engine in slow start crashes if it gets too much of it.
func (l *lifetime) recordWork(amount float64) {
	cfg := &l.e.cfg
	if cfg.OverloadWindow == 0 || l.rampFactor() >= 1 {
		return
	}
	l.mu.Lock()
	now, sum, largest := time.Now(), 0.0, 0.0
	l.recentWork = append(l.recentWork, workSample{now, amount})
	for len(l.recentWork) > 0 && now.Sub(l.recentWork[0].at) > cfg.OverloadWindow {
		l.recentWork = l.recentWork[1:]
	}
	for _, p := range l.recentWork {
		sum, largest = sum+p.amount, max(largest, p.amount)
	}
	possible := l.warmRate() * l.rampFactor() * cfg.OverloadWindow.Seconds()
	l.mu.Unlock()
	if sum > cfg.OverloadFactor*possible+2*largest { // tolerates two of the largest requests that arrive together by chance
		go l.stop(record.Fell)
	}
}

// warmRate returns the work per second at full speed: prompt tokens of a reader, answer tokens of a writer.
func (l *lifetime) warmRate() float64 {
	if l.e.cfg.Writes && !l.e.cfg.Mixed {
		return float64(l.e.cfg.Slots) / l.e.cfg.TokenGap.Seconds()
	}
	return float64(l.e.cfg.Slots) * l.e.cfg.ReadRate
}

// errQueueFull means that the request queue has no free entry.
var errQueueFull = errors.New("full")

// acquireSlot waits for a slot; release frees it.
func (l *lifetime) acquireSlot(ctx context.Context) (release func(), err error) {
	release = func() { <-l.slots }
	select {
	case l.slots <- struct{}{}:
		return release, nil
	default:
	}
	l.mu.Lock()
	if l.queued >= l.e.cfg.Queue {
		l.mu.Unlock()
		return nil, errQueueFull
	}
	l.queued++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.queued--
		l.mu.Unlock()
	}()
	select {
	case l.slots <- struct{}{}:
		return release, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.stopped:
		return nil, errors.New("dead")
	}
}

// acquireMemory waits for memory; tryAcquireMemory does not wait.
func (l *lifetime) acquireMemory(ctx context.Context, tokens float64) error {
	for {
		l.mu.Lock()
		if l.memoryUsed+tokens <= l.e.cfg.Memory || l.memoryUsed == 0 {
			l.memoryUsed += tokens
			l.mu.Unlock()
			return nil
		}
		freed := l.memoryFreed
		l.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		case <-l.stopped:
			return errors.New("dead")
		}
	}
}

func (l *lifetime) tryAcquireMemory(tokens float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.memoryUsed+tokens > l.e.cfg.Memory {
		return false
	}
	l.memoryUsed += tokens
	return true
}

func (l *lifetime) releaseMemory(tokens float64) {
	l.mu.Lock()
	l.memoryUsed -= tokens
	close(l.memoryFreed)
	l.memoryFreed = make(chan struct{})
	l.mu.Unlock()
}

// loadReport returns the value of the ORCA header, in the TEXT format.
func (l *lifetime) loadReport() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.faults.StaleReports {
		l.lastReport = min(l.memoryUsed/l.e.cfg.Memory, 1)
	}
	return fmt.Sprintf("TEXT named_metrics.kv_cache_usage_perc=%.4f", l.lastReport)
}

// unitHash returns a number in [0, 1) that depends on name and seed alone.
func unitHash(name string, seed uint64) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(h.Sum64(), seed)).Float64()
}
