// Package driver connects the decision module with its environment. One goroutine owns a gannethook.Router, its clock, its
// timers and the request ids: other goroutines post events to its inbox, it passes them to the module and executes the
// module's actions in order. The driver makes no decisions; docs/architecture.md describes its limits.
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

// Config configures a driver.
type Config struct {
	Settings         gannethook.Settings
	Decider          Decider // nil: gannethook.Router
	Names            Names   // of the settings' classes and tenants; if set, jobs carry the names and their numbers are looked up
	Name             string  // of this router, in the engines' logs
	Seed             uint64
	InboxSize        int // capacity of the inbox, in events
	MaxOpen          int // limit on open requests
	Engines          Engines
	Trace            bool                           // summaries are logged, with the connections of their attempts
	Guard            *guard.Monitor                 // counts the denied steps; nil: not counted
	WantsSummary     func(Outcome) bool             // selects the outcomes for which OnSummary is called; nil: all
	OnSummary        func(Summary)                  // called on the driver's goroutine when a request has ended
	OnEventTime      func(time.Duration)            // called with the time that each event took to process; nil: not measured
	OnPendingRelease func(heldstate.Report)         // called for a release that has been pending for half of the pin limit
	OnAbandoned      func(heldstate.AbandonedEntry) // called for held state that is abandoned without a confirmed release
	OnRepeat         func(Repeat)                   // called for each further attempt or refusal described by Repeat
	OnUnanswered     func(holdmonitor.Report)       // called for each report of the hold monitor
}

// Driver runs one router.
type Driver struct {
	cfg         Config
	router      Decider
	inbox       chan func()
	stopped     chan struct{}
	start       time.Time // origin of the module's clock
	startWallMS float64   // wall time at start, in milliseconds since the Unix epoch
	incarnation string    // name and start time of this router, a prefix of its keys
	open        atomic.Int64
	maxOpen     atomic.Int64
	background  sync.WaitGroup // attempts, requests for places and releases in progress

	// Used by the driver's goroutine only:
	ctx              context.Context
	settings         *gannethook.Settings // of requests accepted from now on
	names            Names
	lastID           uint64
	unsettled        []*Call // calls that were answered or had an attempt end, for settleCalls
	calls            map[gannethook.RequestID]*Call
	roles            map[gannethook.ServerID]gannethook.Role
	ledger           *heldstate.Ledger
	livenessKey      string // key that no request has, see newLivenessKey
	holdMonitor      *holdmonitor.Monitor
	regressions      regressions
	anyRequestEnded  bool                     // some request has ended
	releaseRequests  []string                 // keys whose release was requested since the last event
	releasesInFlight map[string]chan struct{} // by key: closed when the latest release has ended
	lastLedgerCheck  time.Time                // when startDueReleases last checked the ledger
	nextLedgerCheck  time.Time                // when its next check is due
	nextLivenessPoll time.Time                // when pollLiveness is due
	timers           timers
	timerSeq         uint64 // of the last timer
	closed           bool   // no more requests are accepted

	releaseDeadline atomic.Pointer[time.Time] // see SetReleaseDeadline; nil: defaultReleaseTimeout after the context has ended
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
	d := &Driver{cfg: cfg, router: router, inbox: make(chan func(), max(cfg.InboxSize, 1)), stopped: make(chan struct{}),
		start: now, startWallMS: float64(wall.UnixMicro()) / 1000,
		incarnation: cfg.Name + "-" + strconv.FormatInt(wall.UnixNano(), 36), settings: &cfg.Settings, names: cfg.Names,
		calls: map[gannethook.RequestID]*Call{}, roles: map[gannethook.ServerID]gannethook.Role{},
		ledger: heldstate.New(), livenessKey: newLivenessKey(), holdMonitor: holdmonitor.New(), regressions: regressions{},
		releasesInFlight: map[string]chan struct{}{}}
	d.maxOpen.Store(int64(cfg.MaxOpen))
	return d, nil
}

// Now returns the current time of the module's clock.
func (d *Driver) Now() gannethook.Millis { return d.now() }

// now returns the module's clock: wall time at start, so that it is comparable with the servers' start times, and monotonic
// from then on.
func (d *Driver) now() gannethook.Millis {
	return gannethook.Millis(d.startWallMS + float64(time.Since(d.start).Microseconds())/1000)
}

// Run processes events until the context ends. Then it fails every open request, and waits for the attempts to end and for
// held state to be released.
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

// finishStop processes what still arrives while the driver stops: requests that were not accepted are refused, and granted
// places are released.
func (d *Driver) finishStop() {
	d.closed = true
	close(d.stopped)
	d.background.Wait()
	for len(d.inbox) > 0 {
		(<-d.inbox)()
	}
	d.background.Wait()
}

// runTask runs a posted function and measures how long it takes.
func (d *Driver) runTask(f func()) {
	if d.cfg.OnEventTime == nil {
		f()
		return
	}
	start := time.Now()
	f()
	d.cfg.OnEventTime(time.Since(start))
}

// FailOpenRequests fails every open request, such as when the shutdown time is over.
func (d *Driver) FailOpenRequests() { d.post(d.failOpen) }

// failOpen fails every open request when the router stops. A failure does not promise that nothing has run.
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

// post runs f on the driver's goroutine. It blocks while the inbox is full, and returns false once the driver has stopped.
func (d *Driver) post(f func()) bool {
	select {
	case d.inbox <- f:
		return true
	case <-d.stopped:
		return false
	}
}

// pause waits for the given time, at most until the driver's context ends.
func (d *Driver) pause(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-d.ctx.Done():
	}
}

// Open returns the number of open requests.
func (d *Driver) Open() int { return int(d.open.Load()) }

// Submit adds a request. ErrBusy means that the inbox or the table of requests is full: nothing has run, so the client may
// be refused.
func (d *Driver) Submit(job Job, sink Sink) (*Call, error) {
	if d.open.Add(1) > d.maxOpen.Load() {
		d.open.Add(-1)
		return nil, ErrBusy
	}
	c := &Call{d: d, job: job, sink: sink, arrivedAt: job.ArrivedAt}
	if c.arrivedAt.IsZero() {
		c.arrivedAt = time.Now()
	}
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

// Viewer is a Decider that exposes its view of the servers; gannethook.Router does.
type Viewer interface {
	View(now gannethook.Millis) []gannethook.View
}

// View returns the servers as the decision module sees them. The query waits in the inbox. A decider that is not a Viewer
// returns none.
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

// ReplaceSettings replaces the settings between two events. The new settings must number classes, tenants and kinds as the old ones do.
// maxOpen is the new limit on open requests.
func (d *Driver) ReplaceSettings(settings gannethook.Settings, maxOpen int) {
	d.maxOpen.Store(int64(maxOpen))
	d.post(func() {
		d.settings = &settings
		d.handleEvent(gannethook.Reconfigure{Settings: settings})
	})
}

// Reconfigure applies other settings to requests that are accepted from now on; open requests keep theirs. servers is the
// full list of servers, with kinds numbered by the new settings.
func (d *Driver) Reconfigure(settings gannethook.Settings, names Names, servers gannethook.Membership, maxOpen int) {
	d.maxOpen.Store(int64(maxOpen))
	d.post(func() {
		d.settings, d.names = &settings, names
		d.handleEvent(gannethook.Reconfigure{Settings: settings})
		d.applyMembership(servers)
	})
}

// Update applies a change of the list of servers.
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
			delete(d.roles, s.ID) // the module sends nothing to this server
		} else {
			d.roles[s.ID] = d.settings.Kinds[s.Kind].Role
		}
	}
	d.handleEvent(m)
}

// removeUnlisted treats known servers that are missing from a full list as removed.
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

// serverRemoved notifies the ledger that a removed server holds nothing any more.
func (d *Driver) serverRemoved(id gannethook.ServerID) {
	d.ledger.ServerRemoved(string(id), time.Now())
	d.scheduleLedgerCheck()
}

// accept adds a submitted request to the table and passes it to the decision module.
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
	budget := c.job.Timeout - time.Since(c.arrivedAt) // minus the time spent in the inbox
	d.handleEvent(gannethook.Request{ID: c.id, Class: c.job.Class, Tenant: c.job.Tenant, Session: c.job.Session,
		Prefix: c.job.Prefix, Budget: gannethook.Millis(max(budget, 0).Seconds() * 1000),
		Prompt: c.job.PromptSize, PrefixLen: c.job.PrefixTokens, MaxOut: float64(c.job.MaxTokens)})
}

// resolveNames looks up the numbers of a job's class and tenant; it returns false if the class is unknown. An unknown tenant
// counts as none.
func (d *Driver) resolveNames(job *Job) bool {
	if d.names.Classes == nil {
		return true
	}
	job.Class, job.Tenant = slices.Index(d.names.Classes, job.ClassName), slices.Index(d.names.Tenants, job.TenantName)
	return job.Class >= 0
}

// handleEvent passes an event to the decision module and executes the resulting actions. An action may cause an event of its
// own, such as the end of a cancelled attempt, which is then handled in order.
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

// execute carries out one action and returns the event that it causes, if any.
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
	case gannethook.Subscribe: // changes of the list of servers are always delivered
	default:
		panic(fmt.Sprintf("driver: unknown action %T", action))
	}
	return nil
}

// settleCalls removes the calls that are answered and have no attempt in flight.
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
