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

// texts is a request of many texts; httpapi.Embeddings and httpapi.Rerank are.
type texts interface {
	Sizes() []float64
	Engine(from, to int, tokens float64) []byte
	Check(body []byte, texts int) error
	Join(bodies [][]byte, counts []int) ([]byte, error)
}

func (x *exchange) embed(body []byte) *httpapi.Error {
	ask, bad := httpapi.ParseEmbeddings(body, x.l.s.cfg.Load().Sessions.TokenBytes)
	if bad != nil {
		return bad
	}
	return x.oneStage(settings.Embedding, ask.Model, engine.EmbeddingsPath, ask)
}

func (x *exchange) rerank(body []byte) *httpapi.Error {
	ask, bad := httpapi.ParseRerank(body, x.l.s.cfg.Load().Sessions.TokenBytes)
	if bad != nil {
		return bad
	}
	return x.oneStage(settings.Rerank, ask.Model, engine.RerankPath, ask)
}

// oneStage splits a request, has its parts done, and answers it whole.
func (x *exchange) oneStage(work settings.Work, model, path string, ask texts) *httpapi.Error {
	meta := x.meta(nil)
	if bad := x.plan(work, model, meta); bad != nil {
		return bad
	}
	x.job.Path = path
	sizes := ask.Sizes()
	for _, n := range sizes {
		x.job.PromptSize += n
	}
	if bad := x.sized(meta); bad != nil {
		return bad
	}
	cfg := x.l.s.cfg.Load()
	effect := gannethook.Effect(cfg.Classes[x.class].Effect)
	b := &bundle{x: x, ask: ask, lim: cfg.Batch(), start: time.Now()}
	b.parts = batch.Split(sizes, b.lim, effect != gannethook.Safe)
	b.bodies, b.tickets = make([][]byte, len(b.parts)), make([]*admission.Ticket, len(b.parts))
	b.m = batch.New(len(b.parts), b.lim, x.job.Timeout, effect == gannethook.Safe)
	abandon := func() {}
	if x.begin() {
		if ok, a := x.l.s.in.Charge(x.job); ok {
			b.mu.Lock()
			b.do(b.m.Start(0))
			abandon = b.left
		} else {
			x.turnAway(a)
		}
	}
	b.finish(x.wait(abandon))
	return nil
}

// bundle is a batch on its way: it carries out what package batch decides.
type bundle struct {
	x     *exchange
	ask   texts
	lim   batch.Limits
	start time.Time
	parts []batch.Part

	mu      sync.Mutex
	m       *batch.Machine
	bodies  [][]byte
	tickets []*admission.Ticket
	bytes   int
	why     limits.Reason // of the part that was refused last
	timers  []*time.Timer
	dropped bool // parts that are on their way are taken back
}

// part is one part's sink.
type part struct {
	b *bundle
	i int
}

// Token is never called: one-stage work comes whole.
func (p *part) Token([]byte) bool { return true }

var partEnds = map[driver.Outcome]batch.Kind{driver.Served: batch.Served, driver.Refused: batch.Refused,
	driver.Failed: batch.Failed, driver.Cancelled: batch.Cancelled}

func (p *part) Final(a driver.Answer) {
	b := p.b
	b.mu.Lock()
	b.bodies[p.i] = a.Body
	b.bytes += len(a.Body)
	end := batch.End{Kind: partEnds[a.Outcome], RetryAfter: a.RetryAfter, Reason: a.Reason, MayHaveRun: a.MayHaveRun}
	if b.bytes > int(b.x.l.s.cfg.Load().HTTP.Answer) {
		end = batch.End{Kind: batch.Failed, Reason: "the answer is too large", MayHaveRun: true}
	}
	if a.Outcome == driver.Refused {
		b.why = a.LimitReason
	}
	b.do(b.m.Ended(time.Since(b.start), p.i, end))
}

// do carries out actions; it is called with the lock, and gives it up.
func (b *bundle) do(acts []batch.Action) {
	var asks []batch.Ask
	var drops []*admission.Ticket
	var final *driver.Answer
	for _, act := range acts {
		switch a := act.(type) {
		case batch.Ask:
			asks = append(asks, a)
		case batch.Drop:
			if t := b.tickets[a.Part]; t != nil {
				drops = append(drops, t)
			}
		case batch.Wake:
			b.timers = append(b.timers, time.AfterFunc(a.At-time.Since(b.start), b.wake))
		case batch.Final:
			b.dropped = true
			final = b.answer(a.End)
		}
	}
	b.mu.Unlock()
	for _, a := range asks {
		b.submit(a)
	}
	if final != nil {
		b.x.settle(*final)
	}
	for _, t := range drops {
		t.Abandon()
	}
}

// answer words the whole's end. What it was charged is given back where it was
// refused, and so was harmless to try again.
func (b *bundle) answer(e batch.End) *driver.Answer {
	for _, t := range b.timers {
		t.Stop()
	}
	a := &driver.Answer{RetryAfter: e.RetryAfter, Reason: e.Reason, MayHaveRun: e.MayHaveRun}
	for kind, of := range partEnds {
		if of == e.Kind {
			a.Outcome = kind
		}
	}
	if a.Outcome == driver.Refused {
		a.LimitReason = b.why
		b.x.l.s.in.Refund(b.x.job)
	}
	return a
}

// submit asks for a part.
func (b *bundle) submit(a batch.Ask) {
	p := b.parts[a.Part]
	job := b.x.job
	job.Paid, job.PromptSize = true, max(p.Tokens, 1)
	job.Begun = a.Begun
	job.Body = b.ask.Engine(p.From, p.To, p.Tokens)
	job.CheckAnswer = func(body []byte) error { return b.ask.Check(body, p.To-p.From) }
	job.Timeout = max(b.x.job.Timeout-time.Since(b.start), 0)
	t := b.x.l.s.in.Submit(job, &part{b, a.Part})
	b.mu.Lock()
	b.tickets[a.Part] = t
	dropped := b.dropped
	b.mu.Unlock()
	if dropped {
		t.Abandon()
	}
}

func (b *bundle) wake() {
	b.mu.Lock()
	b.do(b.m.Wake(time.Since(b.start)))
}

// left takes the whole back when its client has gone.
func (b *bundle) left() {
	b.mu.Lock()
	b.do(b.m.Left())
}

// finish writes the answer; parts are joined here, on the connection's own goroutine.
func (b *bundle) finish(a driver.Answer) {
	switch a.Outcome {
	case driver.Cancelled:
		b.x.keep = false
	case driver.Served:
		counts := make([]int, len(b.parts))
		for i, p := range b.parts {
			counts[i] = p.To - p.From
		}
		whole, err := b.ask.Join(b.bodies, counts)
		if err != nil { // each part was checked: it can't be
			b.x.turned(driver.Answer{Outcome: driver.Failed, Reason: err.Error()})
			return
		}
		b.x.reply(200, "application/json", b.x.limits(), whole)
	default:
		b.x.turned(a)
	}
}

// tokensOf is a text's length in tokens, by its bytes.
func tokensOf(text string, tokenBytes float64) float64 {
	return math.Ceil(float64(len(text)) / tokenBytes)
}
