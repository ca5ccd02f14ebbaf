package gannethook

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// Figures of the rules that a router needs not be told.
const drainGrace, answerSlack = 500, 16

// book checks a router's actions against the five rules over a random legal event stream.
type book struct {
	t       *testing.T
	set     Settings
	now     Millis
	reqs    map[RequestID]*item
	order   []RequestID
	servers map[ServerID]Server
	told    map[ServerID]Millis // when the router learned that a server drains or is gone
	wakes   []Wakeup
	due     []Millis
	log     []string
}

type item struct {
	class, sent    int
	deadline, idle Millis
	out            map[int]ServerID // attempts out
	reads          map[int]bool
	mayRan, holds  bool
	done, stream   bool
}

func (b *book) fault(rule string, id RequestID) {
	b.t.Helper()
	b.t.Fatalf("rule broken at %v: %s, request %d (class %d)\n%v", b.now, rule, id, b.reqs[id].class, b.log[max(0, len(b.log)-12):])
}

// take carries out actions and checks rules 1 to 3 and 5 as they come.
func (b *book) take(acts []Action) {
	b.t.Helper()
	for _, a := range acts {
		b.log = append(b.log, fmt.Sprintf("%v %T%v", b.now, a, a))
		switch a := a.(type) {
		case Wake:
			b.wakes, b.due = append(b.wakes, Wakeup{Ref: a.Ref}), append(b.due, b.now+a.In)
		case Send:
			b.send(a)
		case Hold:
			b.drained(a.ID, a.Server)
			b.reqs[a.ID].holds = true
		case Release:
			b.reqs[a.ID].holds = false
		case Refuse:
			it := b.reqs[a.ID]
			effect := b.set.Classes[it.class]
			if effect.Effect != Safe && !(effect.Effect == Keyed && effect.Group == GroupAll) && (it.mayRan || len(it.out) > 0) {
				b.fault("refused though it may have run", a.ID)
			}
			b.final(a.ID)
		case Fail:
			b.final(a.ID)
		}
	}
}

func (b *book) drained(id RequestID, s ServerID) {
	if at, ok := b.told[s]; ok && b.now > at+drainGrace {
		b.fault("sent to a draining server", id)
	}
}

func (b *book) send(a Send) {
	it := b.reqs[a.ID]
	b.drained(a.ID, a.Server)
	reads := b.set.Kinds[b.servers[a.Server].Kind].Role == Reader
	switch {
	case it.done:
		b.fault("sent after its end", a.ID)
	case len(it.out) > 0:
		b.fault("two attempts out", a.ID)
	case it.mayRan && b.set.Classes[it.class].Effect == Unsafe:
		b.fault("an unsafe request sent again", a.ID)
	case it.sent >= b.set.MaxAttempts:
		b.fault("too many attempts", a.ID)
	}
	it.out[it.sent], it.reads[it.sent] = a.Server, reads
	it.sent++
}

func (b *book) final(id RequestID) {
	if b.reqs[id].done {
		b.fault("two answers", id)
	}
	if b.now > b.reqs[id].deadline+answerSlack {
		b.fault("answered late", id)
	}
	b.reqs[id].done = true
}

// overdue checks rules 1 and 5 as time passes.
func (b *book) overdue() {
	for _, id := range b.order {
		it := b.reqs[id]
		if !it.done && !it.stream && b.now > it.deadline+answerSlack {
			b.fault("no answer", id)
		}
		if it.holds && len(it.out) == 0 && b.now > it.idle+b.set.PinLimit {
			b.fault("pinned", id)
		}
	}
}

// next makes one random legal event.
func (b *book) next(rng *rand.Rand, n int) Event {
	var live []RequestID
	for _, id := range b.order {
		if len(b.reqs[id].out) > 0 {
			live = append(live, id)
		}
	}
	switch k := rng.IntN(20); {
	case k < 6 || len(live) == 0 && k < 18:
		id := RequestID(n + 1)
		budget := Millis(20 + rng.IntN(3000))
		b.reqs[id] = &item{class: rng.IntN(len(b.set.Classes)), deadline: b.now + budget, idle: b.now,
			out: map[int]ServerID{}, reads: map[int]bool{}}
		b.order = append(b.order, id)
		return Request{ID: id, Class: b.reqs[id].class, Session: Key(rng.IntN(9)), Prefix: Key(rng.IntN(3)),
			Budget: budget, Prompt: float64(rng.IntN(9000)), MaxOut: 200}
	case k < 18:
		return b.progress(rng, live[rng.IntN(len(live))])
	}
	return b.relist(rng)
}

// progress moves on an attempt that is out.
func (b *book) progress(rng *rand.Rand, id RequestID) Event {
	it := b.reqs[id]
	var ns []int
	for n := range it.out {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	n := ns[0]
	s := it.out[n]
	if it.reads[n] && rng.IntN(3) == 0 {
		return Held{ID: id, Attempt: n, OK: rng.IntN(2) == 0}
	}
	if !it.reads[n] && !it.stream && !it.done && rng.IntN(3) == 0 {
		it.stream, it.holds = true, false
		return Streaming{ID: id, Attempt: n, Server: s}
	}
	delete(it.out, n)
	it.idle = b.now
	o := Outcome(1 + rng.IntN(int(UnknownEnd)))
	if it.reads[n] && o == Served {
		o = ReadDone
	} else if !it.reads[n] && o == ReadDone {
		o = Served
	}
	switch o {
	case ReadDone:
		it.holds = true
	case Failed, TimedOut, Broken, Cancelled, UnknownEnd:
		it.mayRan = it.mayRan || !it.reads[n]
	}
	done := it.done || it.stream || o == Served
	it.done = done
	return Ended{ID: id, Attempt: n, Server: s, Outcome: o, Done: done, NoState: o == Full && rng.IntN(2) == 0}
}

// relist changes one server.
func (b *book) relist(rng *rand.Rand) Event {
	ids := make([]ServerID, 0, len(b.servers))
	for id := range b.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	s := b.servers[ids[rng.IntN(len(ids))]]
	s.State = ServerState(1 + rng.IntN(3))
	if s.State == Ready {
		s.Since = b.now
		delete(b.told, s.ID)
	} else if _, ok := b.told[s.ID]; !ok {
		b.told[s.ID] = b.now
	}
	return Membership{Servers: []Server{s}}
}

// play runs one random day and returns every action.
func play(t *testing.T, seed uint64, set Settings) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	r, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	b := &book{t: t, set: set, now: 1e6, reqs: map[RequestID]*item{}, servers: map[ServerID]Server{},
		told: map[ServerID]Millis{}}
	var list []Server
	for i := range 9 {
		s := at(fmt.Sprint("s", i), i%3, i%2, i%4)
		list = append(list, s)
		b.servers[s.ID] = s
	}
	var all []Action
	hand := func(ev Event) {
		b.log = append(b.log, fmt.Sprintf("%v in %T%v", b.now, ev, ev))
		acts := r.Handle(b.now, ev)
		all = append(all, acts...)
		b.take(acts)
	}
	hand(Membership{Whole: true, Servers: list})
	for n := range 1500 {
		b.now += set.Quantum * Millis(1+rng.IntN(5))
		for i := 0; i < len(b.due); {
			if b.due[i] > b.now {
				i++
				continue
			}
			w := b.wakes[i]
			b.wakes, b.due = slices.Delete(b.wakes, i, i+1), slices.Delete(b.due, i, i+1)
			hand(w)
		}
		hand(b.next(rng, n))
		b.overdue()
		for id, q := range r.requests {
			if !q.ended && !q.streaming && len(q.inFlight) == 0 && !slices.Contains(r.waiting, q) {
				t.Fatalf("request %d is held back: no attempt out, not waiting for a server, no answer", id)
			}
		}
	}
	for id, q := range r.requests {
		if q.ended && len(q.inFlight) == 0 {
			t.Errorf("request %d is kept though ended", id)
		}
	}
	return all
}

// TestRandomStreams checks seeded legal event streams against the rules, and that they repeat.
func TestRandomStreams(t *testing.T) {
	for name, set := range map[string]Settings{
		"plain":        fleet(),
		"no cancel":    fleet(func(s *Settings) { s.Cancel = false }),
		"no holds":     fleet(func(s *Settings) { s.Holds = false }),
		"writers read": fleet(func(s *Settings) { s.WritersRead = true }),
		"asked":        fleet(func(s *Settings) { s.AskDiscovery = true }),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				if !reflect.DeepEqual(play(t, seed, set), play(t, seed, set)) {
					t.Fatalf("seed %d: the same events gave other actions", seed)
				}
			}
		})
	}
}
