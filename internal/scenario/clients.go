package scenario

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gannethook/internal/client"
	"gannethook/internal/realtime"
	"gannethook/internal/record"
	"gannethook/internal/ws"
)

// outcome is how a request ended, over all its tries.
type outcome struct {
	class  int
	tenant int
	at     time.Duration
	why    string // of the last try that was not served
	kind   string // served, refused, failed, or lost
	inTime bool
	tries  int
	first  time.Duration // from the first try's start to the first token
}

// crowd is all clients of a day.
type crowd struct {
	f    *fleet
	wg   sync.WaitGroup
	mu   sync.Mutex
	ends []outcome
}

// run plays the plan to its end.
func (c *crowd) run(ctx context.Context, plan []visit) {
	for _, v := range plan {
		if !sleep(ctx, time.Until(c.f.start.Add(v.at))) {
			break
		}
		c.wg.Go(func() { c.visit(ctx, v) })
	}
	c.wg.Wait()
}

// guest is one client in its session.
type guest struct {
	c       *crowd
	name    string
	rnd     *rand.Rand
	router  *router
	session *client.Session
	http    *client.HTTP
	tenant  string
	said    string // the last request whose prompt this session has heard
	current string // response that is open, or the last
	asked   *ask   // its request, and the number of its try
	sent    int
}

func (c *crowd) visit(ctx context.Context, v visit) {
	g := &guest{c: c, name: v.name, router: c.f.routers[v.first], rnd: rand.New(rand.NewPCG(v.asks[0].seed, 1))}
	if v.tenant >= 0 {
		g.tenant = c.f.s.Tenants[v.tenant].Name
	}
	defer g.leave()
	for i, a := range v.asks {
		if i > 0 && !sleep(ctx, a.think) {
			return
		}
		end := g.request(ctx, a)
		end.tenant = v.tenant
		c.mu.Lock()
		c.ends = append(c.ends, end)
		c.mu.Unlock()
	}
}

func (g *guest) note(a *ask, try int, kind, note string, n float64) {
	g.c.f.log.Add(record.Event{Who: g.name, Kind: kind, Req: a.name, Try: try, Router: g.router.name,
		Class: g.c.f.s.Classes[a.class].Name, N: n, Note: note})
}

// leave ends the session; what still comes for an answered request breaks rule 1.
func (g *guest) leave() {
	g.leaveHTTP()
	if g.session == nil {
		return
	}
	g.session.CloseWith(g.late)
	g.session = nil
}

// late records an event of a response that had its final answer: the session
// has none that is open.
func (g *guest) late(ev *realtime.Server) {
	if g.asked != nil && responseOf(ev) != "" {
		g.note(g.asked, g.sent, record.After, ev.Type, 0)
	}
}

// connect opens a session, at a router that the front takes to be up.
func (g *guest) connect(ctx context.Context) error {
	if g.session != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	s, err := client.Open(ctx, g.router.addr, "day")
	g.session, g.said = s, ""
	if err != nil {
		g.c.f.log.Add(record.Event{Who: g.name, Kind: record.ShutOut, Router: g.router.name, Note: err.Error()})
		g.session = nil
		return err
	}
	g.c.f.log.Add(record.Event{Who: g.name, Kind: record.Open, Router: g.router.name})
	return nil
}

// elsewhere draws another router; the front knows a dead one only after a while.
func (g *guest) elsewhere() {
	list := g.c.f.routers
	for range 8 {
		r := list[g.rnd.IntN(len(list))]
		r.mu.Lock()
		known := r.down && time.Since(r.lost) > g.c.f.s.Clients.Detect
		r.mu.Unlock()
		if !known {
			if r != g.router {
				g.leave()
			}
			g.router = r
			return
		}
	}
}

// request makes one request with its tries.
func (g *guest) request(ctx context.Context, a ask) outcome {
	s := g.c.f.s
	class := &s.Classes[a.class]
	begun := time.Now()
	end := outcome{class: a.class, at: begun.Sub(g.c.f.start), kind: "lost"}
	retries := s.Clients.Retries
	eagerly, eager := s.eager(end.at)
	if eager {
		retries = eagerly
	}
	mayHaveRun := false
	for try, sent := 1, 1; ctx.Err() == nil; sent++ {
		t := g.once(ctx, &a, sent, mayHaveRun)
		if t.unreachable { // no router took it
			if time.Since(begun) > class.GiveUp {
				return end
			}
			g.elsewhere()
			if !sleep(ctx, 20*time.Millisecond) {
				return end
			}
			continue
		}
		end.tries, end.kind, end.why = try, t.kind, t.why
		mayHaveRun = mayHaveRun || t.kind == "failed" || t.kind == "lost"
		if t.kind == "served" {
			end.first = time.Since(begun) - t.afterFirst
			aim := class.Aim + class.PerKilo*time.Duration(a.prompt)/1000
			end.inTime = end.first <= aim
			return end
		}
		again := t.kind == "refused" || class.Effect == "safe" || t.left
		if !again || try > retries || time.Since(begun) > class.GiveUp {
			return end
		}
		if t.kind != "refused" {
			g.elsewhere()
		}
		wait := max(s.Clients.Backoff, t.retryAfter)
		if eager {
			wait = 0
		}
		if !sleep(ctx, wait) {
			return end
		}
		a.drop = false
		try++
	}
	return end
}

// tried is how one try ended.
type tried struct {
	kind        string
	unreachable bool
	left        bool // the client cut its own socket
	retryAfter  time.Duration
	afterFirst  time.Duration // from the first token to the end
	why         string        // the router's reason
}

// once makes a try over the class's front.
func (g *guest) once(ctx context.Context, a *ask, n int, again bool) tried {
	if g.c.f.s.Classes[a.class].Front == "http" {
		return g.tryHTTP(ctx, a, n, again)
	}
	return g.try(ctx, a, n, again)
}

// try sends a request once and waits for its final answer.
func (g *guest) try(ctx context.Context, a *ask, n int, again bool) tried {
	class := &g.c.f.s.Classes[a.class]
	if err := g.connect(ctx); err != nil {
		return tried{unreachable: true}
	}
	meta := map[string]string{realtime.MetaClass: class.Name, realtime.MetaIdempotency: a.name,
		realtime.MetaPromptSize: strconv.Itoa(a.prompt), realtime.MetaSession: g.name}
	if a.prefix != "" {
		meta[realtime.MetaPrefix], meta[realtime.MetaPrefixSize] = a.prefix, strconv.Itoa(a.prompt/2)
	}
	if g.tenant != "" {
		meta[realtime.MetaTenant] = g.tenant
	}
	if again {
		meta[realtime.MetaRetry] = "true"
	}
	if n > 1 {
		meta[realtime.MetaTry] = strconv.Itoa(n)
	}
	g.current, g.asked, g.sent = "", a, n
	g.note(a, n, record.Offer, g.tenant, class.GiveUp.Seconds()*1000)
	if g.said != a.name && g.session.Say("question "+a.name) != nil || g.session.Request(meta, class.Out) != nil {
		return g.gone(a, n, "unreachable")
	}
	g.said = a.name
	return g.wait(a, n, class)
}

// gone records a try without a final answer, and drops the session.
func (g *guest) gone(a *ask, n int, why string) tried {
	g.note(a, n, record.Lost, why, 0)
	g.session.Cut()
	g.session = nil
	return tried{kind: "lost", left: why == "left", unreachable: why == "unreachable" || why == "not taken"}
}

// wait reads to the final answer. A client that hears nothing in its time gives up, and tells the checker.
func (g *guest) wait(a *ask, n int, class *Class) tried {
	s := g.session
	var cut atomic.Value // why this client cut its own socket
	cutAfter := func(d time.Duration, why string) *time.Timer {
		return time.AfterFunc(d, func() {
			cut.Store(why)
			s.Cut()
		})
	}
	gaveUp := cutAfter(class.GiveUp+2*time.Second, "gave up")
	defer gaveUp.Stop()
	if a.drop {
		defer cutAfter(a.dropAt, "left").Stop()
	}
	first := time.Time{}
	for {
		ev, err := s.Next()
		if err != nil {
			why, own := cut.Load().(string)
			if !own {
				why = g.why(err)
			}
			return g.gone(a, n, why)
		}
		if id := responseOf(ev); id != "" && id != g.current && ev.Type != realtime.ResponseCreated {
			g.note(a, n, record.After, ev.Type, 0) // of an earlier response, which has had its final answer
			continue
		}
		switch ev.Type {
		case realtime.ResponseCreated:
			g.current = ev.Response.ID
		case realtime.TextDelta:
			if first.IsZero() {
				first = time.Now()
				gaveUp.Stop()
				g.note(a, n, record.Token, "", 0)
			}
		case realtime.ErrorType:
			if ev.Error.Code == "going_away" {
				return g.gone(a, n, "not taken")
			}
			return g.gone(a, n, "error "+ev.Error.Code)
		case realtime.ResponseDone:
			return g.final(a, n, ev.Response, first)
		}
	}
}

// responseOf names the response that an event belongs to, if it does to one.
func responseOf(ev *realtime.Server) string {
	if ev.Response != nil {
		return ev.Response.ID
	}
	return ev.ResponseID
}

// why tells why a session ended under an open try.
func (g *guest) why(err error) string {
	var ce *ws.CloseError
	if errors.As(err, &ce) && ce.Code == ws.CloseGoingAway && g.current == "" {
		return "not taken" // the router closed in order, and had not said that it took the response
	}
	return "connection"
}

func (g *guest) final(a *ask, n int, r *realtime.Response, first time.Time) tried {
	t := tried{kind: "served"}
	if r.Status != "completed" {
		t.kind = "failed"
		if d := r.Details; d != nil && d.Error != nil {
			t.why = d.Error.Message
		}
		if d := r.Details; d != nil && d.Error != nil && d.Error.Code == realtime.CodeRefused {
			t.kind = "refused"
			if d.Error.RetryAfterMS != nil {
				t.retryAfter = time.Duration(*d.Error.RetryAfterMS) * time.Millisecond
			}
		}
	}
	if !first.IsZero() {
		t.afterFirst = time.Since(first)
	}
	g.note(a, n, record.Final, t.kind, float64(t.retryAfter.Milliseconds()))
	return t
}
