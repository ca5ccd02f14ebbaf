// Package lifecycle is the state machine of a router process: when it accepts
// sessions, drains, reloads, restarts and exits. It has no I/O and no clock:
// every input carries its time and returns the effects that the caller is to
// carry out.
package lifecycle

import (
	"errors"
	"fmt"
	"time"
)

// State is the lifecycle state of a router process.
type State int

// The states.
const (
	Starting State = iota + 1 // reading settings, opening ports
	Ready                     // accepts sessions and requests
	Draining                  // accepts nothing new; open sessions and requests may finish
	Drained                   // nothing is open; waits for a stop, restart or resume
	Stopping                  // as Draining, and the process exits once nothing is open
	Ended                     // the process exits with code 0
	Failed                    // the process exits with an error code
)

func (s State) String() string {
	return [...]string{"none", "starting", "ready", "draining", "drained", "stopping", "ended", "failed"}[s]
}

// Op is the kind of a command.
type Op int

// The operations.
const (
	Drain Op = iota + 1
	Resume
	Reload
	Stop
	Restart // a successor process takes over the ports; this one then stops
)

func (o Op) String() string {
	return [...]string{"none", "drain", "resume", "reload", "stop", "restart"}[o]
}

// Command comes from an operator or a signal. It is idempotent by its ID: a
// repeated ID gets the result of the first command.
type Command struct {
	ID      string
	Op      Op
	Limit   time.Duration // drain deadline of a drain, stop or restart; 0 means Limits.Drain
	Release string        // release that the successor of a restart runs; "" means the same as this process
}

// Result is the final result of a command.
type Result struct {
	ID   string
	Done bool
	Cut  bool   // done, but the requests still open at the deadline were failed
	Note string // the reason why it was not done, or that the state was already as asked
}

// Effect is an action that the caller carries out.
type Effect interface{ isEffect() }

// The effects.
type (
	Accept           struct{}            // accept sessions
	StopAccepting    struct{}            // refuse new sessions and requests, notify the open sessions
	FailOpenRequests struct{}            // fail all open requests now
	CloseConnections struct{}            // close all connections
	Load             struct{ ID string } // read and check the settings, then call Loaded
	Spawn            struct {            // start a successor process, then call Spawned
		ID, Release string
		Drained     bool // the successor starts in Drained
	}
	Abort    struct{}                // kill the successor that is starting
	Exit     struct{ Code int }      // end the process
	Reply    struct{ Result Result } // answer the callers that wait for the command
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

// Limits are the timeouts of the states and the bound of remembered results.
type Limits struct {
	Start      time.Duration // longest time in Starting, after which the router is Failed
	Drain      time.Duration // time from a drain or stop to FailOpenRequests, unless the command has its own limit
	CloseGrace time.Duration // time from FailOpenRequests to CloseConnections
	MaxResults int           // results that are remembered for repeated commands
}

// Machine is the state machine of one router process. It is not safe for concurrent use.
type Machine struct {
	limits            Limits
	state             State
	openCount         int           // open sessions and requests
	deadline          time.Duration // of Starting; of Draining and Stopping: when FailOpenRequests, then CloseConnections is due
	requestsFailed    bool          // FailOpenRequests was emitted in this drain or stop
	connectionsClosed bool          // CloseConnections was emitted in this drain or stop
	startDrained      bool          // enter Drained instead of Ready after Starting
	restartCommand    Command       // the command of restartID
	reloadID          string        // ID of the reload in progress; "" if none
	restartID         string        // ID of the restart whose successor is starting; "" if none
	awaitingState     []string      // IDs of commands that are answered when Draining or Stopping ends
	results           map[string]Result
	pending           map[string]bool // IDs of commands without a result
	resultOrder       []string        // keys of results, oldest first
	effects           []Effect        // emitted by the present input
}

// ErrUnknown is the note of the result of a command with an invalid Op.
var ErrUnknown = errors.New("life: unknown command")

// New returns a machine in Starting.
func New(limits Limits, now time.Duration) *Machine {
	return &Machine{limits: limits, state: Starting, deadline: now + limits.Start, results: map[string]Result{}, pending: map[string]bool{}}
}

// Inherit takes over the state of a predecessor process: its command results
// and whether it was drained. It is called before Started.
func (m *Machine) Inherit(results []Result, drained bool) {
	m.startDrained = drained
	for _, r := range results {
		m.remember(r)
	}
}

// Results returns the remembered results, oldest first, for a successor.
func (m *Machine) Results() []Result {
	var list []Result
	for _, id := range m.resultOrder {
		list = append(list, m.results[id])
	}
	return list
}

// Recall returns the result of a command; pending reports that the command has none yet.
func (m *Machine) Recall(id string) (r Result, known, pending bool) {
	r, known = m.results[id]
	return r, known, m.pending[id]
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Deadline returns when Tick is due; ok is false if the current state has no deadline.
func (m *Machine) Deadline() (at time.Duration, ok bool) {
	switch m.state {
	case Starting:
		return m.deadline, true
	case Draining, Stopping:
		return m.deadline, !m.connectionsClosed
	}
	return 0, false
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) takeEffects() []Effect {
	out := m.effects
	m.effects = nil
	return out
}

func (m *Machine) enter(s State) {
	m.state = s
	m.emit(Announce{s})
}

// Started reports that the router is ready to serve, or the error that prevents it.
func (m *Machine) Started(now time.Duration, err error) []Effect {
	switch {
	case m.state != Starting:
	case err != nil:
		m.fail()
	case m.startDrained:
		// A drain persists over a restart, so that one operator's restart does not undo another's drain. The cost: if
		// the drain was forgotten, the router accepts nothing until it is resumed.
		m.enter(Drained)
		m.emit(StopAccepting{})
	default:
		m.enter(Ready)
		m.emit(Accept{})
	}
	return m.takeEffects()
}

func (m *Machine) fail() {
	m.enter(Failed)
	m.replyAwaiting(false, "the router failed")
	m.emit(Exit{1})
}

// SetOpen sets the number of open sessions and requests.
func (m *Machine) SetOpen(now time.Duration, n int) []Effect {
	m.openCount = n
	m.finishIfIdle()
	return m.takeEffects()
}

// finishIfIdle ends Draining or Stopping once nothing is open.
func (m *Machine) finishIfIdle() {
	if m.openCount > 0 {
		return
	}
	switch m.state {
	case Draining:
		m.enter(Drained)
		m.replyAwaiting(true, "")
	case Stopping:
		m.end()
	}
}

func (m *Machine) end() {
	m.enter(Ended)
	m.replyAwaiting(true, "")
	if m.reloadID != "" {
		m.reply(Result{ID: m.reloadID, Note: "the router ended"})
		m.reloadID = ""
	}
	m.emit(Exit{0})
}

// replyAwaiting answers the commands that waited for Draining or Stopping to end.
func (m *Machine) replyAwaiting(done bool, note string) {
	for _, id := range m.awaitingState {
		m.reply(Result{ID: id, Done: done, Cut: done && m.requestsFailed, Note: note})
	}
	m.awaitingState = nil
}

// Tick enforces the deadline of the current state if it has passed.
func (m *Machine) Tick(now time.Duration) []Effect {
	at, ok := m.Deadline()
	if !ok || now < at {
		return nil
	}
	switch {
	case m.state == Starting:
		m.fail()
	case !m.requestsFailed:
		m.failOpenRequests(now)
	default:
		// Bounds the wait for sessions that never close. All their requests are answered by now, but a client that
		// needs longer than CloseGrace to read its last messages loses the rest.
		m.connectionsClosed = true
		m.emit(CloseConnections{})
		m.openCount = 0
		m.finishIfIdle()
	}
	return m.takeEffects()
}

func (m *Machine) failOpenRequests(now time.Duration) {
	m.requestsFailed = true
	m.deadline = now + m.limits.CloseGrace
	m.emit(FailOpenRequests{})
}

// Loaded reports how a Load ended. On an error the old settings stay in force.
func (m *Machine) Loaded(now time.Duration, id string, err error) []Effect {
	if m.reloadID != id || id == "" {
		return nil
	}
	m.reloadID = ""
	r := Result{ID: id, Done: err == nil}
	if err != nil {
		r.Note = err.Error()
	}
	m.reply(r)
	return m.takeEffects()
}

// Spawned reports how a Spawn ended. If the successor serves, this router stops;
// on an error it continues in its state.
func (m *Machine) Spawned(now time.Duration, id string, err error) []Effect {
	if m.restartID != id || id == "" {
		return nil
	}
	m.restartID = ""
	if err != nil {
		m.reply(Result{ID: id, Note: err.Error()})
		return m.takeEffects()
	}
	m.reply(Result{ID: id, Done: true})
	m.replyAwaiting(false, "a restart came")
	switch m.state {
	case Ready, Drained:
		m.stopAccepting(now, m.restartCommand, Stopping)
	case Draining:
		m.shortenDeadline(now, m.restartCommand)
		m.enter(Stopping)
	}
	return m.takeEffects()
}

// Command executes a command. Its Reply may come with a later input.
func (m *Machine) Command(now time.Duration, c Command) []Effect {
	if r, known := m.results[c.ID]; known {
		m.emit(Reply{r})
		return m.takeEffects()
	}
	if m.pending[c.ID] {
		return nil // one Reply answers all callers of the ID
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
		m.startSuccessor(c)
	default:
		m.refuse(c, ErrUnknown.Error())
	}
	return m.takeEffects()
}

func (m *Machine) refuse(c Command, reason string) { m.reply(Result{ID: c.ID, Note: reason}) }

// reply answers a command and remembers the result for repeated IDs.
func (m *Machine) reply(r Result) {
	delete(m.pending, r.ID)
	m.remember(r)
	m.emit(Reply{r})
}

func (m *Machine) remember(r Result) {
	if r.ID == "" {
		return
	}
	m.results[r.ID] = r
	if m.resultOrder = append(m.resultOrder, r.ID); len(m.resultOrder) > max(m.limits.MaxResults, 1) {
		delete(m.results, m.resultOrder[0])
		m.resultOrder = m.resultOrder[1:]
	}
}

func (m *Machine) drainLimit(c Command) time.Duration {
	if c.Limit > 0 {
		return c.Limit
	}
	return m.limits.Drain
}

// drain starts a drain or joins the one in progress. The earlier of the two
// deadlines applies, so that each operator's limit is kept.
func (m *Machine) drain(now time.Duration, c Command) {
	switch m.state {
	case Ready:
		m.awaitingState = append(m.awaitingState, c.ID)
		m.stopAccepting(now, c, Draining)
	case Draining:
		m.awaitingState = append(m.awaitingState, c.ID)
		m.shortenDeadline(now, c)
	case Drained:
		m.reply(Result{ID: c.ID, Done: true, Note: "drained before"})
	default:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	}
}

// stopAccepting enters Draining or Stopping with the deadline of the command.
func (m *Machine) stopAccepting(now time.Duration, c Command, s State) {
	m.requestsFailed, m.connectionsClosed = false, false
	m.deadline = now + m.drainLimit(c)
	m.enter(s)
	m.emit(StopAccepting{})
	// A session may have opened since the last count and must not be cut off: wait for a count made after StopAccepting.
	m.openCount = openNotCounted
}

// openNotCounted stands in for the number of open sessions and requests until the next SetOpen.
const openNotCounted = 1

func (m *Machine) shortenDeadline(now time.Duration, c Command) {
	if at := now + m.drainLimit(c); !m.requestsFailed {
		m.deadline = min(m.deadline, at)
	}
}

func (m *Machine) resume(c Command) {
	if m.restartID != "" && m.state != Ready {
		// The successor was started drained and would not learn of the resume. It can be repeated once the restart
		// has ended.
		m.refuse(c, "a restart runs")
		return
	}
	switch m.state {
	case Draining, Drained:
		m.replyAwaiting(false, "resumed before it was drained")
		m.enter(Ready)
		m.emit(Accept{})
		m.reply(Result{ID: c.ID, Done: true})
	case Ready:
		m.reply(Result{ID: c.ID, Done: true, Note: "ready before"})
	default:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	}
}

// reload loads the settings, one reload at a time. A drain may begin or go on concurrently.
func (m *Machine) reload(c Command) {
	switch {
	case m.state != Ready && m.state != Draining && m.state != Drained:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	case m.reloadID != "":
		m.refuse(c, "another reload runs")
	case m.restartID != "":
		m.refuse(c, "a restart runs; the successor reads the settings")
	default:
		m.reloadID = c.ID
		m.emit(Load{c.ID})
	}
}

// startSuccessor starts the successor of a restart. This router goes on serving
// until the successor is ready, so a release that fails to start has no effect.
func (m *Machine) startSuccessor(c Command) {
	switch {
	case m.state != Ready && m.state != Draining && m.state != Drained:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	case m.restartID != "":
		m.refuse(c, "another restart runs")
	case m.reloadID != "":
		// The successor could start on settings that the reload then rejects. A reload ends soon, and the restart
		// can be repeated.
		m.refuse(c, "a reload runs")
	default:
		m.restartID, m.restartCommand = c.ID, c
		m.emit(Spawn{ID: c.ID, Release: c.Release, Drained: m.state != Ready})
	}
}

// abortRestart cancels a restart whose successor is still starting, because the router is to end.
func (m *Machine) abortRestart() {
	if m.restartID == "" {
		return
	}
	m.emit(Abort{})
	m.reply(Result{ID: m.restartID, Note: "a stop came"})
	m.restartID = ""
}

// stop ends the router once nothing is open; a second stop fails the open requests at once.
func (m *Machine) stop(now time.Duration, c Command) {
	m.abortRestart()
	switch m.state {
	case Ended, Failed:
		m.refuse(c, fmt.Sprintf("the router is %v", m.state))
	case Starting:
		m.awaitingState = append(m.awaitingState, c.ID)
		m.end()
	case Stopping:
		m.awaitingState = append(m.awaitingState, c.ID)
		if !m.requestsFailed {
			m.failOpenRequests(now)
		}
	case Draining:
		m.replyAwaiting(false, "a stop came")
		m.awaitingState = append(m.awaitingState, c.ID)
		m.shortenDeadline(now, c)
		m.enter(Stopping)
	case Drained, Ready:
		m.awaitingState = append(m.awaitingState, c.ID)
		m.stopAccepting(now, c, Stopping)
	}
}
