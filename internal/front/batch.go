package front

import (
	"math"
	"sync"
	"time"

	"gannethook"
	"gannethook/internal/admission"
	"gannethook/internal/batch"
	"gannethook/internal/driver"
	"gannethook/internal/engine"
	"gannethook/internal/httpapi"
	"gannethook/internal/limits"
	"gannethook/internal/settings"
)

// batchRequest is a one-stage request over many texts that may be split into parts: httpapi.Embeddings and
// httpapi.Rerank implement it.
type batchRequest interface {
	TokenCounts() []float64
	EngineBody(from, to int, tokens float64) []byte
	Check(body []byte, texts int) error
	Join(bodies [][]byte, counts []int) ([]byte, error)
}

func (x *exchange) embed(body []byte) *httpapi.Error {
	req, apiErr := httpapi.ParseEmbeddings(body, x.conn.srv.cfg.Load().Sessions.BytesPerToken)
	if apiErr != nil {
		return apiErr
	}
	return x.oneStage(settings.Embedding, req.Model, engine.EmbeddingsPath, req)
}

func (x *exchange) rerank(body []byte) *httpapi.Error {
	req, apiErr := httpapi.ParseRerank(body, x.conn.srv.cfg.Load().Sessions.BytesPerToken)
	if apiErr != nil {
		return apiErr
	}
	return x.oneStage(settings.Rerank, req.Model, engine.RerankPath, req)
}

// oneStage splits a request into parts, submits them and answers with the joined result.
func (x *exchange) oneStage(work settings.Work, model, path string, req batchRequest) *httpapi.Error {
	meta := x.meta(nil)
	if apiErr := x.prepareJob(work, model, meta); apiErr != nil {
		return apiErr
	}
	x.job.Path = path
	sizes := req.TokenCounts()
	for _, n := range sizes {
		x.job.PromptSize += n
	}
	if apiErr := x.applySizes(meta); apiErr != nil {
		return apiErr
	}
	cfg := x.conn.srv.cfg.Load()
	effect := gannethook.Effect(cfg.Classes[x.class].Effect)
	b := &batchRun{x: x, req: req, limits: cfg.Batch(), start: time.Now()}
	b.parts = batch.Split(sizes, b.limits, effect != gannethook.Safe)
	b.bodies, b.tickets = make([][]byte, len(b.parts)), make([]*admission.Ticket, len(b.parts))
	b.machine = batch.New(len(b.parts), b.limits, x.job.Timeout, effect == gannethook.Safe)
	abandon := func() {}
	if x.beginKey() {
		if ok, a := x.conn.srv.admission.Charge(x.job); ok {
			b.mu.Lock()
			b.apply(b.machine.Start(0))
			abandon = b.clientGone
		} else {
			x.answerUnsubmitted(a)
		}
	}
	b.finish(x.wait(abandon))
	return nil
}

// batchRun is one batch in progress. It carries out the actions that the state machine of package batch decides.
type batchRun struct {
	x      *exchange
	req    batchRequest
	limits batch.Limits
	start  time.Time
	parts  []batch.Part

	mu          sync.Mutex
	machine     *batch.Machine
	bodies      [][]byte
	tickets     []*admission.Ticket
	bytes       int
	limitReason limits.Reason // of the last part that was refused
	timers      []*time.Timer
	abandoned   bool // parts that are still being submitted are cancelled
}

// partSink receives the result of one part.
type partSink struct {
	run   *batchRun
	index int
}

// Token is never called: one-stage work is not streamed.
func (p *partSink) Token([]byte) bool { return true }

var endKinds = map[driver.Outcome]batch.Kind{driver.Served: batch.Served, driver.Refused: batch.Refused,
	driver.Failed: batch.Failed, driver.Cancelled: batch.Cancelled}

func (p *partSink) Final(a driver.Answer) {
	b := p.run
	b.mu.Lock()
	b.bodies[p.index] = a.Body
	b.bytes += len(a.Body)
	end := batch.End{Kind: endKinds[a.Outcome], RetryAfter: a.RetryAfter, Reason: a.Reason, MayHaveRun: a.MayHaveRun}
	if b.bytes > int(b.x.conn.srv.cfg.Load().HTTP.MaxAnswer) {
		end = batch.End{Kind: batch.Failed, Reason: "the answer is too large", MayHaveRun: true}
	}
	if a.Outcome == driver.Refused {
		b.limitReason = a.LimitReason
	}
	b.apply(b.machine.Ended(time.Since(b.start), p.index, end))
}

// apply carries out actions. It is called with b.mu held and releases it.
func (b *batchRun) apply(actions []batch.Action) {
	var asks []batch.Submit
	var abandoned []*admission.Ticket
	var final *driver.Answer
	for _, act := range actions {
		switch a := act.(type) {
		case batch.Submit:
			asks = append(asks, a)
		case batch.Cancel:
			if t := b.tickets[a.Part]; t != nil {
				abandoned = append(abandoned, t)
			}
		case batch.Wake:
			b.timers = append(b.timers, time.AfterFunc(a.At-time.Since(b.start), b.wake))
		case batch.Final:
			b.abandoned = true
			final = b.finalAnswer(a.End)
		}
	}
	b.mu.Unlock()
	for _, a := range asks {
		b.submit(a)
	}
	if final != nil {
		b.x.setFinal(*final)
	}
	for _, t := range abandoned {
		t.Abandon()
	}
}

// finalAnswer maps the end of the batch to the request's final answer. A refused batch, which is safe to retry, has
// its charge refunded.
func (b *batchRun) finalAnswer(e batch.End) *driver.Answer {
	for _, t := range b.timers {
		t.Stop()
	}
	a := &driver.Answer{RetryAfter: e.RetryAfter, Reason: e.Reason, MayHaveRun: e.MayHaveRun}
	for kind, of := range endKinds {
		if of == e.Kind {
			a.Outcome = kind
		}
	}
	if a.Outcome == driver.Refused {
		a.LimitReason = b.limitReason
		b.x.conn.srv.admission.Refund(b.x.job)
	}
	return a
}

// submit hands one part to admission. The whole request is charged already, so the part isn't.
func (b *batchRun) submit(a batch.Submit) {
	p := b.parts[a.Part]
	job := b.x.job
	job.Charged, job.PromptSize = true, max(p.Tokens, 1)
	job.PartsRun = a.PartsRun
	job.Body = b.req.EngineBody(p.From, p.To, p.Tokens)
	job.CheckAnswer = func(body []byte) error { return b.req.Check(body, p.To-p.From) }
	job.Timeout = max(b.x.job.Timeout-time.Since(b.start), 0)
	t := b.x.conn.srv.admission.Submit(job, &partSink{b, a.Part})
	b.mu.Lock()
	b.tickets[a.Part] = t
	abandoned := b.abandoned
	b.mu.Unlock()
	if abandoned {
		t.Abandon()
	}
}

func (b *batchRun) wake() {
	b.mu.Lock()
	b.apply(b.machine.Wake(time.Since(b.start)))
}

// clientGone cancels the batch when its client has disconnected.
func (b *batchRun) clientGone() {
	b.mu.Lock()
	b.apply(b.machine.ClientDisconnected())
}

// finish writes the answer. The parts are joined here, on the connection's own goroutine.
func (b *batchRun) finish(a driver.Answer) {
	switch a.Outcome {
	case driver.Cancelled:
		b.x.keepAlive = false
	case driver.Served:
		counts := make([]int, len(b.parts))
		for i, p := range b.parts {
			counts[i] = p.To - p.From
		}
		joined, err := b.req.Join(b.bodies, counts)
		if err != nil { // can't happen: each part was checked
			b.x.replyUnserved(driver.Answer{Outcome: driver.Failed, Reason: err.Error()})
			return
		}
		b.x.reply(200, "application/json", b.x.rateLimitHeaders(), joined)
	default:
		b.x.replyUnserved(a)
	}
}

// tokenCount estimates a text's length in tokens from its length in bytes.
func tokenCount(text string, tokenBytes float64) float64 {
	return math.Ceil(float64(len(text)) / tokenBytes)
}
