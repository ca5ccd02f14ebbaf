// Package idempotency decides what becomes of a request whose client names it by an
// idempotency key: whether an attempt may start, or whether an earlier one may
// have run. It guards rule 2 where the module can't see it: a client that tries
// again on another session, here or at another router, is a new request to the
// module. It has no I/O and no clock.
package idempotency

import (
	"container/list"
	"time"

	"gannethook"
)

// Verdict tells what to do with a request.
type Verdict int

// The verdicts.
const (
	Proceed    Verdict = iota + 1 // nothing of it can have run, or a repeat is dropped
	InProgress                    // an earlier try is still open here: it gets the answer, this one fails
	MayHaveRun                    // an earlier try was served, or may have run: this one fails
	Unknown                       // a repeat of a try at another router, or one from before a restart: fails
	TableFull                     // too many keys are remembered: refused, nothing has run
)

func (v Verdict) String() string {
	return [...]string{"", "go", "open", "ran", "unknown", "full"}[v]
}

// Scope is a key within its tenant and class: clients of one can't touch another's.
type Scope struct {
	Tenant, Class int
	Key           string
}

type entry struct {
	name  Scope
	open  bool
	ran   bool          // a try may have run
	first time.Duration // when the first try that may have run began
	at    time.Duration // when the last one ended
}

// Table remembers the keys of open requests and, for a time, of those that may
// have run. A request that is known not to have run is forgotten at once.
type Table struct {
	remember time.Duration
	most     int
	entries  map[Scope]*list.Element
	ended    *list.List // oldest first
}

// New returns an empty table that remembers what may have run for a time, and so many keys at most.
func New(remember time.Duration, most int) *Table {
	return &Table{remember: remember, most: most, entries: map[Scope]*list.Element{}, ended: list.New()}
}

// Len is how many keys are remembered.
func (t *Table) Len() int { return len(t.entries) }

// Begin decides for a request of a class. On Proceed the key is open until End.
// retry tells that the client marks it as a repeat of a try whose end it does
// not know. Times only increase.
func (t *Table) Begin(now time.Duration, n Scope, class *gannethook.Class, retry bool) Verdict {
	if class.Effect == gannethook.Safe || n.Key == "" && !retry {
		return Proceed
	}
	t.expire(now)
	// Guards rule 2: the engines of the group drop repeats, wherever they come from, so a repeat may pass. A
	// narrower group may not hold the server that the module will choose now. Harms nothing: it fails, and
	// promises nothing.
	dropped := class.Effect == gannethook.Keyed && class.Group == gannethook.GroupAll
	el := t.entries[n]
	if el != nil && now-el.Value.(*entry).first > time.Duration(float64(class.Window)*1e6) {
		dropped = false // the engines remember it no longer
	}
	switch {
	case n.Key == "":
		return Unknown // a repeat without a name can't be told from a first try
	case el != nil && el.Value.(*entry).open:
		return InProgress
	case el != nil && !dropped:
		return MayHaveRun
	case el == nil && retry && !dropped:
		return Unknown
	case el == nil && len(t.entries) >= t.most:
		// Guards rule 2 with a bounded table: to forget a key that may have run would let it run again.
		// Harms clients in a flood of failing keyed requests: they are refused until keys expire.
		return TableFull
	}
	e := &entry{name: n, first: now}
	if el != nil {
		e = t.ended.Remove(el).(*entry)
	}
	e.open = true
	t.entries[n] = &list.Element{Value: e}
	return Proceed
}

// End closes an open key. mayHaveRun tells whether an attempt may have had its effect.
func (t *Table) End(now time.Duration, n Scope, mayHaveRun bool) {
	el := t.entries[n]
	if el == nil || !el.Value.(*entry).open {
		return
	}
	e := el.Value.(*entry)
	e.open, e.ran, e.at = false, e.ran || mayHaveRun, now
	if !e.ran {
		delete(t.entries, n)
		return
	}
	t.entries[n] = t.ended.PushBack(e)
}

// expire forgets what ended too long ago for its client to come back.
func (t *Table) expire(now time.Duration) {
	for el := t.ended.Front(); el != nil; el = t.ended.Front() {
		e := el.Value.(*entry)
		if now-e.at < t.remember {
			return
		}
		t.ended.Remove(el)
		delete(t.entries, e.name)
	}
}
