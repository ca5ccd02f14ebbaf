// Package admission stands between the fronts and the driver: it has package limits
// decide on each request, hands on what passes, and tells limits how it went.
// Nothing here decides.
package admission

import (
	"sync"
	"time"

	"gannethook"
	"gannethook/internal/driver"
	"gannethook/internal/limits"
)

// Core takes requests in; driver.Driver does.
type Core interface {
	Submit(job driver.Job, sink driver.Sink) (*driver.Call, error)
}

// Job is a request with what limits go by.
type Job struct {
	driver.Job
	Client uint64 // whose tries again are counted; 0: not known
	Retry  bool   // it is one
	Paid   bool   // a part of what Charge has charged
	Begun  bool   // other parts have run
}

// Controller hands requests to one driver. It is safe for concurrent use.
type Controller struct {
	core  Core
	done  func(driver.Summary) // told of what never came to the driver
	start time.Time

	mu      sync.Mutex
	lim     *limits.Limiter
	serial  uint64
	tickets map[uint64]*Ticket
	alarm   *time.Timer
	due     time.Duration // that the alarm is set for; 0: it is not
	over    bool          // nothing more is taken
}

// New returns a controller; Stop ends it.
func New(core Core, set limits.Settings, done func(driver.Summary)) *Controller {
	in := &Controller{core: core, done: done, start: time.Now(), lim: limits.New(set), tickets: map[uint64]*Ticket{}}
	in.alarm = time.AfterFunc(time.Hour, in.tick)
	in.alarm.Stop()
	return in
}

func (in *Controller) now() time.Duration { return time.Since(in.start) }

// Ticket is a request on its way. It is the driver's sink for it.
type Ticket struct {
	in   *Controller
	id   uint64
	job  Job
	sink driver.Sink
	came time.Time

	// Under the controller's mu:
	handed bool
	gone   bool // its client left before the driver had it
	begun  bool
	over   bool
	call   *driver.Call
}

// ask is the request as limits see it.
func (in *Controller) ask(id uint64, j *Job) limits.Request {
	tokens := j.PromptSize + float64(j.MaxTokens)
	return limits.Request{ID: id, Tenant: j.Tenant, Class: j.Class, Client: j.Client, Retry: j.Retry, Charged: j.Paid, PartsRun: j.Begun,
		Prompt: j.PromptSize, Tokens: tokens, TimeLeft: j.Timeout,
		Price: gannethook.Price(j.PromptSize) + gannethook.Price(float64(j.MaxTokens))}
}

// Submit takes a request in. Its sink gets exactly one final answer, at once or
// later, also from this very call.
func (in *Controller) Submit(job Job, sink driver.Sink) *Ticket {
	t := &Ticket{in: in, job: job, sink: sink, came: time.Now()}
	in.mu.Lock()
	if in.over {
		in.mu.Unlock()
		t.turnAway(driver.Answer{Outcome: driver.Refused, Reason: driver.ErrStopped.Error()})
		return t
	}
	in.serial++
	t.id = in.serial
	in.tickets[t.id] = t
	list := in.lim.Admit(in.now(), in.ask(t.id, &t.job))
	in.unlock(list)
	return t
}

// Charge takes the budgets of a batch, whose parts are then Paid. A refusal says why.
func (in *Controller) Charge(job Job) (ok bool, a driver.Answer) {
	in.mu.Lock()
	defer in.mu.Unlock()
	v := in.lim.Charge(in.now(), in.ask(0, &job))
	return v.Admitted, refusal(v)
}

// Refund gives back what Charge took for a batch of which nothing ran.
func (in *Controller) Refund(job Job) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lim.Refund(in.ask(0, &job))
}

// unlock ends a call of the limiter's: verdicts are carried out without the lock.
func (in *Controller) unlock(list []limits.Verdict) {
	for {
		type step struct {
			t *Ticket
			v limits.Verdict
		}
		var steps []step
		for _, v := range list {
			t := in.tickets[v.ID]
			if t == nil {
				continue
			}
			if t.handed = v.Admitted; !v.Admitted {
				t.over = true
				delete(in.tickets, v.ID)
			}
			steps = append(steps, step{t, v})
		}
		in.arm()
		in.mu.Unlock()
		var failed []*Ticket
		for _, s := range steps {
			if !s.v.Admitted {
				s.t.turnAway(refusal(s.v))
			} else if !s.t.handOn() {
				failed = append(failed, s.t)
			}
		}
		if len(failed) == 0 {
			return
		}
		in.mu.Lock()
		list = nil
		for _, t := range failed {
			delete(in.tickets, t.id)
			list = append(list, in.lim.Ended(in.now(), t.id, limits.Refused)...)
		}
	}
}

// handOn gives a request to the driver; where that is full, it is refused.
func (t *Ticket) handOn() bool {
	job := t.job.Job
	job.QueuedFor = time.Since(t.came)
	call, err := t.in.core.Submit(job, t)
	t.in.mu.Lock()
	t.call = call
	gone := t.gone
	t.in.mu.Unlock()
	if err != nil {
		t.turnAway(driver.Answer{Outcome: driver.Refused, Reason: err.Error(), RetryAfter: time.Second})
		return false
	}
	if gone && call != nil {
		call.Abandon()
	}
	return true
}

// arm sets the alarm to when the limiter has something to do.
func (in *Controller) arm() {
	at, some := in.lim.Due()
	switch {
	case !some || in.over:
		in.due = 0
		in.alarm.Stop()
	case at != in.due:
		in.due = at
		in.alarm.Reset(max(at-in.now(), 0))
	}
}

func (in *Controller) tick() {
	in.mu.Lock()
	in.due = 0
	in.unlock(in.lim.Tick(in.now()))
}

// turnAway answers what never came to the driver: nothing of it has run.
func (t *Ticket) turnAway(a driver.Answer) {
	t.sink.Final(a)
	if t.in.done != nil {
		t.in.done(driver.Summary{Session: t.job.SessionID, Class: t.job.ClassName, Outcome: a.Outcome, Reason: a.Reason,
			RetryAfter: a.RetryAfter, PromptSize: t.job.PromptSize, Total: time.Since(t.came)})
	}
}

// refusal words a verdict that turns a request away.
func refusal(v limits.Verdict) driver.Answer {
	return driver.Answer{Outcome: driver.Refused, RetryAfter: v.RetryAfter, Reason: "limits: " + v.Reason.String(), LimitReason: v.Reason}
}

// Token passes a token on; the first one takes the request out of hand.
func (t *Ticket) Token(text []byte) bool {
	in := t.in
	in.mu.Lock()
	if t.begun {
		in.mu.Unlock()
	} else {
		t.begun = true
		in.unlock(in.lim.FirstToken(in.now(), t.id))
	}
	return t.sink.Token(text)
}

var ends = map[driver.Outcome]limits.End{driver.Served: limits.Served, driver.Refused: limits.Refused,
	driver.Failed: limits.Failed, driver.Cancelled: limits.ClientGone}

// Final takes the driver's answer.
func (t *Ticket) Final(a driver.Answer) {
	t.sink.Final(a)
	in := t.in
	in.mu.Lock()
	t.over = true
	delete(in.tickets, t.id)
	in.unlock(in.lim.Ended(in.now(), t.id, ends[a.Outcome]))
}

// Abandon tells that the client took the request back or left.
func (t *Ticket) Abandon() {
	in := t.in
	in.mu.Lock()
	switch {
	case t.over:
		in.mu.Unlock()
	case t.call != nil:
		in.mu.Unlock()
		t.call.Abandon()
	case t.handed: // on its way into the driver
		t.gone = true
		in.mu.Unlock()
	default:
		t.over = true
		delete(in.tickets, t.id)
		in.unlock(in.lim.Ended(in.now(), t.id, limits.ClientGone))
		t.turnAway(driver.Answer{Outcome: driver.Cancelled})
	}
}

// Reload takes new settings while requests wait.
func (in *Controller) Reload(set limits.Settings) {
	in.mu.Lock()
	in.unlock(in.lim.Reload(in.now(), set))
}

// SetRouters tells how many routers there are.
func (in *Controller) SetRouters(routers int) {
	in.mu.Lock()
	in.lim.SetRouters(in.now(), routers)
	in.arm()
	in.mu.Unlock()
}

// Revoke turns away what waits for a client whose key was taken back.
func (in *Controller) Revoke(client uint64) {
	in.mu.Lock()
	in.unlock(in.lim.Revoke(in.now(), client))
}

// Remaining tells what a tenant may still ask for.
func (in *Controller) Remaining(tenant, class int) (requests, tokens limits.Allowance) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.lim.Remaining(in.now(), tenant, class)
}

// View shows the limiter.
func (in *Controller) View() limits.View {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.lim.View()
}

// Stop takes nothing more; what waits is refused.
func (in *Controller) Stop() {
	in.mu.Lock()
	in.over = true
	in.alarm.Stop()
	in.mu.Unlock()
	in.Refuse()
}

// Refuse refuses what waits, as when the time of a stop is over.
func (in *Controller) Refuse() {
	in.mu.Lock()
	var list []*Ticket
	for id, t := range in.tickets {
		if !t.handed {
			t.over = true
			delete(in.tickets, id)
			in.lim.Ended(in.now(), id, limits.ClientGone) // what waits frees no room
			list = append(list, t)
		}
	}
	in.mu.Unlock()
	for _, t := range list {
		t.turnAway(driver.Answer{Outcome: driver.Refused, Reason: driver.ErrStopped.Error()})
	}
}
