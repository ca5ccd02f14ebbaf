// Package lifecycle decides how a router lives: when it takes sessions, drains,
// reloads, stops and ends. It is a state machine without I/O and without a
// clock: inputs with their time in, effects out.
package lifecycle

import (
	"errors"
	"fmt"
	"time"
)

// State is where a router is in its life.
type State int

// The states.
const (
	Starting State = iota + 1 // settings are read, ports opened
	Ready                     // takes sessions and requests
	Draining                  // takes nothing new; what is open may end
	Drained                   // nothing is open; it waits for a stop or a resume
	Stopping                  // as Draining, and it ends when nothing is open
	Ended                     // the process is to end, well
	Failed                    // the process is to end, with an error
)

func (s State) String() string {
	return [...]string{"none", "starting", "ready", "draining", "drained", "stopping", "ended", "failed"}[s]
}

// Op is what a command asks for.
type Op int

// The commands.
const (
	Drain Op = iota + 1
	Resume
	Reload
	Stop
	Restart // a successor takes the ports over; this process ends as on a stop
)

func (o Op) String() string {
	return [...]string{"none", "drain", "resume", "reload", "stop", "restart"}[o]
}

// Command is an operator's, or a signal's. A repeat of its ID gets the first one's result.
type Command struct {
	ID      string
	Op      Op
	Limit   time.Duration // of a drain, stop or restart; 0: the settings'
	Release string        // of a restart: what the successor runs; "" the same
}

// Result is what became of a command.
type Result struct {
	ID   string
	Done bool
	Cut  bool   // done, but some answers were failed at the deadline
	Note string // why not, or what went before
}

// Effect is something that the router is to do.
type Effect interface{ isEffect() }

// The effects.
type (
	Accept           struct{}            // take sessions
	StopAccepting    struct{}            // take no more, tell the open sessions
	FailOpenRequests struct{}            // answer all that is open, now
	CloseConnections struct{}            // close all connections
	Load             struct{ ID string } // read and check the settings; then Loaded
	Spawn            struct {            // start a successor; then Spawned
		ID, Release string
		Drained     bool // it starts drained
	}
	Abort    struct{}                // end the successor that starts
	Exit     struct{ Code int }      // end the process
	Reply    struct{ Result Result } // to whoever gave the command
	Announce struct{ State State }   // the state has changed
)

func (Accept) isEffect()           {}
func (StopAccepting) isEffect()    {}
func (FailOpenRequests) isEffect() {}
func (CloseConnections) isEffect() {}
func (Load) isEffect()             {}
func (Spawn) isEffect()            {}
func (Abort) isEffect()            {}
func (Exit) isEffect()             {}
func (Reply) isEffect()            {}
func (Announce) isEffect()         {}

// Limits are the deadlines that end a state.
type Limits struct {
	Start      time.Duration // Starting, else Failed; and a successor's start
	Drain      time.Duration // Draining and Stopping, unless the command has its own; then FailOpenRequests
	CloseGrace time.Duration // from FailOpenRequests to CloseConnections
	MaxResults int           // results remembered
}

// Machine is one router's life. It is not safe for concurrent use.
type Machine struct {
	lim      Limits
	state    State
	open     int // sessions and requests that are open
	deadline time.Duration
	gaveUp   bool
	cut      bool
	drained  bool    // it starts drained
	restart  Command // the one that heir names
	loading  string  // command that reloads; "" none
	heir     string  // command that starts a successor; "" none
	waiting  []string
	results  map[string]Result
	pending  map[string]bool
	order    []string // of results, oldest first
	out      []Effect
}

// ErrUnknown tells of a command that is none.
var ErrUnknown = errors.New("life: unknown command")

// New returns a life that begins now.
func New(lim Limits, now time.Duration) *Machine {
	return &Machine{lim: lim, state: Starting, deadline: now + lim.Start, results: map[string]Result{}, pending: map[string]bool{}}
}

// Inherit gives a life what its predecessor hands on: the results of commands,
// and whether it was drained. It is called before Started.
func (m *Machine) Inherit(results []Result, drained bool) {
	m.drained = drained
	for _, r := range results {
		m.remember(r)
	}
}

// Results are those remembered, oldest first, to be handed on.
func (m *Machine) Results() []Result {
	var list []Result
	for _, id := range m.order {
		list = append(list, m.results[id])
	}
	return list
}

// Recall is the result of a command; pending tells that there is none yet.
func (m *Machine) Recall(id string) (r Result, known, pending bool) {
	r, known = m.results[id]
	return r, known, m.pending[id]
}

// State is the present state.
func (m *Machine) State() State { return m.state }

// Deadline is when Tick is due at the latest; ok is false where nothing is.
func (m *Machine) Deadline() (at time.Duration, ok bool) {
	switch m.state {
	case Starting:
		return m.deadline, true
	case Draining, Stopping:
		return m.deadline, !m.cut
	}
	return 0, false
}

func (m *Machine) do(e Effect) { m.out = append(m.out, e) }

func (m *Machine) take() []Effect {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) to(s State) {
	m.state = s
	m.do(Announce{s})
}

// Started tells that the router serves, or why it can't.
func (m *Machine) Started(now time.Duration, err error) []Effect {
	switch {
	case m.state != Starting:
	case err != nil:
		m.fail()
	case m.drained:
		// Guards a drain over a restart: what one operator drained, another's restart does not undo. Harms an
		// operator who forgot the drain: the router takes nothing until it is resumed.
		m.to(Drained)
		m.do(StopAccepting{})
	default:
		m.to(Ready)
		m.do(Accept{})
	}
	return m.take()
}

func (m *Machine) fail() {
	m.to(Failed)
	m.flush(false, "the router failed")
	m.do(Exit{1})
}

// Open tells how many sessions and requests are open.
func (m *Machine) Open(now time.Duration, n int) []Effect {
	m.open = n
	m.settle()
	return m.take()
}

// settle ends a drain once nothing is open.
func (m *Machine) settle() {
	if m.open > 0 {
		return
	}
	switch m.state {
	case Draining:
		m.to(Drained)
		m.flush(true, "")
	case Stopping:
		m.end()
	}
}

func (m *Machine) end() {
	m.to(Ended)
	m.flush(true, "")
	if m.loading != "" {
		m.reply(Result{ID: m.loading, Note: "the router ended"})
		m.loading = ""
	}
	m.do(Exit{0})
}

// flush answers the commands that waited for the state to end.
func (m *Machine) flush(done bool, note string) {
	for _, id := range m.waiting {
		m.reply(Result{ID: id, Done: done, Cut: done && m.gaveUp, Note: note})
	}
	m.waiting = nil
}

// Tick tells that time has passed.
func (m *Machine) Tick(now time.Duration) []Effect {
	at, ok := m.Deadline()
	if !ok || now < at {
		return nil
	}
	switch {
	case m.state == Starting:
		m.fail()
	case !m.gaveUp:
		m.giveUp(now)
	default:
		// Guards against sessions that never close: their answers are given, so nothing is lost. Harms a client
		// that reads its last words more slowly than CloseGrace.
		m.cut = true
		m.do(CloseConnections{})
		m.open = 0
		m.settle()
	}
	return m.take()
}

func (m *Machine) giveUp(now time.Duration) {
	m.gaveUp = true
	m.deadline = now + m.lim.CloseGrace
	m.do(FailOpenRequests{})
}

// Loaded tells how reading the settings ended. The old ones stay on any error.
func (m *Machine) Loaded(now time.Duration, id string, err error) []Effect {
	if m.loading != id || id == "" {
		return nil
	}
	m.loading = ""
	r := Result{ID: id, Done: err == nil}
	if err != nil {
		r.Note = err.Error()
	}
	m.reply(r)
	return m.take()
}

// Spawned tells how starting a successor ended. With one in place this router
// stops; without one it goes on as it was.
func (m *Machine) Spawned(now time.Duration, id string, err error) []Effect {
	if m.heir != id || id == "" {
		return nil
	}
	m.heir = ""
	if err != nil {
		m.reply(Result{ID: id, Note: err.Error()})
		return m.take()
	}
	m.reply(Result{ID: id, Done: true})
	m.flush(false, "a restart came")
	switch m.state {
	case Ready, Drained:
		m.turn(now, m.restart, Stopping)
	case Draining:
		m.sooner(now, m.restart)
		m.to(Stopping)
	}
	return m.take()
}

// Command takes a command.
func (m *Machine) Command(now time.Duration, c Command) []Effect {
	if r, known := m.results[c.ID]; known {
		m.do(Reply{r})
		return m.take()
	}
	if m.pending[c.ID] {
		return nil // its reply comes once
	}
	m.pending[c.ID] = true
	switch c.Op {
	case Drain:
		m.drain(now, c)
	case Resume:
		m.resume(c)
	case Reload:
		m.reload(c)
	case Stop:
		m.stop(now, c)
	case Restart:
		m.replace(c)
	default:
		m.refuse(c, ErrUnknown.Error())
	}
	return m.take()
}

func (m *Machine) refuse(c Command, why string) { m.reply(Result{ID: c.ID, Note: why}) }

// reply answers a command and remembers the result for repeats of it.
func (m *Machine) reply(r Result) {
	delete(m.pending, r.ID)
	m.remember(r)
	m.do(Reply{r})
}

func (m *Machine) remember(r Result) {
	if r.ID == "" {
		return
	}
	m.results[r.ID] = r
	if m.order = append(m.order, r.ID); len(m.order) > max(m.lim.MaxResults, 1) {
		delete(m.results, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *Machine) limit(c Command) time.Duration {
	if c.Limit > 0 {
		return c.Limit
	}
	return m.lim.Drain
}

// drain begins a drain or joins the one that runs: the earlier deadline holds,
// so that two operators never get less than either asked for.
func (m *Machine) drain(now time.Duration, c Command) {
	switch m.state {
	case Ready:
		m.waiting = append(m.waiting, c.ID)
		m.turn(now, c, Draining)
	case Draining:
		m.waiting = append(m.waiting, c.ID)
		m.sooner(now, c)
	case Drained:
		m.reply(Result{ID: c.ID, Done: true, Note: "drained before"})
	default:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	}
}

// turn stops taking anything new.
func (m *Machine) turn(now time.Duration, c Command, s State) {
	m.gaveUp, m.cut = false, false
	m.deadline = now + m.limit(c)
	m.to(s)
	m.do(StopAccepting{})
	// What is open is counted after StopAccepting: a session may have come since the last count, and must not be cut.
	m.open = unknown
}

// unknown is how much is open until it is counted.
const unknown = 1

func (m *Machine) sooner(now time.Duration, c Command) {
	if at := now + m.limit(c); !m.gaveUp {
		m.deadline = min(m.deadline, at)
	}
}

func (m *Machine) resume(c Command) {
	if m.heir != "" && m.state != Ready {
		// Guards an operator's resume: the successor was started drained and would not know of it. Harms nothing:
		// it may be given again once the restart has ended.
		m.refuse(c, "a restart runs")
		return
	}
	switch m.state {
	case Draining, Drained:
		m.flush(false, "resumed before it was drained")
		m.to(Ready)
		m.do(Accept{})
		m.reply(Result{ID: c.ID, Done: true})
	case Ready:
		m.reply(Result{ID: c.ID, Done: true, Note: "ready before"})
	default:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	}
}

// reload has the settings read, one reload at a time. A drain may begin meanwhile and goes on.
func (m *Machine) reload(c Command) {
	switch {
	case m.state != Ready && m.state != Draining && m.state != Drained:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	case m.loading != "":
		m.refuse(c, "another reload runs")
	case m.heir != "":
		m.refuse(c, "a restart runs; the successor reads the settings")
	default:
		m.loading = c.ID
		m.do(Load{c.ID})
	}
}

// replace has a successor started. This router goes on until that one is ready,
// so a release that does not come up costs nothing.
func (m *Machine) replace(c Command) {
	switch {
	case m.state != Ready && m.state != Draining && m.state != Drained:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	case m.heir != "":
		m.refuse(c, "another restart runs")
	case m.loading != "":
		// Guards against a successor that starts on settings which the reload then refuses. Harms nothing:
		// a reload ends soon, and the restart may be asked for again.
		m.refuse(c, "a reload runs")
	default:
		m.heir, m.restart = c.ID, c
		m.do(Spawn{ID: c.ID, Release: c.Release, Drained: m.state != Ready})
	}
}

// abort gives up the successor that starts: the router is to end, not to live on in it.
func (m *Machine) abort() {
	if m.heir == "" {
		return
	}
	m.do(Abort{})
	m.reply(Result{ID: m.heir, Note: "a stop came"})
	m.heir = ""
}

// stop ends the router when nothing is open; a second one cuts it short.
func (m *Machine) stop(now time.Duration, c Command) {
	m.abort()
	switch m.state {
	case Ended, Failed:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	case Starting:
		m.waiting = append(m.waiting, c.ID)
		m.end()
	case Stopping:
		m.waiting = append(m.waiting, c.ID)
		if !m.gaveUp {
			m.giveUp(now)
		}
	case Draining:
		m.flush(false, "a stop came")
		m.waiting = append(m.waiting, c.ID)
		m.sooner(now, c)
		m.to(Stopping)
	case Drained, Ready:
		m.waiting = append(m.waiting, c.ID)
		m.turn(now, c, Stopping)
	}
}
