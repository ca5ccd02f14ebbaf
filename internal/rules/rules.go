// Package rules checks the five rules against a recorded run, using only the clients' and the stand-ins' records, which
// share one clock. Each violation comes with the timeline of its request.
package rules

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"gannethook/internal/record"
)

// Effects of classes, with the names that the settings use.
const (
	Safe   = "safe"
	Keyed  = "keyed"
	Unsafe = "unsafe"
)

// Class is what the checker needs to know of a class.
type Class struct {
	Effect string
	Group  string  // deduplication group of a keyed class: all, zone or cell
	Window float64 // of the deduplication, in ms
}

// Location is the location of an engine.
type Location struct {
	Zone string
	Cell int
}

// Config has the limits that the rules are checked against. Times are in ms.
type Config struct {
	Classes       map[string]Class
	Engines       map[string]Location
	AnswerMargin  float64 // a final answer may be later than the client's deadline by this
	DrainGrace    float64 // new work may reach a draining engine for this long after its router was notified
	PinLimit      float64 // an idle state or place is released within this time
	ReleaseMargin float64 // delivery time of a release
	DialTimeouts  float64 // sum of all dial timeouts of a request: the sockets don't show attempts that fail to connect
}

// Violation is one violation of a rule.
type Violation struct {
	Rule     int
	Req      string
	What     string
	Timeline []record.Event
}

func (v *Violation) String() string { return fmt.Sprintf("rule %d, %s: %s", v.Rule, v.Req, v.What) }

// Write writes a violation with its timeline.
func (v *Violation) Write(w io.Writer) {
	fmt.Fprintln(w, v)
	for _, e := range v.Timeline {
		fmt.Fprintln(w, "   ", e)
	}
}

// Verdict is the result of a check.
type Verdict struct {
	Requests, Tries, Attempts int
	Violations                []Violation
}

// Count returns the number of violations of a rule.
func (v *Verdict) Count(rule int) int {
	n := 0
	for _, violation := range v.Violations {
		if violation.Rule == rule {
			n++
		}
	}
	return n
}

// tryKey identifies a try.
type tryKey struct {
	req string
	try int
}

// checker holds the records in the groupings that the rules need.
type checker struct {
	cfg          Config
	events       []record.Event
	byClientReq  map[string][]record.Event
	byEngineReq  map[string][]record.Event // by request id at the engines, without the attempt number
	clientReqOf  map[string]string         // request id at the engines: the client's request
	killed       map[string][]span         // router: from each signal to the end of the process
	opened       map[tryKey]float64        // when the session of a try was opened
	dead         map[string][]span         // engine: from its death or crash to its next start
	frozen       map[string][]span         // engine: while it was frozen
	dialFailures []span                    // while dials to any engine timed out
	end          float64
	verdict      *Verdict
}

// Check checks a complete recording.
func Check(cfg Config, events []record.Event) *Verdict {
	c := &checker{cfg: cfg, events: events, byClientReq: map[string][]record.Event{}, byEngineReq: map[string][]record.Event{},
		clientReqOf: map[string]string{}, killed: map[string][]span{}, opened: map[tryKey]float64{}, verdict: &Verdict{}}
	c.index()
	for _, req := range sortedKeys(c.byClientReq) {
		c.checkFinalAnswers(req, c.byClientReq[req])
		c.checkEffects(req, c.byClientReq[req])
	}
	c.checkDraining()
	c.checkColdStart()
	c.checkHolds()
	slices.SortStableFunc(c.verdict.Violations, func(a, b Violation) int { return a.Rule - b.Rule })
	return c.verdict
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// splitKey splits the key of an attempt, "router-boot-id-attempt", into the router's name and the key without the attempt.
func splitKey(key string) (router, request string) {
	request = key
	if i := strings.LastIndexByte(key, '-'); i >= 0 {
		request = key[:i]
	}
	router = request
	for range 2 {
		if i := strings.LastIndexByte(router, '-'); i >= 0 {
			router = router[:i]
		}
	}
	return router, request
}

func (c *checker) index() {
	sessions := map[string]float64{}
	for _, e := range c.events {
		c.end = max(c.end, e.T)
		if e.Req != "" {
			c.byClientReq[e.Req] = append(c.byClientReq[e.Req], e)
		}
		if e.Key != "" && e.Kind != record.Told {
			_, request := splitKey(e.Key)
			c.byEngineReq[request] = append(c.byEngineReq[request], e)
			if e.Req != "" {
				c.clientReqOf[request] = e.Req
			}
		}
		switch e.Kind {
		case record.Open:
			sessions[e.Who] = e.T
		case record.Offer:
			c.opened[tryKey{e.Req, e.Try}] = sessions[e.Who]
		case record.Killed:
			c.killed[e.Router] = append(c.killed[e.Router], span{e.T, e.T})
		case record.Reaped:
			if list := c.killed[e.Router]; len(list) > 0 {
				list[len(list)-1].to = e.T
			}
		case record.Arrive:
			c.verdict.Attempts++
		}
	}
}

func (c *checker) addViolation(rule int, req, format string, args ...any) {
	timeline := slices.Clone(c.byClientReq[req])
	for request, r := range c.clientReqOf {
		if r == req {
			timeline = append(timeline, c.byEngineReq[request]...)
		}
	}
	slices.SortStableFunc(timeline, func(a, b record.Event) int {
		return cmp.Or(cmp.Compare(a.T, b.T), strings.Compare(a.Kind, b.Kind))
	})
	c.verdict.Violations = append(c.verdict.Violations, Violation{Rule: rule, Req: req, What: fmt.Sprintf(format, args...),
		Timeline: slices.Compact(timeline)})
}

// try is one try of a request, as its client saw it.
type try struct {
	opened float64 // when its session was opened
	offer  record.Event
	token  float64
	finals []record.Event
	lost   *record.Event
	after  *record.Event
}

func (c *checker) clientTries(events []record.Event) []*try {
	var list []*try
	find := func(n int) *try {
		for _, t := range list {
			if t.offer.Try == n {
				return t
			}
		}
		return nil
	}
	for _, e := range events {
		if e.Kind == record.Offer {
			list = append(list, &try{offer: e, token: -1, opened: c.opened[tryKey{e.Req, e.Try}]})
			continue
		}
		t := find(e.Try)
		if t == nil {
			continue
		}
		switch e.Kind {
		case record.Token:
			t.token = e.T
		case record.Final:
			t.finals = append(t.finals, e)
		case record.Lost:
			t.lost = &e
		case record.After:
			t.after = &e
		}
	}
	return list
}

// killedWithin reports whether a router was killed in a span of time.
func (c *checker) killedWithin(router string, from, to float64) bool {
	return slices.ContainsFunc(c.killed[router], func(k span) bool { return k.to >= from && k.from <= to })
}

// excusedLosses are losses that are not the router's fault: it was not running, its client disconnected, or it reported
// that it did not accept the try.
var excusedLosses = map[string]bool{"unreachable": true, "left": true, "not taken": true}

// checkFinalAnswers checks rule 1: each try at a running router has exactly one final answer, in time, and no data after it.
func (c *checker) checkFinalAnswers(req string, events []record.Event) {
	list := c.clientTries(events)
	if len(list) > 0 {
		c.verdict.Requests++
	}
	for _, t := range list {
		c.verdict.Tries++
		end := c.end
		if t.lost != nil {
			end = t.lost.T
		}
		excused := t.lost != nil && excusedLosses[t.lost.Note] || c.killedWithin(t.offer.Router, t.opened, end)
		switch {
		case len(t.finals) > 1:
			c.addViolation(1, req, "try %d has %d final answers", t.offer.Try, len(t.finals))
		case t.after != nil:
			c.addViolation(1, req, "try %d: data was sent after the final answer", t.offer.Try)
		case len(t.finals) == 0 && !excused:
			c.addViolation(1, req, "try %d has no final answer from router %s", t.offer.Try, t.offer.Router)
		case len(t.finals) == 1 && t.token < 0 && t.finals[0].T > t.offer.T+t.offer.N+c.cfg.AnswerMargin &&
			!c.killedWithin(t.offer.Router, t.offer.T, t.finals[0].T): // a suspended router can't answer
			c.addViolation(1, req, "try %d: the final answer came %.0f ms after the client's deadline", t.offer.Try,
				t.finals[0].T-t.offer.T-t.offer.N)
		}
	}
}

// rejections are the ends which prove that an attempt did not run.
var rejections = map[string]bool{"full": true, "no_state": true, "draining": true, "throttled": true}

// checkEffects checks rule 2: no effect happens twice, and unsafe work is retried or refused only when no attempt can
// have run.
func (c *checker) checkEffects(req string, events []record.Event) {
	class := c.cfg.Classes[classOf(events)]
	if class.Effect != Unsafe && class.Effect != Keyed {
		return
	}
	applied := 0
	for _, e := range events {
		if e.Kind == record.Apply {
			applied++
		}
	}
	if applied > 1 {
		c.addViolation(2, req, "the effect happened %d times", applied)
		return
	}
	c.checkRefusals(req, events, class)
	c.checkRepeats(req, events, class)
}

func classOf(events []record.Event) string {
	for _, e := range events {
		if e.Class != "" {
			return e.Class
		}
	}
	return ""
}

// checkRefusals checks that no attempt of a refused try took effect, before the refusal or after it.
func (c *checker) checkRefusals(req string, events []record.Event, class Class) {
	if class.Effect == Keyed && class.Group == "all" {
		return
	}
	refused := false
	for _, e := range events {
		switch e.Kind {
		case record.Offer:
			refused = false
		case record.Final:
			refused = e.Note == "refused"
		case record.Apply:
			if refused {
				c.addViolation(2, req, "the effect happened after the request was refused")
				return
			}
		}
	}
	for _, t := range c.clientTries(events) {
		for _, f := range t.finals {
			if f.Note == "refused" && slices.ContainsFunc(events, func(e record.Event) bool {
				return e.Kind == record.Apply && e.T >= t.offer.T && e.T <= f.T
			}) {
				c.addViolation(2, req, "try %d was refused although its effect had happened", t.offer.Try)
				return
			}
		}
	}
}

// checkRepeats checks that a repeat goes out only after the earlier attempts were rejected, or where repeats are dropped.
func (c *checker) checkRepeats(req string, events []record.Event, class Class) {
	type sent struct {
		at  record.Event
		end string
	}
	var list []*sent
	for _, e := range events {
		switch {
		case (e.Kind == record.Arrive || e.Kind == record.Swallow) && e.Note != "read": // one-stage work runs at readers as well
			if slices.ContainsFunc(list, func(s *sent) bool { return s.at.Who == e.Who && s.at.Key == e.Key }) {
				continue // swallowed before, arrived now
			}
			for _, s := range list {
				if !rejections[s.end] && !c.repeatDropped(class, s.at, e) {
					c.addViolation(2, req, "the request was sent again while the attempt at %s may have run", s.at.Who)
					return
				}
			}
			list = append(list, &sent{at: e})
		case e.Kind == record.End:
			for _, s := range list {
				if s.end == "" && s.at.Who == e.Who && s.at.Key == e.Key {
					s.end = e.Note
				}
			}
		}
	}
}

// repeatDropped reports whether a repeat reaches the deduplication group that drops it.
func (c *checker) repeatDropped(class Class, first, repeat record.Event) bool {
	if class.Effect != Keyed || repeat.T-first.T > class.Window {
		return false
	}
	a, b := c.cfg.Engines[first.Who], c.cfg.Engines[repeat.Who]
	switch class.Group {
	case "zone":
		return a.Zone == b.Zone
	case "cell":
		return a == b
	}
	return true
}

// checkDraining checks rule 3: an engine gets no new work later than the grace after its router was notified.
func (c *checker) checkDraining() {
	type pair struct{ router, engine string }
	notified, swallowed := map[pair]float64{}, map[string]bool{}
	for _, e := range c.events {
		switch e.Kind {
		case record.Told:
			p := pair{e.Router, e.Key}
			if _, known := notified[p]; e.Note == "ready" {
				delete(notified, p)
			} else if !known {
				notified[p] = e.T
			}
		case record.Killed: // a new process of the router has received no update yet
			for p := range notified {
				if p.router == e.Router {
					delete(notified, p)
				}
			}
		case record.Arrive, record.Swallow:
			if e.Kind == record.Arrive && swallowed[e.Who+" "+e.Key] {
				continue // it was sent when the engine swallowed it
			}
			swallowed[e.Who+" "+e.Key] = e.Kind == record.Swallow
			router, _ := splitKey(e.Key)
			if at, ok := notified[pair{router, e.Who}]; ok && e.T > at+c.cfg.DrainGrace {
				c.addViolation(3, e.Req, "%s got new work from %s %.0f ms after that router was notified that it drains or is gone",
					e.Who, router, e.T-at)
			}
		}
	}
}

// checkColdStart checks rule 4: no engine is overloaded during slow start.
func (c *checker) checkColdStart() {
	for _, e := range c.events {
		if e.Kind == record.Fell {
			c.addViolation(4, "", "%s fell over while cold at %.0f ms", e.Who, e.T)
		}
	}
}

// span is an interval of time, in ms.
type span struct{ from, to float64 }

// checkHolds checks rule 5: while no attempt of a request is in flight, what is held for it is taken or released in time.
func (c *checker) checkHolds() {
	c.findOutages()
	for _, request := range sortedKeys(c.byEngineReq) {
		events := c.byEngineReq[request]
		router, _ := splitKey(request + "-")
		until := c.end
		for _, k := range c.killed[router] {
			if k.to >= events[0].T {
				until = min(until, k.from) // a killed router can't release what it held
			}
		}
		inFlight := c.attemptSpans(events)
		for _, h := range c.holdSpans(events, until) {
			idle := longestIdle(h, inFlight)
			limit := c.cfg.PinLimit + c.cfg.ReleaseMargin
			if overlaps(c.dialFailures, idle) {
				limit += c.cfg.DialTimeouts
			}
			if idle := idle.to - idle.from; idle > limit {
				c.addViolation(5, c.clientReqOf[request], "a state or place was held for %.0f ms with no attempt in flight", idle)
				break
			}
		}
	}
}

// intervals returns the intervals of each engine from an event of one kind to the next event of the other kinds, or to
// the end of the records.
func (c *checker) intervals(begin string, ends ...string) map[string][]span {
	list, from := map[string][]span{}, map[string]float64{}
	for _, e := range c.events {
		at, open := from[e.Who]
		switch {
		case e.Kind == begin && !open:
			from[e.Who] = e.T
		case open && slices.Contains(ends, e.Kind):
			list[e.Who] = append(list[e.Who], span{at, e.T})
			delete(from, e.Who)
		}
	}
	for who, at := range from {
		list[who] = append(list[who], span{at, c.end})
	}
	return list
}

// findOutages collects the intervals in which engines were dead, frozen, or not accepting connections.
func (c *checker) findOutages() {
	c.dead = c.intervals(record.Dead, record.Started)
	for who, fell := range c.intervals(record.Fell, record.Started) {
		c.dead[who] = append(c.dead[who], fell...)
	}
	c.frozen = c.intervals(record.Frozen, record.Thawed, record.Dead, record.Fell)
	for _, m := range []map[string][]span{c.frozen, c.intervals(record.Jammed, record.Opened, record.Dead, record.Fell)} {
		for _, list := range m {
			c.dialFailures = append(c.dialFailures, list...)
		}
	}
}

func overlaps(list []span, s span) bool {
	return slices.ContainsFunc(list, func(j span) bool { return j.from < s.to && s.from < j.to })
}

// nextStart returns the start of the first interval that ends at t or later, but at least t; otherwise if there is none.
func nextStart(list []span, t, otherwise float64) float64 {
	for _, s := range list {
		if s.to >= t {
			otherwise = min(otherwise, max(s.from, t))
		}
	}
	return otherwise
}

// attemptSpans returns the intervals in which attempts were in flight.
func (c *checker) attemptSpans(events []record.Event) []span {
	var list []span
	for i, e := range events {
		if e.Kind != record.Arrive && e.Kind != record.Swallow {
			continue
		}
		s := span{e.T, c.end}
		for _, f := range events[i:] {
			if f.Kind == record.End && f.Who == e.Who && f.Key == e.Key {
				s.to = min(s.to, f.T)
				break
			}
		}
		s.to = min(s.to, nextStart(c.dead[e.Who], e.T, c.end))
		for _, freeze := range c.frozen[e.Who] { // an answer of a frozen engine has not been sent
			if freeze.from <= s.to && s.from <= freeze.to {
				s.to = max(s.to, freeze.to)
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b span) int {
		if a.from < b.from {
			return -1
		}
		return 1
	})
	return list
}

// holdSpans returns the intervals in which a state or place was held at engines that could release it.
func (c *checker) holdSpans(events []record.Event, until float64) []span {
	var list []span
	for i, e := range events {
		if e.Kind != record.Held {
			continue
		}
		s := span{e.T, nextStart(c.frozen[e.Who], e.T, nextStart(c.dead[e.Who], e.T, until))}
		for _, f := range events[i:] {
			if f.Kind == record.Freed && f.Who == e.Who && f.Key == e.Key && strings.HasPrefix(f.Note, e.Note+" ") {
				s.to = min(s.to, f.T)
				break
			}
		}
		list = append(list, s)
	}
	return list
}

// longestIdle returns the longest part of a hold in which no attempt was in flight.
func longestIdle(h span, inFlight []span) span {
	longest, at := span{}, h.from
	keep := func(s span) {
		if s.to-s.from > longest.to-longest.from {
			longest = s
		}
	}
	for _, a := range inFlight {
		if a.to < at {
			continue
		}
		if a.from > h.to {
			break
		}
		keep(span{at, a.from})
		at = max(at, a.to)
	}
	keep(span{at, h.to})
	return longest
}
