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

// outcome is the result of a request, over all its tries.
type outcome struct {
	class      int
	tenant     int
	at         time.Duration
	reason     string // of the last try that was not served
	kind       string // served, refused, failed, or lost
	inTime     bool
	tries      int
	firstToken time.Duration // from the start of the first try to the first token
}

// userPool runs all clients of a scenario.
type userPool struct {
	fleet    *fleet
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
}

// run starts the planned sessions at their times and waits for all of them.
func (p *userPool) run(ctx context.Context, plan []plannedSession) {
	for _, s := range plan {
		if !sleep(ctx, time.Until(p.fleet.start.Add(s.at))) {
			break
		}
		p.wg.Go(func() { p.runSession(ctx, s) })
	}
	p.wg.Wait()
}

// virtualUser is one client in its session.
type virtualUser struct {
	pool        *userPool
	name        string
	rng         *rand.Rand
	router      *router
	session     *client.Session
	http        *client.HTTP
	tenant      string
	lastPrompt  string          // last request whose prompt was sent in this session
	responseID  string          // the open response, or the last one
	lastRequest *plannedRequest // its request; lastTry is the number of its try
	lastTry     int
}

func (p *userPool) runSession(ctx context.Context, s plannedSession) {
	u := &virtualUser{pool: p, name: s.name, router: p.fleet.routers[s.router], rng: rand.New(rand.NewPCG(s.requests[0].seed, 1))}
	if s.tenant >= 0 {
		u.tenant = p.fleet.script.Tenants[s.tenant].Name
	}
	defer u.closeSession()
	for i, r := range s.requests {
		if i > 0 && !sleep(ctx, r.think) {
			return
		}
		end := u.request(ctx, r)
		end.tenant = s.tenant
		p.mu.Lock()
		p.outcomes = append(p.outcomes, end)
		p.mu.Unlock()
	}
}

func (u *virtualUser) logEvent(req *plannedRequest, try int, kind, note string, n float64) {
	u.pool.fleet.log.Add(record.Event{Who: u.name, Kind: kind, Req: req.name, Try: try, Router: u.router.name,
		Class: u.pool.fleet.script.Classes[req.class].Name, N: n, Note: note})
}

// closeSession ends the session. An event that still arrives for an answered request violates rule 1.
func (u *virtualUser) closeSession() {
	u.closeHTTP()
	if u.session == nil {
		return
	}
	u.session.CloseWith(u.recordLate)
	u.session = nil
}

// recordLate records an event of a response that had its final answer; no response of the session is open.
func (u *virtualUser) recordLate(ev *realtime.ServerEvent) {
	if u.lastRequest != nil && responseOf(ev) != "" {
		u.logEvent(u.lastRequest, u.lastTry, record.After, ev.Type, 0)
	}
}

// connect opens a session at the user's router.
func (u *virtualUser) connect(ctx context.Context) error {
	if u.session != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	s, err := client.Open(ctx, u.router.addr, "day")
	u.session, u.lastPrompt = s, ""
	if err != nil {
		u.pool.fleet.log.Add(record.Event{Who: u.name, Kind: record.ShutOut, Router: u.router.name, Note: err.Error()})
		u.session = nil
		return err
	}
	u.pool.fleet.log.Add(record.Event{Who: u.name, Kind: record.Open, Router: u.router.name})
	return nil
}

// switchRouter draws another router. The front avoids a router only when it has been down for longer than DetectDelay.
func (u *virtualUser) switchRouter() {
	list := u.pool.fleet.routers
	for range 8 {
		r := list[u.rng.IntN(len(list))]
		r.mu.Lock()
		knownDown := r.down && time.Since(r.downSince) > u.pool.fleet.script.Clients.DetectDelay
		r.mu.Unlock()
		if !knownDown {
			if r != u.router {
				u.closeSession()
			}
			u.router = r
			return
		}
	}
}

// request sends one request with its retries.
func (u *virtualUser) request(ctx context.Context, req plannedRequest) outcome {
	s := u.pool.fleet.script
	class := &s.Classes[req.class]
	started := time.Now()
	end := outcome{class: req.class, at: started.Sub(u.pool.fleet.start), kind: "lost"}
	retries := s.Clients.Retries
	eagerRetries, eager := s.eagerRetries(end.at)
	if eager {
		retries = eagerRetries
	}
	mayHaveRun := false
	for try, sent := 1, 1; ctx.Err() == nil; sent++ {
		result := u.tryOnce(ctx, &req, sent, mayHaveRun)
		if result.unreachable { // no router accepted it
			if time.Since(started) > class.Timeout {
				return end
			}
			u.switchRouter()
			if !sleep(ctx, 20*time.Millisecond) {
				return end
			}
			continue
		}
		end.tries, end.kind, end.reason = try, result.kind, result.reason
		mayHaveRun = mayHaveRun || result.kind == "failed" || result.kind == "lost"
		if result.kind == "served" {
			end.firstToken = time.Since(started) - result.sinceFirstToken
			target := class.Aim + class.AimPer1000*time.Duration(req.promptTokens)/1000
			end.inTime = end.firstToken <= target
			return end
		}
		retryable := result.kind == "refused" || class.Effect == "safe" || result.disconnected
		if !retryable || try > retries || time.Since(started) > class.Timeout {
			return end
		}
		if result.kind != "refused" {
			u.switchRouter()
		}
		wait := max(s.Clients.Backoff, result.retryAfter)
		if eager {
			wait = 0
		}
		if !sleep(ctx, wait) {
			return end
		}
		req.disconnect = false
		try++
	}
	return end
}

// tryResult is the result of one try.
type tryResult struct {
	kind            string
	unreachable     bool
	disconnected    bool // the client cut its own connection
	retryAfter      time.Duration
	sinceFirstToken time.Duration // from the first token to the end
	reason          string        // as the router gave it
}

// tryOnce makes a try over the front of its class.
func (u *virtualUser) tryOnce(ctx context.Context, req *plannedRequest, try int, retry bool) tryResult {
	if u.pool.fleet.script.Classes[req.class].Front == "http" {
		return u.tryHTTP(ctx, req, try, retry)
	}
	return u.trySession(ctx, req, try, retry)
}

// trySession sends a request once over a session and waits for its final answer.
func (u *virtualUser) trySession(ctx context.Context, req *plannedRequest, try int, retry bool) tryResult {
	class := &u.pool.fleet.script.Classes[req.class]
	if err := u.connect(ctx); err != nil {
		return tryResult{unreachable: true}
	}
	meta := map[string]string{realtime.MetaClass: class.Name, realtime.MetaIdempotency: req.name,
		realtime.MetaPromptSize: strconv.Itoa(req.promptTokens), realtime.MetaSession: u.name}
	if req.prefix != "" {
		meta[realtime.MetaPrefix], meta[realtime.MetaPrefixSize] = req.prefix, strconv.Itoa(req.promptTokens/2)
	}
	if u.tenant != "" {
		meta[realtime.MetaTenant] = u.tenant
	}
	if retry {
		meta[realtime.MetaRetry] = "true"
	}
	if try > 1 {
		meta[realtime.MetaAttempt] = strconv.Itoa(try)
	}
	u.responseID, u.lastRequest, u.lastTry = "", req, try
	u.logEvent(req, try, record.Offer, u.tenant, class.Timeout.Seconds()*1000)
	if u.lastPrompt != req.name && u.session.AddMessage("question "+req.name) != nil || u.session.Request(meta, class.MaxTokens) != nil {
		return u.recordLost(req, try, "unreachable")
	}
	u.lastPrompt = req.name
	return u.awaitFinal(req, try, class)
}

// recordLost records a try without a final answer, and drops the session.
func (u *virtualUser) recordLost(req *plannedRequest, try int, reason string) tryResult {
	u.logEvent(req, try, record.Lost, reason, 0)
	u.session.Abort()
	u.session = nil
	return tryResult{kind: "lost", disconnected: reason == "left", unreachable: reason == "unreachable" || reason == "not taken"}
}

// awaitFinal reads up to the final answer. A client that gets no token in time cuts its connection and records that.
func (u *virtualUser) awaitFinal(req *plannedRequest, try int, class *Class) tryResult {
	s := u.session
	var cut atomic.Value // why this client cut its own connection
	cutAfter := func(d time.Duration, reason string) *time.Timer {
		return time.AfterFunc(d, func() {
			cut.Store(reason)
			s.Abort()
		})
	}
	timeout := cutAfter(class.Timeout+2*time.Second, "gave up")
	defer timeout.Stop()
	if req.disconnect {
		defer cutAfter(req.disconnectAfter, "left").Stop()
	}
	first := time.Time{}
	for {
		ev, err := s.Next()
		if err != nil {
			reason, cutByClient := cut.Load().(string)
			if !cutByClient {
				reason = u.lossReason(err)
			}
			return u.recordLost(req, try, reason)
		}
		if id := responseOf(ev); id != "" && id != u.responseID && ev.Type != realtime.ResponseCreated {
			u.logEvent(req, try, record.After, ev.Type, 0) // of an earlier response, which has had its final answer
			continue
		}
		switch ev.Type {
		case realtime.ResponseCreated:
			u.responseID = ev.Response.ID
		case realtime.TextDelta:
			if first.IsZero() {
				first = time.Now()
				timeout.Stop()
				u.logEvent(req, try, record.Token, "", 0)
			}
		case realtime.ErrorType:
			if ev.Error.Code == "going_away" {
				return u.recordLost(req, try, "not taken")
			}
			return u.recordLost(req, try, "error "+ev.Error.Code)
		case realtime.ResponseDone:
			return u.recordFinal(req, try, ev.Response, first)
		}
	}
}

// responseOf returns the id of the response that an event belongs to, or "".
func responseOf(ev *realtime.ServerEvent) string {
	if ev.Response != nil {
		return ev.Response.ID
	}
	return ev.ResponseID
}

// lossReason returns why a session ended during an open try.
func (u *virtualUser) lossReason(err error) string {
	var ce *ws.CloseError
	if errors.As(err, &ce) && ce.Code == ws.CloseGoingAway && u.responseID == "" {
		return "not taken" // an orderly close, before the router accepted the response
	}
	return "connection"
}

func (u *virtualUser) recordFinal(req *plannedRequest, try int, res *realtime.Response, first time.Time) tryResult {
	result := tryResult{kind: "served"}
	if res.Status != "completed" {
		result.kind = "failed"
		if d := res.Details; d != nil && d.Error != nil {
			result.reason = d.Error.Message
		}
		if d := res.Details; d != nil && d.Error != nil && d.Error.Code == realtime.CodeRefused {
			result.kind = "refused"
			if d.Error.RetryAfterMS != nil {
				result.retryAfter = time.Duration(*d.Error.RetryAfterMS) * time.Millisecond
			}
		}
	}
	if !first.IsZero() {
		result.sinceFirstToken = time.Since(first)
	}
	u.logEvent(req, try, record.Final, result.kind, float64(result.retryAfter.Milliseconds()))
	return result
}
