// Package rules judges the five rules from what was recorded at the sockets,
// and from nothing else: clients' records and stand-ins' records with one
// clock. Each break comes with its request's timeline.
package rules

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"gannethook/internal/record"
)

// Effects of classes, as the checker needs them.
const (
	Safe   = "safe"
	Keyed  = "keyed"
	Unsafe = "unsafe"
)

// Class is what a class promises.
type Class struct {
	Effect string
	Group  string  // of a keyed one: all, zone or cell
	Window float64 // ms
}

// Place is where an engine stands.
type Place struct {
	Zone string
	Cell int
}

// Config has the figures that the rules are judged by, in ms.
type Config struct {
	Classes map[string]Class
	Engines map[string]Place
	Slack   float64 // a final answer may be so late
	Grace   float64 // new work may reach a draining engine for so long after its router was told
	Pin     float64 // an idle state or place is let go by then
	PinSlop float64 // the way of the release
	Dials   float64 // what all dials of a request that time out may take: no socket shows these attempts
}

// Break is one rule broken.
type Break struct {
	Rule     int
	Req      string
	What     string
	Timeline []record.Event
}

func (b *Break) String() string { return fmt.Sprintf("rule %d, %s: %s", b.Rule, b.Req, b.What) }

// Write writes a break with its timeline.
func (b *Break) Write(w io.Writer) {
	fmt.Fprintln(w, b)
	for _, e := range b.Timeline {
		fmt.Fprintln(w, "   ", e)
	}
}

// Verdict is what the checker found.
type Verdict struct {
	Requests, Tries, Attempts int
	Breaks                    []Break
}

// Of counts the breaks of a rule.
func (v *Verdict) Of(rule int) int {
	n := 0
	for _, b := range v.Breaks {
		if b.Rule == rule {
			n++
		}
	}
	return n
}

// offered names a try.
type offered struct {
	req string
	try int
}

// checker holds the records in the orders that the rules ask for.
type checker struct {
	cfg    Config
	events []record.Event
	byReq  map[string][]record.Event
	byRead map[string][]record.Event // by what names a request at the engines
	reqOf  map[string]string         // from that to the client's request
	killed map[string][]span         // router: when, from the signal to its end
	opened map[offered]float64       // when the session of a try was opened
	dead   map[string][]span         // engine: from its death or fall to its next start
	frozen map[string][]span         // engine: while it let nothing pass
	jams   []span                    // while dials to some engine timed out
	last   float64
	v      *Verdict
}

// Check judges a whole recording.
func Check(cfg Config, events []record.Event) *Verdict {
	c := &checker{cfg: cfg, events: events, byReq: map[string][]record.Event{}, byRead: map[string][]record.Event{},
		reqOf: map[string]string{}, killed: map[string][]span{}, opened: map[offered]float64{}, v: &Verdict{}}
	c.sort()
	for _, req := range sorted(c.byReq) {
		c.ruleOne(req, c.byReq[req])
		c.ruleTwo(req, c.byReq[req])
	}
	c.ruleThree()
	c.ruleFour()
	c.ruleFive()
	slices.SortStableFunc(c.v.Breaks, func(a, b Break) int { return a.Rule - b.Rule })
	return c.v
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// cut takes a key apart: "router-boot-id-attempt".
func cut(key string) (router, request string) {
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

func (c *checker) sort() {
	sessions := map[string]float64{}
	for _, e := range c.events {
		c.last = max(c.last, e.T)
		if e.Req != "" {
			c.byReq[e.Req] = append(c.byReq[e.Req], e)
		}
		if e.Key != "" && e.Kind != record.Told {
			_, request := cut(e.Key)
			c.byRead[request] = append(c.byRead[request], e)
			if e.Req != "" {
				c.reqOf[request] = e.Req
			}
		}
		switch e.Kind {
		case record.Open:
			sessions[e.Who] = e.T
		case record.Offer:
			c.opened[offered{e.Req, e.Try}] = sessions[e.Who]
		case record.Killed:
			c.killed[e.Router] = append(c.killed[e.Router], span{e.T, e.T})
		case record.Reaped:
			if list := c.killed[e.Router]; len(list) > 0 {
				list[len(list)-1].to = e.T
			}
		case record.Arrive:
			c.v.Attempts++
		}
	}
}

func (c *checker) broken(rule int, req, format string, args ...any) {
	timeline := slices.Clone(c.byReq[req])
	for request, r := range c.reqOf {
		if r == req {
			timeline = append(timeline, c.byRead[request]...)
		}
	}
	slices.SortStableFunc(timeline, func(a, b record.Event) int {
		return cmp.Or(cmp.Compare(a.T, b.T), strings.Compare(a.Kind, b.Kind))
	})
	c.v.Breaks = append(c.v.Breaks, Break{Rule: rule, Req: req, What: fmt.Sprintf(format, args...),
		Timeline: slices.Compact(timeline)})
}

// try is one try of a request, as its client saw it.
type try struct {
	opened float64 // when its session was
	offer  record.Event
	token  float64
	finals []record.Event
	lost   *record.Event
	after  *record.Event
}

func (c *checker) tries(events []record.Event) []*try {
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
			list = append(list, &try{offer: e, token: -1, opened: c.opened[offered{e.Req, e.Try}]})
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

// died tells whether a router was killed in a span of time.
func (c *checker) died(router string, from, to float64) bool {
	return slices.ContainsFunc(c.killed[router], func(k span) bool { return k.to >= from && k.from <= to })
}

// excuses are the losses that a router does not answer for: it was not there,
// its client left, or it told that it did not take the try.
var excuses = map[string]bool{"unreachable": true, "left": true, "not taken": true}

// ruleOne: each try at a running router has exactly one final answer, in time, and nothing after it.
func (c *checker) ruleOne(req string, events []record.Event) {
	list := c.tries(events)
	if len(list) > 0 {
		c.v.Requests++
	}
	for _, t := range list {
		c.v.Tries++
		end := c.last
		if t.lost != nil {
			end = t.lost.T
		}
		excused := t.lost != nil && excuses[t.lost.Note] || c.died(t.offer.Router, t.opened, end)
		switch {
		case len(t.finals) > 1:
			c.broken(1, req, "try %d has %d final answers", t.offer.Try, len(t.finals))
		case t.after != nil:
			c.broken(1, req, "try %d: something was sent after the final answer", t.offer.Try)
		case len(t.finals) == 0 && !excused:
			c.broken(1, req, "try %d has no final answer from router %s", t.offer.Try, t.offer.Router)
		case len(t.finals) == 1 && t.token < 0 && t.finals[0].T > t.offer.T+t.offer.N+c.cfg.Slack &&
			!c.died(t.offer.Router, t.offer.T, t.finals[0].T): // stopped in its tracks, it can't answer
			c.broken(1, req, "try %d: the final answer came %.0f ms after its client gave up", t.offer.Try,
				t.finals[0].T-t.offer.T-t.offer.N)
		}
	}
}

// proven are the ends that prove that an attempt did not run.
var proven = map[string]bool{"full": true, "no_state": true, "draining": true, "throttled": true}

// ruleTwo: no effect twice; unsafe goes again, or is refused, only when no attempt can have run.
func (c *checker) ruleTwo(req string, events []record.Event) {
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
		c.broken(2, req, "its effect happened %d times", applied)
		return
	}
	c.refusals(req, events, class)
	c.repeats(req, events, class)
}

func classOf(events []record.Event) string {
	for _, e := range events {
		if e.Class != "" {
			return e.Class
		}
	}
	return ""
}

// refusals: where a try was refused, nothing of it ran, then or later.
func (c *checker) refusals(req string, events []record.Event, class Class) {
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
				c.broken(2, req, "its effect happened after it was refused")
				return
			}
		}
	}
	for _, t := range c.tries(events) {
		for _, f := range t.finals {
			if f.Note == "refused" && slices.ContainsFunc(events, func(e record.Event) bool {
				return e.Kind == record.Apply && e.T >= t.offer.T && e.T <= f.T
			}) {
				c.broken(2, req, "try %d was refused although its effect had happened", t.offer.Try)
				return
			}
		}
	}
}

// repeats: attempts at writers come one after the other's proof, or where repeats are dropped.
func (c *checker) repeats(req string, events []record.Event, class Class) {
	type sent struct {
		at  record.Event
		end string
	}
	var list []*sent
	for _, e := range events {
		switch {
		case (e.Kind == record.Arrive || e.Kind == record.Swallow) && e.Note != "read": // one-stage work runs where it is read
			if slices.ContainsFunc(list, func(s *sent) bool { return s.at.Who == e.Who && s.at.Key == e.Key }) {
				continue // swallowed first, and now it has come in
			}
			for _, s := range list {
				if !proven[s.end] && !c.dropped(class, s.at, e) {
					c.broken(2, req, "a writer got it again while the attempt at %s may have run", s.at.Who)
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

// dropped tells whether a repeat falls to a group that drops it.
func (c *checker) dropped(class Class, first, again record.Event) bool {
	if class.Effect != Keyed || again.T-first.T > class.Window {
		return false
	}
	a, b := c.cfg.Engines[first.Who], c.cfg.Engines[again.Who]
	switch class.Group {
	case "zone":
		return a.Zone == b.Zone
	case "cell":
		return a == b
	}
	return true
}

// ruleThree: nothing new goes to an engine later than the grace after its router was told.
func (c *checker) ruleThree() {
	type pair struct{ router, engine string }
	told, swallowed := map[pair]float64{}, map[string]bool{}
	for _, e := range c.events {
		switch e.Kind {
		case record.Told:
			p := pair{e.Router, e.Key}
			if _, known := told[p]; e.Note == "ready" {
				delete(told, p)
			} else if !known {
				told[p] = e.T
			}
		case record.Killed: // a new life has learned nothing yet
			for p := range told {
				if p.router == e.Router {
					delete(told, p)
				}
			}
		case record.Arrive, record.Swallow:
			if e.Kind == record.Arrive && swallowed[e.Who+" "+e.Key] {
				continue // it was sent before it could be taken in
			}
			swallowed[e.Who+" "+e.Key] = e.Kind == record.Swallow
			router, _ := cut(e.Key)
			if at, ok := told[pair{router, e.Who}]; ok && e.T > at+c.cfg.Grace {
				c.broken(3, e.Req, "%s got new work from %s %.0f ms after that was told that it drains or is gone",
					e.Who, router, e.T-at)
			}
		}
	}
}

// ruleFour: no cold engine is pushed over.
func (c *checker) ruleFour() {
	for _, e := range c.events {
		if e.Kind == record.Fell {
			c.broken(4, "", "%s fell over while cold at %.0f ms", e.Who, e.T)
		}
	}
}

// span is a stretch of time.
type span struct{ from, to float64 }

// ruleFive: while no attempt of a request is out, what is held for it is taken or let go in time.
func (c *checker) ruleFive() {
	c.find()
	for _, request := range sorted(c.byRead) {
		events := c.byRead[request]
		router, _ := cut(request + "-")
		until := c.last
		for _, k := range c.killed[router] {
			if k.to >= events[0].T {
				until = min(until, k.from) // what a killed router held is not its to let go
			}
		}
		out := c.attempts(events)
		for _, h := range c.holds(events, until) {
			idle := longestIdle(h, out)
			most := c.cfg.Pin + c.cfg.PinSlop
			if overlaps(c.jams, idle) {
				most += c.cfg.Dials
			}
			if idle := idle.to - idle.from; idle > most {
				c.broken(5, c.reqOf[request], "something was held for %.0f ms with no attempt out", idle)
				break
			}
		}
	}
}

// between are the stretches of each engine from an event of one kind to the
// next of the others, or to the end of the records.
func (c *checker) between(begin string, ends ...string) map[string][]span {
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
		list[who] = append(list[who], span{at, c.last})
	}
	return list
}

// find gathers when engines were dead, let nothing pass, or could not be dialled.
func (c *checker) find() {
	c.dead = c.between(record.Dead, record.Started)
	for who, fell := range c.between(record.Fell, record.Started) {
		c.dead[who] = append(c.dead[who], fell...)
	}
	c.frozen = c.between(record.Frozen, record.Thawed, record.Dead, record.Fell)
	for _, m := range []map[string][]span{c.frozen, c.between(record.Jammed, record.Opened, record.Dead, record.Fell)} {
		for _, list := range m {
			c.jams = append(c.jams, list...)
		}
	}
}

func overlaps(list []span, s span) bool {
	return slices.ContainsFunc(list, func(j span) bool { return j.from < s.to && s.from < j.to })
}

// next is when the first stretch that is not over at t begins, t at the earliest.
func next(list []span, t, otherwise float64) float64 {
	for _, s := range list {
		if s.to >= t {
			otherwise = min(otherwise, max(s.from, t))
		}
	}
	return otherwise
}

// attempts are the stretches in which attempts were out.
func (c *checker) attempts(events []record.Event) []span {
	var list []span
	for i, e := range events {
		if e.Kind != record.Arrive && e.Kind != record.Swallow {
			continue
		}
		s := span{e.T, c.last}
		for _, f := range events[i:] {
			if f.Kind == record.End && f.Who == e.Who && f.Key == e.Key {
				s.to = min(s.to, f.T)
				break
			}
		}
		s.to = min(s.to, next(c.dead[e.Who], e.T, c.last))
		for _, ice := range c.frozen[e.Who] { // what a frozen engine answers has not left it
			if ice.from <= s.to && s.from <= ice.to {
				s.to = max(s.to, ice.to)
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

// holds are the stretches in which something was held at engines that could let it go.
func (c *checker) holds(events []record.Event, until float64) []span {
	var list []span
	for i, e := range events {
		if e.Kind != record.Held {
			continue
		}
		s := span{e.T, next(c.frozen[e.Who], e.T, next(c.dead[e.Who], e.T, until))}
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

// longestIdle is the longest stretch of a hold in which no attempt was out.
func longestIdle(h span, out []span) span {
	longest, at := span{}, h.from
	keep := func(s span) {
		if s.to-s.from > longest.to-longest.from {
			longest = s
		}
	}
	for _, a := range out {
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
