package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Stage is where one router is in a rollout.
type Stage int

// The stages.
const (
	Waiting  Stage = iota + 1
	Going          // a command is out
	Checking       // the command is done; the new life is to be seen
	Settling       // seen; it counts as down for a while
	Done
	Unknown // the command ended without a result: until it is seen again
	Refused // the router goes on as it was
)

// Phase is where the rollout is.
type Phase int

// The phases.
const (
	Forward Phase = iota + 1
	Paused        // service fell; nothing is started
	Back          // to the releases before
	Over
)

func (p Phase) String() string { return [...]string{"", "forward", "paused", "back", "over"}[p] }

// Ending tells how a rollout ended.
type Ending int

// The endings.
const (
	AllDone    Ending = iota + 1 // every router runs what it is to run
	RolledBack                   // every router runs what it ran before
	Stuck                        // patience ran out; some routers are not where they should be
)

func (e Ending) String() string { return [...]string{"", "all done", "rolled back", "stuck"}[e] }

// Sight is a router's status as it was just read.
type Sight struct {
	Router, Boot, Release string
	Ready                 bool // takes sessions
	Ending                bool // its predecessor still ends
	Served, Total         uint64
}

// Outcome is how a command ended, as far as it is known.
type Outcome int

// The outcomes.
const (
	Commanded  Outcome = iota + 1 // the router says that it is done
	Rejected                      // the router says that it is not, and goes on
	NoAnswer                      // it may be done or not
	NotReached                    // the command did not arrive
)

// Effect is something to be done.
type Effect interface{ isEffect() }

// The effects.
type (
	// Restart is to be written to the journal before it is sent.
	Restart struct{ Router, Release, ID string }
	// Note is for the operator; those of kind done, refused and back are for the journal too.
	Note struct{ Kind, Router, Text string }
	// End is the last effect.
	End struct{ How Ending }
)

func (Restart) isEffect() {}
func (Note) isEffect()    {}
func (End) isEffect()     {}

type member struct {
	Router
	stage   Stage
	before  string // release before the rollout
	was     string // boot when the command was given
	boot    string
	release string
	ready   bool
	known   bool // was ever seen
	seen    time.Duration
	until   time.Duration // of settling
	id      string        // of the command out
	goal    string        // release that it asks for
	try     int
	served  map[string][2]uint64
	points  []point // counted since the last sights
	moved   bool    // a command towards the target was done
}

// point is what a router served between two sights.
type point struct {
	at            time.Duration
	served, total uint64
	fresh         bool // on the target release, after its restart
}

// Planner runs one rollout. It is not safe for concurrent use.
type Planner struct {
	id       string
	target   string
	lim      Limits
	list     []*member // by priority
	byName   map[string]*member
	phase    Phase
	why      string        // of the pause
	proven   int           // canaries that are done
	watch    time.Duration // canaries are watched until then
	progress time.Duration // when something last went on
	failures int
	back     bool // a pause is one on the way back
	out      []Effect
}

// New returns a rollout of todo to a release, "" being the same again. order is
// a plan's; all are all routers of the fleet, whose capacity counts.
func New(id, target string, all, todo []Router, order []string, lim Limits, now time.Duration) *Planner {
	p := &Planner{id: id, target: target, lim: lim, byName: map[string]*member{}, phase: Forward, progress: now}
	for _, r := range all {
		m := &member{Router: r, stage: Done, served: map[string][2]uint64{}, seen: -1}
		p.byName[r.Name] = m
	}
	for _, r := range todo {
		p.byName[r.Name].stage = Waiting
	}
	for _, name := range order {
		if m := p.byName[name]; m != nil && m.stage == Waiting {
			p.list = append(p.list, m)
		}
	}
	for _, r := range todo { // what the order left out
		if m := p.byName[r.Name]; !slices.Contains(p.list, m) {
			p.list = append(p.list, m)
		}
	}
	return p
}

// Phase is the present phase, and why it is a pause.
func (p *Planner) Phase() (Phase, string) { return p.phase, p.why }

func (p *Planner) do(e Effect) { p.out = append(p.out, e) }

func (p *Planner) note(kind, router, format string, args ...any) {
	p.do(Note{kind, router, fmt.Sprintf(format, args...)})
}

func (p *Planner) take() []Effect {
	out := p.out
	p.out = nil
	return out
}

// Seen takes a router's status.
func (p *Planner) Seen(now time.Duration, s Sight) []Effect {
	m := p.byName[s.Router]
	if m == nil || p.phase == Over {
		return nil
	}
	p.count(now, m, s)
	if !m.known {
		m.known = true
		if m.before == "" {
			m.before = s.Release
		}
	}
	m.seen, m.boot, m.release, m.ready = now, s.Boot, s.Release, s.Ready
	switch m.stage {
	case Checking:
		p.check(now, m, s)
	case Unknown:
		p.found(now, m, s)
	case Settling:
		switch {
		case m.goal != "" && s.Release != m.goal: // it died, and was started as it was before
			m.stage = Waiting
			p.note("seen", m.Name, "fell back to release %q", s.Release)
		case now >= m.until && !s.Ending:
			p.settled(now, m)
		}
	}
	p.act(now)
	return p.take()
}

// wants is the release that a router is to run.
func (p *Planner) wants(m *member) string {
	if p.backward() {
		return m.before
	}
	return p.target
}

func (p *Planner) backward() bool { return p.phase == Back || p.phase == Paused && p.back }

// arrived tells whether a router's new life is what the command was for.
func (m *member) arrived(s Sight) bool {
	return s.Boot != m.was && (m.goal == "" || s.Release == m.goal)
}

// arrive takes a router in that runs what it was told to. What is wanted may
// have changed since.
func (p *Planner) arrive(now time.Duration, m *member) {
	m.id, m.moved, p.progress = "", m.goal == p.target, now
	if m.goal != p.wants(m) {
		m.stage = Waiting
		return
	}
	m.stage, m.until = Settling, now+p.lim.Settle
}

func (p *Planner) check(now time.Duration, m *member, s Sight) {
	switch {
	case m.arrived(s):
		p.arrive(now, m)
	case s.Boot != m.was:
		// It died after the hand-over and something else started it, with what it found.
		p.fail(now, m, fmt.Sprintf("runs release %q", s.Release))
	}
}

// found takes up a router whose command had no known end.
func (p *Planner) found(now time.Duration, m *member, s Sight) {
	p.progress = now
	if m.arrived(s) {
		p.note("seen", m.Name, "seen again, restarted")
		p.arrive(now, m)
		return
	}
	if s.Boot == m.was {
		// The same life: the command is given again under its id. If it ran, the router gives the first
		// result; if it still runs, this waits for it. Harms nothing.
		p.note("seen", m.Name, "seen again, not restarted; the command is repeated")
		m.stage = Going
		p.do(Restart{m.Name, m.goal, m.id})
		return
	}
	p.note("seen", m.Name, "seen again in another life, on release %q", s.Release)
	m.stage, m.id = Waiting, ""
}

func (p *Planner) settled(now time.Duration, m *member) {
	m.stage = Done
	p.progress = now
	p.note("done", m.Name, "done")
	if p.canaries() {
		p.proven++
		p.watch = now + p.lim.Watch
	}
}

// canaries tells whether the first ones are still to prove the way.
func (p *Planner) canaries() bool { return !p.backward() && p.proven < p.lim.Canaries }

// Result takes how a command ended.
func (p *Planner) Result(now time.Duration, router, id string, o Outcome, text string) []Effect {
	m := p.byName[router]
	if m == nil || m.id != id || m.stage != Going || p.phase == Over {
		return nil
	}
	switch o {
	case Commanded:
		m.stage = Checking
		p.progress = now
	case Rejected:
		p.fail(now, m, text)
	case NoAnswer:
		m.stage = Unknown
		p.note("unknown", m.Name, "unknown until seen again: %s", text)
	case NotReached:
		m.stage, m.id = Waiting, ""
		m.seen = -1 // until it is seen again
		p.note("unreached", m.Name, "not reached: %s", text)
	}
	p.act(now)
	return p.take()
}

// fail counts a restart that did not come up; enough of them mean a bad release.
func (p *Planner) fail(now time.Duration, m *member, why string) {
	p.note("refused", m.Name, "not restarted: %s", why)
	m.stage, m.id = Refused, ""
	p.progress = now
	p.failures++
	// Guards the fleet against a release that does not come up: each try costs a router's attention, and
	// perhaps its life. Harms a rollout with as many unlucky routers: it can be run again.
	if p.phase != Back && p.target != "" && p.failures >= max(p.lim.Failures, 1) {
		p.goBack(now, fmt.Sprintf("%d restarts did not come up", p.failures))
	}
}

// goBack turns the rollout round: what was moved gets its release before.
func (p *Planner) goBack(now time.Duration, why string) {
	if p.backward() {
		return
	}
	p.note("back", "", "going back: %s", why)
	p.phase, p.why, p.progress, p.back, p.watch = Back, "", now, true, 0
	for _, m := range p.list {
		switch m.stage {
		case Waiting, Refused:
			if !m.moved || m.known && m.release == m.before {
				m.stage = Done
			} else {
				m.stage = Waiting
			}
		case Done, Settling, Checking:
			if m.moved {
				m.stage, m.id = Waiting, ""
			}
		}
		// Going and Unknown: their end is awaited; what arrived on the target is then turned round too.
	}
}

// count adds what a router served since the last sight.
func (p *Planner) count(now time.Duration, m *member, s Sight) {
	last, known := m.served[s.Boot]
	m.served[s.Boot] = [2]uint64{s.Served, s.Total}
	for boot := range m.served { // of two lives, the one before counts on while it ends
		if len(m.served) > 2 && boot != s.Boot {
			delete(m.served, boot)
		}
	}
	if !known && s.Boot != m.was && m.known {
		last, known = [2]uint64{}, true // a new life counts from nothing
	}
	if !known || s.Total < last[1] || s.Served < last[0] {
		return
	}
	m.points = append(m.points, point{now, s.Served - last[0], s.Total - last[1], m.moved && s.Boot != m.was})
	for len(m.points) > 0 && m.points[0].at < now-p.lim.Window {
		m.points = m.points[1:]
	}
}

// share is what was served of what was asked for.
type share struct{ served, total uint64 }

func (s share) of() float64 { return float64(s.served) / float64(max(s.total, 1)) }

// service counts the window's requests: those of routers that are on the target
// already, and the others'.
func (p *Planner) service(now time.Duration) (fresh, old share) {
	for _, m := range p.byName {
		for _, x := range m.points {
			switch {
			case x.at < now-p.lim.Window:
			case x.fresh:
				fresh.served, fresh.total = fresh.served+x.served, fresh.total+x.total
			default:
				old.served, old.total = old.served+x.served, old.total+x.total
			}
		}
	}
	return fresh, old
}

// Tick lets time pass.
func (p *Planner) Tick(now time.Duration) []Effect {
	if p.phase == Over {
		return nil
	}
	p.act(now)
	return p.take()
}

// act judges the service, then starts what may be started.
func (p *Planner) act(now time.Duration) {
	if p.phase == Over {
		return
	}
	p.judge(now)
	if p.finished(now) {
		return
	}
	if p.phase != Paused {
		p.start(now)
	}
}

// judge pauses when service falls, and goes back where the release is to blame.
func (p *Planner) judge(now time.Duration) {
	if p.lim.Service <= 0 {
		return
	}
	fresh, old := p.service(now)
	all := share{fresh.served + old.served, fresh.total + old.total}
	tells := func(x share) bool { return x.total > 0 && x.total >= uint64(p.lim.Enough) }
	low := func(x share) bool { return tells(x) && x.of() < p.lim.Service }
	switch {
	case p.target != "" && !p.backward() && low(fresh) && tells(old) && !low(old):
		// Guards the fleet against a release that serves worse: the old ones do well at the same time. Harms a
		// rollout whose first routers get the worse clients.
		p.goBack(now, fmt.Sprintf("restarted routers serve %.1f%%, the others %.1f%%", 100*fresh.of(), 100*old.of()))
	case p.phase != Paused && low(all):
		p.pause(fmt.Sprintf("service fell to %.1f%%", 100*all.of()))
	case p.phase == Paused && !low(all):
		p.phase, p.why = Forward, ""
		if p.back {
			p.phase = Back
		}
		p.progress = now
		p.note("on", "", "going on: service is back")
	}
}

func (p *Planner) pause(why string) {
	p.phase, p.why = Paused, why
	p.note("paused", "", "paused: %s", why)
}

// finished ends the rollout when nothing is left to do, or patience is over.
func (p *Planner) finished(now time.Duration) bool {
	left := false
	for _, m := range p.list {
		if m.stage != Done && m.stage != Refused {
			left = true
		}
	}
	how := Ending(0)
	switch {
	case left && now-p.progress >= p.lim.Patience && p.lim.Patience > 0:
		how = Stuck
	case left || now < p.watch:
		return false
	case slices.ContainsFunc(p.list, func(m *member) bool { return m.stage == Refused }):
		how = Stuck
	case p.backward():
		how = RolledBack
	default:
		how = AllDone
	}
	p.phase = Over
	p.do(End{how})
	return true
}

// down tells whether a router counts as down.
func (p *Planner) down(now time.Duration, m *member) bool {
	switch m.stage {
	case Going, Checking, Settling, Unknown:
		return true
	}
	return m.seen < 0 || !m.ready || now-m.seen > p.lim.Silence
}

// start starts, in the order of the plan, what fits.
func (p *Planner) start(now time.Duration) {
	if now < p.watch || p.canaryOut() {
		return
	}
	all := make([]Router, 0, len(p.byName))
	for _, m := range p.byName {
		all = append(all, m.Router)
	}
	r := newRoom(all, p.lim)
	for _, m := range p.byName {
		if p.down(now, m) {
			r.add(&m.Router, 1)
		}
	}
	for _, m := range p.list {
		if m.stage != Waiting || m.seen < 0 || now-m.seen > p.lim.Silence {
			continue // one that is not seen can't be told anything
		}
		counted := p.down(now, m) // drained: it takes no capacity away
		if !counted && !r.fits(&m.Router) {
			continue
		}
		if !counted {
			r.add(&m.Router, 1)
		}
		p.begin(now, m)
		if p.canaryOut() {
			return
		}
	}
}

// canaryOut tells whether a canary is under way: nothing else starts then.
func (p *Planner) canaryOut() bool {
	return p.canaries() && slices.ContainsFunc(p.list, func(m *member) bool {
		return m.stage == Going || m.stage == Checking || m.stage == Settling || m.stage == Unknown
	})
}

func (p *Planner) begin(now time.Duration, m *member) {
	m.try++
	m.stage, m.was, m.goal, m.id = Going, m.boot, p.wants(m), fmt.Sprintf("%s/%s/%d", p.id, m.Name, m.try)
	p.progress = now
	p.do(Restart{m.Name, m.goal, m.id})
}

// Entry is a line of the journal: enough to go on after the tool has died.
type Entry struct {
	Kind    string // restart, done, refused or back
	Router  string `json:",omitempty"`
	ID      string `json:",omitempty"`
	Was     string `json:",omitempty"` // boot when a restart was decided
	Before  string `json:",omitempty"` // release before the rollout
	Release string `json:",omitempty"`
	Text    string `json:",omitempty"`
}

// Entry is what the journal needs of a restart, before it is sent.
func (p *Planner) Entry(e Restart) Entry {
	m := p.byName[e.Router]
	return Entry{Kind: "restart", Router: e.Router, ID: e.ID, Was: m.was, Before: m.before, Release: e.Release}
}

// Restore goes through a journal's entries. A restart without an end is
// unknown until its router is seen.
func (p *Planner) Restore(now time.Duration, entries []Entry) {
	for _, e := range entries {
		if e.Kind == "back" {
			p.goBack(now, "as before the tool ended")
			p.out = nil
			continue
		}
		m := p.byName[e.Router]
		if m == nil {
			continue
		}
		switch e.Kind {
		case "restart":
			if e.ID != m.id {
				m.try++
			}
			m.stage, m.id, m.was, m.goal, m.before, m.known = Unknown, e.ID, e.Was, e.Release, e.Before, true
		case "done":
			if p.canaries() {
				p.proven++
			}
			m.stage, m.id, m.moved = Done, "", m.goal == p.target
		case "refused":
			m.stage, m.id = Refused, ""
			p.failures++
		}
	}
	p.progress = now
}
