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
	cfg         Config
	router      Decider
	inbox       chan func()
	stopped     chan struct{}
	start       time.Time
	startWallMS float64
	incarnation string
	open        atomic.Int64
	maxOpen     atomic.Int64
	background  sync.WaitGroup // attempts, holds and releases on their way

	// Of the goroutine alone:
	ctx              context.Context
	settings         *gannethook.Settings // of requests that come now
	names            Names
	lastID           uint64
	unsettled        []*Call // answered, or an attempt ended: perhaps to be forgotten
	calls            map[gannethook.RequestID]*Call
	roles            map[gannethook.ServerID]gannethook.Role
	ledger           *heldstate.Ledger
	livenessKey      string // that no request has
	holdMonitor      *holdmonitor.Monitor
	regressions      regressions
	anyRequestEnded  bool                     // some request is over
	releaseRequests  []string                 // keys of which all is to be let go, since the last event
	releasesInFlight map[string]chan struct{} // closed once the last release by a key has gone out
	lastLedgerCheck  time.Time                // when what is owed was looked through last
	nextLedgerCheck  time.Time                // when what is owed is looked through next
	nextLivenessPoll time.Time                // when servers that are in doubt are looked at next
	timers           timers
	timerSeq         uint64
	closed           bool // nothing more is taken

	releaseDeadline atomic.Pointer[time.Time] // until when Run lets go of what is held after its context has ended; nil: defaultReleaseTimeout
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
		start: now, startWallMS: float64(wall.UnixMicro()) / 1000,
		incarnation: cfg.Name + "-" + strconv.FormatInt(wall.UnixNano(), 36), settings: &cfg.Settings, names: cfg.Names,
		calls: map[gannethook.RequestID]*Call{}, roles: map[gannethook.ServerID]gannethook.Role{},
		ledger: heldstate.New(), livenessKey: newLivenessKey(), holdMonitor: holdmonitor.New(), regressions: regressions{}, releasesInFlight: map[string]chan struct{}{}}
	d.maxOpen.Store(int64(cfg.MaxOpen))
	return d, nil
}

// Now is the module's clock as of now.
func (d *Driver) Now() gannethook.Millis { return d.now() }

// now is the module's clock: wall time at the start, so that servers' start
// times mean something, and monotonic from there on.
func (d *Driver) now() gannethook.Millis {
	return gannethook.Millis(d.startWallMS + float64(time.Since(d.start).Microseconds())/1000)
}

// Run drives until the context ends; then every open request is failed, and Run
// waits for the attempts to be cut and for what is held to be let go.
func (d *Driver) Run(ctx context.Context) {
	defer d.finishStop()
	var cancel context.CancelFunc
	d.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	for {
		d.fireDueTimers()
		d.startDueReleases()
		wakeTimer.Reset(d.untilNextEvent())
		select {
		case f := <-d.inbox:
			d.runTask(f)
		case <-wakeTimer.C:
		case <-ctx.Done():
			d.failOpen()
			d.releaseUntilDeadline(wakeTimer)
			return
		}
	}
}

// finishStop ends what still comes in while the driver stops: a request that was not
// taken is refused, a grant is let go.
func (d *Driver) finishStop() {
	d.closed = true
	close(d.stopped)
	d.background.Wait()
	for len(d.inbox) > 0 {
		(<-d.inbox)()
	}
	d.background.Wait()
}

func (d *Driver) runTask(f func()) {
	if d.cfg.Took == nil {
		f()
		return
	}
	start := time.Now()
	f()
	d.cfg.Took(time.Since(start))
}

// Timeout fails every open request, as when the time of a stop is over.
func (d *Driver) FailOpenRequests() { d.post(d.failOpen) }

// failOpen ends what is open when the router stops; a failure promises nothing.
func (d *Driver) failOpen() {
	for _, c := range d.calls {
		c.answer(Answer{Outcome: Failed, Reason: "the router stops"})
		for _, a := range c.attempts {
			c.endAttempt(a.index, attempt.Result{Outcome: gannethook.Cancelled, Detail: "the router stops"})
		}
		c.release()
	}
	d.settleCalls()
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
func (d *Driver) pause(duration time.Duration) {
	select {
	case <-time.After(duration):
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
	c := &Call{d: d, job: job, sink: sink, arrivedAt: time.Now().Add(-job.QueuedFor)}
	select {
	case d.inbox <- func() { d.accept(c) }:
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
	result := make(chan []gannethook.View, 1)
	query := func() {
		var views []gannethook.View
		if v, ok := d.router.(Viewer); ok {
			views = v.View(d.now())
		}
		result <- views
	}
	select {
	case d.inbox <- query:
	case <-d.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case views := <-result:
		return views, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Swap has new settings take the place of the old ones, between two events.
// They number classes, tenants and kinds as the old ones do; maxOpen bounds the
// open requests from now on.
func (d *Driver) Swap(settings gannethook.Settings, maxOpen int) {
	d.maxOpen.Store(int64(maxOpen))
	d.post(func() {
		d.settings = &settings
		d.handleEvent(gannethook.Reconfigure{Settings: settings})
	})
}

// Reconfigure has requests that come from now on go by other settings; those
// under way keep theirs. list is the whole list of servers in the terms of the
// new settings.
func (d *Driver) Reconfigure(settings gannethook.Settings, names Names, servers gannethook.Membership, maxOpen int) {
	d.maxOpen.Store(int64(maxOpen))
	d.post(func() {
		d.settings, d.names = &settings, names
		d.handleEvent(gannethook.Reconfigure{Settings: settings})
		d.applyMembership(servers)
	})
}

// Update brings news of the list of servers.
func (d *Driver) Update(m gannethook.Membership) {
	d.post(func() { d.applyMembership(m) })
}

func (d *Driver) applyMembership(m gannethook.Membership) {
	if m.Whole {
		d.removeUnlisted(m.Servers)
		clear(d.roles)
	}
	for _, s := range m.Servers {
		if s.State == gannethook.Gone {
			d.serverRemoved(s.ID)
		}
		if s.State == gannethook.Gone || s.Kind < 0 || s.Kind >= len(d.settings.Kinds) {
			delete(d.roles, s.ID) // the module sends nothing there
		} else {
			d.roles[s.ID] = d.settings.Kinds[s.Kind].Role
		}
	}
	d.handleEvent(m)
}

// removeUnlisted has servers that a whole list lacks count as gone.
func (d *Driver) removeUnlisted(servers []gannethook.Server) {
	listed := make(map[gannethook.ServerID]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	for id := range d.roles {
		if !listed[id] {
			d.serverRemoved(id)
		}
	}
}

// serverRemoved tells the ledger that nothing is held at a server any more.
func (d *Driver) serverRemoved(id gannethook.ServerID) {
	d.ledger.ServerRemoved(string(id), time.Now())
	d.scheduleLedgerCheck()
}

func (d *Driver) accept(c *Call) {
	if d.closed {
		c.answer(Answer{Outcome: Refused, Reason: ErrStopped.Error()})
		d.settleCalls()
		return
	}
	if !d.resolveNames(&c.job) {
		c.answer(Answer{Outcome: Refused, Reason: "the settings have no such class any more"})
		d.settleCalls()
		return
	}
	c.settings = d.settings
	d.lastID++
	c.id = gannethook.RequestID(d.lastID)
	d.calls[c.id] = c
	budget := c.job.Timeout - time.Since(c.arrivedAt) // it has waited in the inbox
	d.handleEvent(gannethook.Request{ID: c.id, Class: c.job.Class, Tenant: c.job.Tenant, Session: c.job.Session,
		Prefix: c.job.Prefix, Budget: gannethook.Millis(max(budget, 0).Seconds() * 1000),
		Prompt: c.job.PromptSize, PrefixLen: c.job.PrefixTokens, MaxOut: float64(c.job.MaxTokens)})
}

// resolveNames looks up the numbers of a job's class and tenant; it is false where the
// class is not known. A tenant that is not known is none.
func (d *Driver) resolveNames(job *Job) bool {
	if d.names.Classes == nil {
		return true
	}
	job.Class, job.Tenant = slices.Index(d.names.Classes, job.ClassName), slices.Index(d.names.Tenants, job.TenantName)
	return job.Class >= 0
}

// handleEvent hands the module one event and carries out what it wants. An action may
// cause an event of its own (a cancelled attempt ends); it follows in its turn.
func (d *Driver) handleEvent(ev gannethook.Event) {
	queue := []gannethook.Event{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		for _, action := range d.router.Handle(d.now(), ev) {
			if followUp := d.execute(action); followUp != nil {
				queue = append(queue, followUp)
			}
		}
	}
	d.settleCalls()
}

// execute does one action.
func (d *Driver) execute(action gannethook.Action) gannethook.Event {
	switch a := action.(type) {
	case gannethook.Send:
		if c := d.calls[a.ID]; c != nil {
			return c.send(a)
		}
	case gannethook.Cancel:
		if c := d.calls[a.ID]; c != nil {
			c.cancelAttempt(a.Attempt, attempt.Result{Outcome: gannethook.Cancelled, Detail: "called off"})
		}
	case gannethook.Hold:
		if c := d.calls[a.ID]; c != nil {
			c.holdPlace(a.Server)
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
		d.schedule(time.Duration(float64(a.In)*1e6), timer{ref: a.Ref})
	case gannethook.Subscribe: // news of the list come by themselves
	default:
		panic(fmt.Sprintf("driver: unknown action %T", action))
	}
	return nil
}

// settleCalls forgets the requests that are answered and have no attempt out.
func (d *Driver) settleCalls() {
	for _, c := range d.unsettled {
		if !c.answered || c.removed {
			continue
		}
		if c.inFlight > 0 {
			if c.hasUncancelledAttempt() {
				c.recordRequestEnd()
			}
			continue
		}
		c.removed = true
		c.recordRequestEnd()
		delete(d.calls, c.id)
		d.open.Add(-1)
		if d.cfg.OnSummary != nil && (d.cfg.WantsSummary == nil || d.cfg.WantsSummary(c.finalAnswer.Outcome)) {
			d.cfg.OnSummary(c.summary())
		}
	}
	clear(d.unsettled)
	d.unsettled = d.unsettled[:0]
	d.scheduleReleases()
}
