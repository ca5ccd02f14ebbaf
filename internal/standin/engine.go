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

// Config sizes an engine.
type Config struct {
	Addr      string // host:port; port 0 takes a free one at the first start
	Writes    bool   // a writer; else a reader
	Mixed     bool   // reads and writes
	Slots     int
	Queue     int
	Memory    float64       // tokens
	ReadRate  float64       // prompt tokens a second in one slot
	FetchRate float64       // tokens a second of a state on its way
	TokenGap  time.Duration // between two tokens of an answer
	Early     float64       // part of a state that flows during the read where a place is held
	ColdFrom  float64       // part of its speed that it starts with
	WarmAfter time.Duration
	Overload  float64       // sent more than this multiple while cold, for Fall, it falls over
	Fall      time.Duration // 0: it never falls
	Keep      time.Duration // a state that nobody takes is dropped by then
	Extended  bool          // it speaks the extension: places and releases
	Deaf      bool          // it goes on with what was given up
	Seed      uint64
}

// Faults are what an engine may be made to suffer; the zero value is none.
type Faults struct {
	Slow       float64 // times slower; 0 and 1 mean none
	Errors     float64 // part of the requests that fail at once, with nothing run
	Hang       bool    // requests are taken and never answered
	Draining   bool    // new requests are turned away with 503
	Throttle   string  // class turned away
	BreakAfter int     // a stream breaks after so many tokens
	StallAfter int     // or stops for good, its connection open
	LateReport bool    // load reports stay as they were
}

// Dedupe remembers the keys that a group of engines has applied.
type Dedupe struct {
	mu   sync.Mutex
	seen map[string]bool
}

// first tells whether a key is new, and remembers it.
func (d *Dedupe) first(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = map[string]bool{}
	}
	was := d.seen[key]
	d.seen[key] = true
	return !was
}

// Engine is one engine over its lives. Its methods are safe for concurrent use.
type Engine struct {
	cfg   Config
	log   *record.Log
	group *Dedupe         // nil: repeats are applied again
	keyed map[string]bool // classes whose repeats the group drops

	mu      sync.Mutex
	addr    string
	life    *life
	applied map[string]int
}

// life is an engine from a start to its end.
type life struct {
	e       *Engine
	ln      *gate
	srv     *http.Server
	began   time.Time
	cold    bool // started cold
	dead    chan struct{}
	client  *http.Client // fetches states from readers
	slots   chan struct{}
	rnd     *rand.Rand
	wg      sync.WaitGroup
	dieOnce sync.Once

	mu     sync.Mutex
	faults Faults
	queued int
	used   float64 // memory in tokens
	room   chan struct{}
	states map[string]*state
	places map[string]*place
	pushed []push
	kept   map[string]bool // shared beginnings whose text is kept
	report float64
	over   map[string]bool // reads whose state is gone
	news   chan struct{}   // closed when a read begins
}

type push struct {
	at   time.Time
	work float64
}

// NewEngine returns an engine that is not running. keyed names the classes
// whose repeats the group drops.
func NewEngine(cfg Config, log *record.Log, group *Dedupe, keyed ...string) *Engine {
	e := &Engine{cfg: cfg, log: log, group: group, keyed: map[string]bool{}, addr: cfg.Addr, applied: map[string]int{}}
	for _, k := range keyed {
		e.keyed[k] = true
	}
	return e
}

// Addr is where the engine listens, once it has started.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Applied is how often each request had its effect here, over all lives.
func (e *Engine) Applied() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for k, n := range e.applied {
		out[k] = n
	}
	return out
}

// Start begins a life; cold makes it warm up.
func (e *Engine) Start(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != nil {
		return errors.New("standin: the engine runs")
	}
	ln, err := listen(e.addr)
	if err != nil {
		return err
	}
	if addr := ln.Addr().String(); addr != e.addr { // handlers of an earlier life may still read it
		e.addr = addr
	}
	l := &life{e: e, ln: ln, began: time.Now(), cold: cold, dead: make(chan struct{}),
		slots: make(chan struct{}, e.cfg.Slots), room: make(chan struct{}), states: map[string]*state{},
		places: map[string]*place{}, kept: map[string]bool{}, over: map[string]bool{}, news: make(chan struct{}),
		rnd: rand.New(rand.NewPCG(e.cfg.Seed, uint64(len(e.addr))))}
	ln.swallowed = l.swallowed
	l.client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
	l.srv = &http.Server{Handler: l.routes(), BaseContext: func(net.Listener) context.Context { return context.Background() }}
	e.life = l
	l.wg.Go(func() { l.srv.Serve(ln) })
	e.log.Add(record.Event{Who: e.addr, Kind: record.Started})
	return nil
}

// Kill ends the life at once: connections are reset, what is held is lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l != nil {
		l.die(record.Dead)
		l.wg.Wait()
	}
}

// die ends a life from within or without.
func (l *life) die(why string) {
	l.dieOnce.Do(func() {
		l.e.log.Add(record.Event{Who: l.e.addr, Kind: why})
		close(l.dead)
		l.mu.Lock()
		for _, p := range l.places {
			p.cancel()
		}
		l.mu.Unlock()
		l.ln.die()
		l.srv.Close()
		l.client.CloseIdleConnections()
	})
}

// Alive tells whether the engine runs and has not fallen.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == nil {
		return false
	}
	select {
	case <-e.life.dead:
		return false
	default:
		return true
	}
}

// Set changes the faults of the present life.
func (e *Engine) Set(change func(*Faults)) {
	e.mu.Lock()
	l := e.life
	e.mu.Unlock()
	if l != nil {
		l.mu.Lock()
		change(&l.faults)
		l.mu.Unlock()
	}
}

// Freeze makes the engine vanish without a reset, or come back.
func (e *Engine) Freeze(on bool) {
	e.mu.Lock()
	l := e.life
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

// Jam makes new connections time out, or end that.
func (e *Engine) Jam(on bool) {
	e.mu.Lock()
	l := e.life
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

func (l *life) fault() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// warmth is the part of its speed that the engine has.
func (l *life) warmth() float64 {
	age := time.Since(l.began)
	if !l.cold || age >= l.e.cfg.WarmAfter {
		return 1
	}
	return l.e.cfg.ColdFrom + (1-l.e.cfg.ColdFrom)*float64(age)/float64(l.e.cfg.WarmAfter)
}

// work sleeps for as long as a piece of work takes now; it tells whether it was done.
func (l *life) work(ctx context.Context, d time.Duration) bool {
	f := l.fault()
	slow := max(f.Slow, 1) / l.warmth()
	t := time.NewTimer(time.Duration(float64(d) * slow))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-l.dead:
		return false
	}
}

// push counts work that came in, done or not; a cold engine that gets too much of it falls over.
func (l *life) push(work float64) {
	cfg := &l.e.cfg
	if cfg.Fall == 0 || l.warmth() >= 1 {
		return
	}
	l.mu.Lock()
	now, sum, most := time.Now(), 0.0, 0.0
	l.pushed = append(l.pushed, push{now, work})
	for len(l.pushed) > 0 && now.Sub(l.pushed[0].at) > cfg.Fall {
		l.pushed = l.pushed[1:]
	}
	for _, p := range l.pushed {
		sum, most = sum+p.work, max(most, p.work)
	}
	can := l.capacity() * l.warmth() * cfg.Fall.Seconds()
	l.mu.Unlock()
	if sum > cfg.Overload*can+2*most { // two of the largest are chance
		go l.die(record.Fell)
	}
}

// capacity is the work a second that a warm engine does: prompt tokens of a
// reader, answer tokens of a writer.
func (l *life) capacity() float64 {
	if l.e.cfg.Writes && !l.e.cfg.Mixed {
		return float64(l.e.cfg.Slots) / l.e.cfg.TokenGap.Seconds()
	}
	return float64(l.e.cfg.Slots) * l.e.cfg.ReadRate
}

// errTurned tells that there is no room in the queue.
var errTurned = errors.New("full")

// slot waits for a slot; leave gives it back.
func (l *life) slot(ctx context.Context) (leave func(), err error) {
	leave = func() { <-l.slots }
	select {
	case l.slots <- struct{}{}:
		return leave, nil
	default:
	}
	l.mu.Lock()
	if l.queued >= l.e.cfg.Queue {
		l.mu.Unlock()
		return nil, errTurned
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
		return leave, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.dead:
		return nil, errors.New("dead")
	}
}

// take waits for memory; tryTake does not wait.
func (l *life) take(ctx context.Context, tokens float64) error {
	for {
		l.mu.Lock()
		if l.used+tokens <= l.e.cfg.Memory || l.used == 0 {
			l.used += tokens
			l.mu.Unlock()
			return nil
		}
		room := l.room
		l.mu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			return ctx.Err()
		case <-l.dead:
			return errors.New("dead")
		}
	}
}

func (l *life) tryTake(tokens float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used+tokens > l.e.cfg.Memory {
		return false
	}
	l.used += tokens
	return true
}

func (l *life) give(tokens float64) {
	l.mu.Lock()
	l.used -= tokens
	close(l.room)
	l.room = make(chan struct{})
	l.mu.Unlock()
}

// loadReport is the ORCA header's value, in the TEXT format.
func (l *life) loadReport() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.faults.LateReport {
		l.report = min(l.used/l.e.cfg.Memory, 1)
	}
	return fmt.Sprintf("TEXT named_metrics.kv_cache_usage_perc=%.4f", l.report)
}

// part is a number from 0 to 1 that goes by a name and the engines' seed alone.
func part(name string, seed uint64) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(h.Sum64(), seed)).Float64()
}
