// Package driver connects the decision module to the world. One goroutine owns
// a gannethook.Router, its clock, timers and request ids: connections hand it
// what happened, it tells the module, and carries out the module's actions in
// order. Nothing here decides; docs/architecture.md has what each bound does.
package driver

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/faults"
	"gannethook/internal/guard"
	"gannethook/internal/heldstate"
	"gannethook/internal/holdmonitor"
)

// Config sets a driver up.
type Config struct {
	Settings         gannethook.Settings
	Decider          Decider // nil: the module
	Names            Names   // of what the settings number; jobs carry the names then, and their numbers are looked up
	Name             string  // of this router, in the engines' logs
	Seed             uint64
	Inbox            int // events that may wait
	MaxOpen          int // requests that may be open
	Engines          Engines
	Trace            bool               // summaries are logged: they tell of connections too
	Guard            *guard.Monitor     // counts what the module may not do; nil: nobody asks
	WantsSummary     func(Outcome) bool // whether the summary of a request that ended so is wanted; nil: of each
	OnSummary        func(Summary)      // called with it on the driver's goroutine
	Took             func(time.Duration)
	OnPendingRelease func(heldstate.Report)         // called for what has been owed for half of its time
	OnAbandoned      func(heldstate.AbandonedEntry) // called for what left without proof that nothing is held
	OnRepeat         func(Repeat)                   // called for each further attempt and refusal of a request whose effect counts, behind a close
	OnSilence        func(holdmonitor.Report)       // called for what servers may hold and of which nothing was heard for half of its time
}

// Driver runs one router.
type Driver struct {
	cfg     Config
	router  Decider
	inbox   chan func()
	stopped chan struct{}
	start   time.Time
	startMS float64
	boot    string
	open    atomic.Int64
	maxOpen atomic.Int64
	work    sync.WaitGroup // attempts, holds and releases on their way

	// Of the goroutine alone:
	ctx       context.Context
	set       *gannethook.Settings // of requests that come now
	names     Names
	lastID    uint64
	loose     []*Call // answered, or an attempt ended: perhaps to be forgotten
	calls     map[gannethook.RequestID]*Call
	roles     map[gannethook.ServerID]gannethook.Role
	held      *heldstate.Ledger
	probeKey  string // that no request has
	watch     *holdmonitor.Monitor
	oldFaults oldFaults
	anyOver   bool                     // some request is over
	wanted    []string                 // keys of which all is to be let go, since the last event
	going     map[string]chan struct{} // closed once the last release by a key has gone out
	lookedAt  time.Time                // when what is owed was looked through last
	heldAt    time.Time                // when what is owed is looked through next
	hearAt    time.Time                // when servers that are in doubt are looked at next
	timers    timers
	turn      uint64
	over      bool // nothing more is taken

	lingerUntil atomic.Pointer[time.Time] // until when Run lets go of what is held after its context has ended; nil: lingerShort
}

// New returns a driver; Run starts it.
func New(cfg Config) (*Driver, error) {
	router := cfg.Decider
	if router == nil {
		module, err := gannethook.New(cfg.Settings, cfg.Seed)
		if err != nil {
			return nil, err
		}
		router = module
	}
	now := time.Now()
	wall := faults.WallClock()
	d := &Driver{cfg: cfg, router: router, inbox: make(chan func(), max(cfg.Inbox, 1)), stopped: make(chan struct{}),
		start: now, startMS: float64(wall.UnixMicro()) / 1000,
		boot: cfg.Name + "-" + strconv.FormatInt(wall.UnixNano(), 36), set: &cfg.Settings, names: cfg.Names,
		calls: map[gannethook.RequestID]*Call{}, roles: map[gannethook.ServerID]gannethook.Role{},
		held: heldstate.New(), probeKey: newProbeKey(), watch: holdmonitor.New(), oldFaults: oldFaults{}, going: map[string]chan struct{}{}}
	d.maxOpen.Store(int64(cfg.MaxOpen))
	return d, nil
}

// Now is the module's clock as of now.
func (d *Driver) Now() gannethook.Millis { return d.now() }

// now is the module's clock: wall time at the start, so that servers' start
// times mean something, and monotonic from there on.
func (d *Driver) now() gannethook.Millis {
	return gannethook.Millis(d.startMS + float64(time.Since(d.start).Microseconds())/1000)
}

// Run drives until the context ends; then every open request is failed, and Run
// waits for the attempts to be cut and for what is held to be let go.
func (d *Driver) Run(ctx context.Context) {
	defer d.clear()
	var cancel context.CancelFunc
	d.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		d.fireDue()
		d.releaseDue()
		alarm.Reset(d.nextAlarm())
		select {
		case f := <-d.inbox:
			d.run(f)
		case <-alarm.C:
		case <-ctx.Done():
			d.failAll()
			d.linger(alarm)
			return
		}
	}
}

// clear ends what still comes in while the driver stops: a request that was not
// taken is refused, a grant is let go.
func (d *Driver) clear() {
	d.over = true
	close(d.stopped)
	d.work.Wait()
	for len(d.inbox) > 0 {
		(<-d.inbox)()
	}
	d.work.Wait()
}

func (d *Driver) run(f func()) {
	if d.cfg.Took == nil {
		f()
		return
	}
	from := time.Now()
	f()
	d.cfg.Took(time.Since(from))
}

// Timeout fails every open request, as when the time of a stop is over.
func (d *Driver) FailOpenRequests() { d.post(d.failAll) }

// failAll ends what is open when the router stops; a failure promises nothing.
func (d *Driver) failAll() {
	for _, c := range d.calls {
		c.answer(Answer{Outcome: Failed, Reason: "the router stops"})
		for _, a := range c.attempts {
			c.end(a.n, attempt.Result{Outcome: gannethook.Cancelled, Detail: "the router stops"})
		}
		c.release()
	}
	d.settle()
}

// post hands the goroutine something to do; it waits while the inbox is full.
func (d *Driver) post(f func()) bool {
	select {
	case d.inbox <- f:
		return true
	case <-d.stopped:
		return false
	}
}

// pause waits, but not beyond the driver's end.
func (d *Driver) pause(span time.Duration) {
	select {
	case <-time.After(span):
	case <-d.ctx.Done():
	}
}

// Open is how many requests are open.
func (d *Driver) Open() int { return int(d.open.Load()) }

// Submit takes a request in. ErrBusy tells that the inbox or the table is full:
// nothing has run, so the client may be refused.
func (d *Driver) Submit(job Job, sink Sink) (*Call, error) {
	if d.open.Add(1) > d.maxOpen.Load() {
		d.open.Add(-1)
		return nil, ErrBusy
	}
	c := &Call{d: d, job: job, sink: sink, came: time.Now().Add(-job.QueuedFor)}
	select {
	case d.inbox <- func() { d.take(c) }:
		return c, nil
	case <-d.stopped:
		d.open.Add(-1)
		return nil, ErrStopped
	default:
		d.open.Add(-1)
		return nil, ErrBusy
	}
}

// Viewer is a Decider that shows what it sees; gannethook.Router does.
type Viewer interface {
	View(now gannethook.Millis) []gannethook.View
}

// View asks the module for the servers as it sees them, and how many requests
// wait or run. It waits its turn in the inbox; a decider that shows nothing gives none.
func (d *Driver) View(ctx context.Context) ([]gannethook.View, error) {
	got := make(chan []gannethook.View, 1)
	ask := func() {
		var list []gannethook.View
		if v, ok := d.router.(Viewer); ok {
			list = v.View(d.now())
		}
		got <- list
	}
	select {
	case d.inbox <- ask:
	case <-d.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case list := <-got:
		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Swap has new settings take the place of the old ones, between two events.
// They number classes, tenants and kinds as the old ones do; maxOpen bounds the
// open requests from now on.
func (d *Driver) Swap(set gannethook.Settings, maxOpen int) {
	d.maxOpen.Store(int64(maxOpen))
	d.post(func() {
		d.set = &set
		d.tell(gannethook.Reconfigure{Settings: set})
	})
}

// Reconfigure has requests that come from now on go by other settings; those
// under way keep theirs. list is the whole list of servers in the terms of the
// new settings.
func (d *Driver) Reconfigure(set gannethook.Settings, names Names, list gannethook.Membership, maxOpen int) {
	d.maxOpen.Store(int64(maxOpen))
	d.post(func() {
		d.set, d.names = &set, names
		d.tell(gannethook.Reconfigure{Settings: set})
		d.update(list)
	})
}

// Update brings news of the list of servers.
func (d *Driver) Update(m gannethook.Membership) {
	d.post(func() { d.update(m) })
}

func (d *Driver) update(m gannethook.Membership) {
	if m.Whole {
		d.goneFrom(m.Servers)
		clear(d.roles)
	}
	for _, s := range m.Servers {
		if s.State == gannethook.Gone {
			d.heldGone(s.ID)
		}
		if s.State == gannethook.Gone || s.Kind < 0 || s.Kind >= len(d.set.Kinds) {
			delete(d.roles, s.ID) // the module sends nothing there
		} else {
			d.roles[s.ID] = d.set.Kinds[s.Kind].Role
		}
	}
	d.tell(m)
}

// goneFrom has servers that a whole list lacks count as gone.
func (d *Driver) goneFrom(list []gannethook.Server) {
	listed := make(map[gannethook.ServerID]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
	}
	for id := range d.roles {
		if !listed[id] {
			d.heldGone(id)
		}
	}
}

// heldGone tells the ledger that nothing is held at a server any more.
func (d *Driver) heldGone(id gannethook.ServerID) {
	d.held.ServerRemoved(string(id), time.Now())
	d.heldChanged()
}

func (d *Driver) take(c *Call) {
	if d.over {
		c.answer(Answer{Outcome: Refused, Reason: ErrStopped.Error()})
		d.settle()
		return
	}
	if !d.number(&c.job) {
		c.answer(Answer{Outcome: Refused, Reason: "the settings have no such class any more"})
		d.settle()
		return
	}
	c.set = d.set
	d.lastID++
	c.id = gannethook.RequestID(d.lastID)
	d.calls[c.id] = c
	budget := c.job.Timeout - time.Since(c.came) // it has waited in the inbox
	d.tell(gannethook.Request{ID: c.id, Class: c.job.Class, Tenant: c.job.Tenant, Session: c.job.Session,
		Prefix: c.job.Prefix, Budget: gannethook.Millis(max(budget, 0).Seconds() * 1000),
		Prompt: c.job.PromptSize, PrefixLen: c.job.PrefixTokens, MaxOut: float64(c.job.MaxTokens)})
}

// number looks up the numbers of a job's class and tenant; it is false where the
// class is not known. A tenant that is not known is none.
func (d *Driver) number(job *Job) bool {
	if d.names.Classes == nil {
		return true
	}
	job.Class, job.Tenant = slices.Index(d.names.Classes, job.ClassName), slices.Index(d.names.Tenants, job.TenantName)
	return job.Class >= 0
}

// tell hands the module one event and carries out what it wants. An action may
// cause an event of its own (a cancelled attempt ends); it follows in its turn.
func (d *Driver) tell(ev gannethook.Event) {
	queue := []gannethook.Event{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		for _, act := range d.router.Handle(d.now(), ev) {
			if next := d.carryOut(act); next != nil {
				queue = append(queue, next)
			}
		}
	}
	d.settle()
}

// carryOut does one action.
func (d *Driver) carryOut(act gannethook.Action) gannethook.Event {
	switch a := act.(type) {
	case gannethook.Send:
		if c := d.calls[a.ID]; c != nil {
			return c.send(a)
		}
	case gannethook.Cancel:
		if c := d.calls[a.ID]; c != nil {
			c.callOff(a.Attempt, attempt.Result{Outcome: gannethook.Cancelled, Detail: "called off"})
		}
	case gannethook.Hold:
		if c := d.calls[a.ID]; c != nil {
			c.hold(a.Server)
		}
	case gannethook.Release:
		if c := d.calls[a.ID]; c != nil {
			c.release()
		}
	case gannethook.Refuse:
		if c := d.calls[a.ID]; c != nil {
			c.refuse(time.Duration(float64(a.RetryAfter) * 1e6))
		}
	case gannethook.Fail:
		if c := d.calls[a.ID]; c != nil {
			c.answer(Answer{Outcome: Failed})
		}
	case gannethook.Wake:
		d.after(time.Duration(float64(a.In)*1e6), timer{ref: a.Ref})
	case gannethook.Subscribe: // news of the list come by themselves
	default:
		panic(fmt.Sprintf("driver: unknown action %T", act))
	}
	return nil
}

// settle forgets the requests that are answered and have no attempt out.
func (d *Driver) settle() {
	for _, c := range d.loose {
		if !c.answered || c.forgotten {
			continue
		}
		if c.out > 0 {
			if c.leftOut() {
				c.owe()
			}
			continue
		}
		c.forgotten = true
		c.owe()
		delete(d.calls, c.id)
		d.open.Add(-1)
		if d.cfg.OnSummary != nil && (d.cfg.WantsSummary == nil || d.cfg.WantsSummary(c.final.Outcome)) {
			d.cfg.OnSummary(c.summary())
		}
	}
	clear(d.loose)
	d.loose = d.loose[:0]
	d.settleHeld()
}
