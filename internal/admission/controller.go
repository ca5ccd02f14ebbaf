// Package admission connects the fronts, package limits and the driver: it passes each request to the limiter, submits
// admitted requests to the driver and reports their progress to the limiter. All decisions are made by package limits.
package admission

import (
	"sync"
	"time"

	"gannethook"
	"gannethook/internal/driver"
	"gannethook/internal/limits"
)

// Submitter accepts admitted requests; driver.Driver implements it.
type Submitter interface {
	Submit(job driver.Job, sink driver.Sink) (*driver.Call, error)
}

// Job is a request with the attributes that the limiter needs.
type Job struct {
	driver.Job
	Client   uint64 // whose retries are counted; 0: unknown
	Retry    bool   // the client marks the request as a retry
	Charged  bool   // a part of a batch that Charge has charged already
	PartsRun bool   // other parts of the batch have run
}

// Controller submits requests to one driver as the limiter admits them. It is safe for concurrent use.
type Controller struct {
	submitter Submitter
	refused   func(driver.Summary) // called for each request that ended without reaching the driver
	start     time.Time

	mu      sync.Mutex
	limiter *limits.Limiter
	lastID  uint64
	tickets map[uint64]*Ticket // queued and dispatched requests by id
	timer   *time.Timer
	timerAt time.Duration // when timer fires; 0: not set
	stopped bool          // new requests are refused
}

// New returns a controller. It calls refused, if not nil, with the summary of each request that ended without reaching
// the driver. Stop ends the controller.
func New(submitter Submitter, settings limits.Settings, refused func(driver.Summary)) *Controller {
	c := &Controller{submitter: submitter, refused: refused, start: time.Now(),
		limiter: limits.New(settings), tickets: map[uint64]*Ticket{}}
	c.timer = time.AfterFunc(time.Hour, c.tick)
	c.timer.Stop()
	return c
}

func (c *Controller) now() time.Duration { return time.Since(c.start) }

// Ticket is a submitted request. It is the sink that the driver gets for the request, in front of the caller's sink.
type Ticket struct {
	controller *Controller
	id         uint64
	job        Job
	sink       driver.Sink
	arrived    time.Time

	// Guarded by the controller's mu:
	dispatched bool         // admitted by the limiter
	clientGone bool         // the client disconnected while the request was being submitted to the driver
	firstToken bool         // the first token has come
	finished   bool         // the final answer has been given
	call       *driver.Call // once the driver has accepted the request
}

// limitsRequest describes a request to the limiter.
func (c *Controller) limitsRequest(id uint64, job *Job) limits.Request {
	tokens := job.PromptSize + float64(job.MaxTokens)
	return limits.Request{ID: id, Tenant: job.Tenant, Class: job.Class, Client: job.Client, Retry: job.Retry,
		Charged: job.Charged, PartsRun: job.PartsRun,
		Prompt: job.PromptSize, Tokens: tokens, TimeLeft: job.Timeout,
		Price: gannethook.Price(job.PromptSize) + gannethook.Price(float64(job.MaxTokens))}
}

// Submit submits a request. Its sink gets exactly one final answer, possibly before Submit returns.
func (c *Controller) Submit(job Job, sink driver.Sink) *Ticket {
	t := &Ticket{controller: c, job: job, sink: sink, arrived: time.Now()}
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		t.answerUnsubmitted(driver.Answer{Outcome: driver.Refused, Reason: driver.ErrStopped.Error()})
		return t
	}
	c.lastID++
	t.id = c.lastID
	c.tickets[t.id] = t
	verdicts := c.limiter.Admit(c.now(), c.limitsRequest(t.id, &t.job))
	c.applyAndUnlock(verdicts)
	return t
}

// Charge charges a batch to its tenant's budgets; its parts are then submitted as Charged. If it is refused, the answer
// gives the reason.
func (c *Controller) Charge(job Job) (ok bool, a driver.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.limiter.Charge(c.now(), c.limitsRequest(0, &job))
	return v.Admitted, refusal(v)
}

// Refund returns to the budgets what Charge took for a batch of which nothing ran.
func (c *Controller) Refund(job Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.Refund(c.limitsRequest(0, &job))
}

// applyAndUnlock applies verdicts after a call of the limiter. It releases mu before it calls sinks or the driver.
func (c *Controller) applyAndUnlock(verdicts []limits.Verdict) {
	for {
		type step struct {
			t *Ticket
			v limits.Verdict
		}
		var steps []step
		for _, v := range verdicts {
			t := c.tickets[v.ID]
			if t == nil {
				continue
			}
			if t.dispatched = v.Admitted; !v.Admitted {
				t.finished = true
				delete(c.tickets, v.ID)
			}
			steps = append(steps, step{t, v})
		}
		c.resetTimer()
		c.mu.Unlock()
		var rejected []*Ticket
		for _, s := range steps {
			if !s.v.Admitted {
				s.t.answerUnsubmitted(refusal(s.v))
			} else if !s.t.submit() {
				rejected = append(rejected, s.t)
			}
		}
		if len(rejected) == 0 {
			return
		}
		c.mu.Lock()
		verdicts = nil
		for _, t := range rejected {
			delete(c.tickets, t.id)
			verdicts = append(verdicts, c.limiter.Ended(c.now(), t.id, limits.Refused)...)
		}
	}
}

// submit submits an admitted request to the driver; if the driver rejects it, the request is refused.
func (t *Ticket) submit() bool {
	job := t.job.Job
	job.ArrivedAt = t.arrived
	call, err := t.controller.submitter.Submit(job, t)
	t.controller.mu.Lock()
	t.call = call
	clientGone := t.clientGone
	t.controller.mu.Unlock()
	if err != nil {
		t.answerUnsubmitted(driver.Answer{Outcome: driver.Refused, Reason: err.Error(), RetryAfter: time.Second})
		return false
	}
	if clientGone && call != nil {
		call.Cancel()
	}
	return true
}

// resetTimer sets the timer to the time at which the limiter needs a Tick.
func (c *Controller) resetTimer() {
	at, scheduled := c.limiter.Due()
	switch {
	case !scheduled || c.stopped:
		c.timerAt = 0
		c.timer.Stop()
	case at != c.timerAt:
		c.timerAt = at
		c.timer.Reset(max(at-c.now(), 0))
	}
}

func (c *Controller) tick() {
	c.mu.Lock()
	c.timerAt = 0
	c.applyAndUnlock(c.limiter.Tick(c.now()))
}

// answerUnsubmitted answers a request that never reached the driver: nothing of it has run.
func (t *Ticket) answerUnsubmitted(a driver.Answer) {
	t.sink.Final(a)
	if t.controller.refused != nil {
		t.controller.refused(driver.Summary{Session: t.job.SessionID, Class: t.job.ClassName, Outcome: a.Outcome, Reason: a.Reason,
			RetryAfter: a.RetryAfter, PromptSize: t.job.PromptSize, Total: time.Since(t.arrived)})
	}
}

// refusal returns the answer for a refusal by the limiter.
func refusal(v limits.Verdict) driver.Answer {
	return driver.Answer{Outcome: driver.Refused, RetryAfter: v.RetryAfter, Reason: "limits: " + v.Reason.String(),
		LimitReason: v.Reason}
}

// Token passes a token on; the first one ends the request's use of the concurrency limit.
func (t *Ticket) Token(text []byte) bool {
	c := t.controller
	c.mu.Lock()
	if t.firstToken {
		c.mu.Unlock()
	} else {
		t.firstToken = true
		c.applyAndUnlock(c.limiter.FirstToken(c.now(), t.id))
	}
	return t.sink.Token(text)
}

var endOf = map[driver.Outcome]limits.End{driver.Served: limits.Served, driver.Refused: limits.Refused,
	driver.Failed: limits.Failed, driver.Cancelled: limits.ClientGone}

// Final passes on the driver's final answer and reports the end of the request to the limiter.
func (t *Ticket) Final(a driver.Answer) {
	t.sink.Final(a)
	c := t.controller
	c.mu.Lock()
	t.finished = true
	delete(c.tickets, t.id)
	c.applyAndUnlock(c.limiter.Ended(c.now(), t.id, endOf[a.Outcome]))
}

// Abandon cancels the request because its client cancelled it or disconnected.
func (t *Ticket) Abandon() {
	c := t.controller
	c.mu.Lock()
	switch {
	case t.finished:
		c.mu.Unlock()
	case t.call != nil:
		c.mu.Unlock()
		t.call.Cancel()
	case t.dispatched: // being submitted to the driver
		t.clientGone = true
		c.mu.Unlock()
	default:
		t.finished = true
		delete(c.tickets, t.id)
		c.applyAndUnlock(c.limiter.Ended(c.now(), t.id, limits.ClientGone))
		t.answerUnsubmitted(driver.Answer{Outcome: driver.Cancelled})
	}
}

// Reload applies new settings; queued requests stay queued.
func (c *Controller) Reload(settings limits.Settings) {
	c.mu.Lock()
	c.applyAndUnlock(c.limiter.Reload(c.now(), settings))
}

// SetRouters sets the number of routers that quotas are divided among.
func (c *Controller) SetRouters(routers int) {
	c.mu.Lock()
	c.limiter.SetRouters(c.now(), routers)
	c.resetTimer()
	c.mu.Unlock()
}

// Revoke refuses the queued requests of a client whose API key was revoked.
func (c *Controller) Revoke(client uint64) {
	c.mu.Lock()
	c.applyAndUnlock(c.limiter.Revoke(c.now(), client))
}

// Remaining returns what remains of a tenant's budgets for a class.
func (c *Controller) Remaining(tenant, class int) (requests, tokens limits.Allowance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Remaining(c.now(), tenant, class)
}

// View returns the limiter's state for operators.
func (c *Controller) View() limits.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.View()
}

// Stop refuses new and queued requests; dispatched ones continue.
func (c *Controller) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.timer.Stop()
	c.mu.Unlock()
	c.RefuseQueued()
}

// RefuseQueued refuses all queued requests, for instance when the time for a drain is over.
func (c *Controller) RefuseQueued() {
	c.mu.Lock()
	var queued []*Ticket
	for id, t := range c.tickets {
		if !t.dispatched {
			t.finished = true
			delete(c.tickets, id)
			c.limiter.Ended(c.now(), id, limits.ClientGone) // no verdicts: a queued request frees no capacity
			queued = append(queued, t)
		}
	}
	c.mu.Unlock()
	for _, t := range queued {
		t.answerUnsubmitted(driver.Answer{Outcome: driver.Refused, Reason: driver.ErrStopped.Error()})
	}
}
