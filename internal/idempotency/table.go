// Package idempotency decides whether a request with an idempotency key may start, or whether an earlier attempt with
// the same key may have run. It guards rule 2 (a request that is unsafe to repeat never runs twice) where the decision
// module can't: to the module, a client's retry on another session or at another router is a new request. It does no
// I/O and has no clock: each call passes the time.
package idempotency

import (
	"container/list"
	"time"

	"gannethook"
)

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	Proceed    Verdict = iota + 1 // no earlier attempt can have run, or the engines drop the repeat
	InProgress                    // an earlier attempt is still open here and gets the answer: this one fails
	MayHaveRun                    // an earlier attempt was served or may have run: this one fails
	Unknown                       // a repeat of an attempt at another router, or from before a restart: fails
	TableFull                     // too many keys are stored: refused, nothing has run
)

func (v Verdict) String() string {
	return [...]string{"", "go", "open", "ran", "unknown", "full"}[v]
}

// Scope is a key within its tenant and class, which keeps the keys of tenants and classes apart.
type Scope struct {
	Tenant, Class int
	Key           string
}

type entry struct {
	scope      Scope
	open       bool          // an attempt is open
	mayHaveRun bool          // an attempt may have run
	firstStart time.Duration // when the first attempt that may have run started
	endedAt    time.Duration // when the last attempt ended
}

// Table stores the keys of open requests and, for the retention period, of those that may have run. The key of a
// request that did not run is removed at once. It is not safe for concurrent use.
type Table struct {
	retention time.Duration
	maxKeys   int
	entries   map[Scope]*list.Element
	ended     *list.List // entries that are not open, oldest first
}

// New returns an empty table with a retention period for requests that may have run and a maximum number of keys.
func New(retention time.Duration, maxKeys int) *Table {
	return &Table{retention: retention, maxKeys: maxKeys, entries: map[Scope]*list.Element{}, ended: list.New()}
}

// Len returns the number of stored keys.
func (t *Table) Len() int { return len(t.entries) }

// Begin decides on a request of a class. On Proceed the key is open until End. retry reports that the client marks the
// request as a repeat of an attempt whose outcome it doesn't know. Times never decrease.
func (t *Table) Begin(now time.Duration, scope Scope, class *gannethook.Class, retry bool) Verdict {
	if class.Effect == gannethook.Safe || scope.Key == "" && !retry {
		return Proceed
	}
	t.expire(now)
	// Guards rule 2: if the engines of all servers deduplicate, a repeat may pass, from wherever it comes. A narrower
	// group may not include the server that the module chooses now. The cost is small: such a repeat fails without a
	// promise that it did not run.
	deduplicated := class.Effect == gannethook.Keyed && class.Group == gannethook.GroupAll
	el := t.entries[scope]
	if el != nil && now-el.Value.(*entry).firstStart > time.Duration(float64(class.Window)*1e6) {
		deduplicated = false // the engines' deduplication window is over
	}
	switch {
	case scope.Key == "":
		return Unknown // without a key it can't be known whether the earlier attempt ran
	case el != nil && el.Value.(*entry).open:
		return InProgress
	case el != nil && !deduplicated:
		return MayHaveRun
	case el == nil && retry && !deduplicated:
		return Unknown
	case el == nil && len(t.entries) >= t.maxKeys:
		// Guards rule 2 with a bounded table: evicting a key that may have run would let it run again. The cost:
		// clients are refused during a flood of failing requests with keys, until keys expire.
		return TableFull
	}
	e := &entry{scope: scope, firstStart: now}
	if el != nil {
		e = t.ended.Remove(el).(*entry)
	}
	e.open = true
	t.entries[scope] = &list.Element{Value: e}
	return Proceed
}

// End closes an open key. mayHaveRun reports whether the attempt may have had its effect.
func (t *Table) End(now time.Duration, scope Scope, mayHaveRun bool) {
	el := t.entries[scope]
	if el == nil || !el.Value.(*entry).open {
		return
	}
	e := el.Value.(*entry)
	e.open, e.mayHaveRun, e.endedAt = false, e.mayHaveRun || mayHaveRun, now
	if !e.mayHaveRun {
		delete(t.entries, scope)
		return
	}
	t.entries[scope] = t.ended.PushBack(e)
}

// expire removes the keys whose retention period is over.
func (t *Table) expire(now time.Duration) {
	for el := t.ended.Front(); el != nil; el = t.ended.Front() {
		e := el.Value.(*entry)
		if now-e.endedAt < t.retention {
			return
		}
		t.ended.Remove(el)
		delete(t.entries, e.scope)
	}
}
