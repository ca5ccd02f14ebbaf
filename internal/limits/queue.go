package limits

import (
	"container/heap"
	"slices"
	"time"
)

// Item is work that waits.
type Item struct {
	ID       uint64
	Tenant   int
	Size     float64       // cost, in any unit above 0
	Worth    float64       // what is worth least is pushed out first
	Priority int           // within its tenant: the higher first
	Deadline time.Duration // it is of no use after it
	due      int           // place in the heap of deadlines
}

// lane is one tenant's items: by priority, then in order of coming.
type lane struct {
	tenant  int
	weight  float64
	items   []*Item
	start   float64 // virtual time at which the first item begins
	waiting float64 // size of the items, for its weight
	turn    int     // place in the heap of turns
	load    int     // and in that of loads
}

func (l *lane) finish() float64 { return l.start + l.items[0].Size/l.weight }

// turns has the lane whose first item ends first on top; equals by tenant.
type turns []*lane

func (h turns) Len() int { return len(h) }
func (h turns) Less(i, j int) bool {
	a, b := h[i].finish(), h[j].finish()
	return a < b || a == b && h[i].tenant < h[j].tenant
}
func (h turns) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].turn, h[j].turn = i, j }
func (h *turns) Push(x any)   { l := x.(*lane); l.turn = len(*h); *h = append(*h, l) }
func (h *turns) Pop() any     { return pop((*[]*lane)(h)) }

// loads has the lane that waits with most work for its weight on top.
type loads []*lane

func (h loads) Len() int { return len(h) }
func (h loads) Less(i, j int) bool {
	return h[i].waiting > h[j].waiting || h[i].waiting == h[j].waiting && h[i].tenant < h[j].tenant
}
func (h loads) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].load, h[j].load = i, j }
func (h *loads) Push(x any)   { l := x.(*lane); l.load = len(*h); *h = append(*h, l) }
func (h *loads) Pop() any     { return pop((*[]*lane)(h)) }

// dues has the item whose deadline is first on top; equals by id.
type dues []*Item

func (h dues) Len() int { return len(h) }
func (h dues) Less(i, j int) bool {
	return h[i].Deadline < h[j].Deadline || h[i].Deadline == h[j].Deadline && h[i].ID < h[j].ID
}
func (h dues) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].due, h[j].due = i, j }
func (h *dues) Push(x any)   { it := x.(*Item); it.due = len(*h); *h = append(*h, it) }
func (h *dues) Pop() any     { return pop((*[]*Item)(h)) }

func pop[T any](h *[]*T) *T {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}

// Queue is weighted fair queueing between tenants: over any time in which two
// wait, each gets work done in proportion to its weight, whatever either asks for.
// Within a tenant the higher priority comes first, then the earlier. It holds so
// many items at most. Each call takes time in the logarithm of what waits, and in
// the items of one tenant where an item is taken out of the middle.
type Queue struct {
	most   int
	weight func(tenant int) float64 // 1 where it gives none above 0
	lanes  map[int]*lane            // of tenants that wait
	turns  turns
	loads  loads
	dues   dues
	last   map[int]float64 // virtual end of the last item of tenants that owe for it
	now    float64         // virtual time: the start of what was taken last
	size   float64         // of all items
	shares float64         // sum of the weights of tenants that wait

	// Credit is how much work, for its weight, a tenant saves up that asks for less than its share: its next comes
	// so much earlier in the turns. Guards tenants near their share, whose requests come by chance: without it each
	// bunch of two or three waits as if its tenant had asked for too much. Harms others by so much once.
	Credit float64
}

// NewQueue returns an empty queue.
func NewQueue(most int, weight func(tenant int) float64) *Queue {
	return &Queue{most: most, weight: weight, lanes: map[int]*lane{}, last: map[int]float64{}}
}

// Len is how many items wait.
func (q *Queue) Len() int { return len(q.dues) }

func (q *Queue) weightOf(tenant int) float64 {
	if w := q.weight(tenant); w > 0 {
		return w
	}
	return 1
}

// Add has an item wait. When the queue is full it pushes one out, which may be
// the item itself, and returns it: work of a tenant that waits with most for
// its weight, of the least worth there, the last to come of equals.
func (q *Queue) Add(it Item) (out *Item) {
	q.push(&it)
	return q.surplus()
}

// surplus takes one item out if there are too many.
func (q *Queue) surplus() *Item {
	if q.Len() <= q.most {
		return nil
	}
	l := q.loads[0]
	i := l.cheapest()
	x := l.items[i]
	q.take(l, i)
	return x
}

func (q *Queue) push(x *Item) {
	heap.Push(&q.dues, x)
	q.size += x.Size
	if l := q.lanes[x.Tenant]; l != nil {
		l.insert(x)
		l.waiting += x.Size / l.weight
		heap.Fix(&q.loads, l.load)
		heap.Fix(&q.turns, l.turn)
		return
	}
	l := &lane{tenant: x.Tenant, weight: q.weightOf(x.Tenant), items: []*Item{x}, start: q.begins(x.Tenant)}
	l.waiting = x.Size / l.weight
	q.shares += l.weight
	q.lanes[x.Tenant] = l
	heap.Push(&q.turns, l)
	heap.Push(&q.loads, l)
}

// begins is when a tenant's next item begins, if none of it waits.
func (q *Queue) begins(tenant int) float64 {
	last, owes := q.last[tenant]
	if !owes {
		return q.now - q.Credit
	}
	return max(q.now-q.Credit, last)
}

func (l *lane) insert(x *Item) {
	i := len(l.items)
	for i > 0 && l.items[i-1].Priority < x.Priority {
		i--
	}
	l.items = slices.Insert(l.items, i, x)
}

func (l *lane) cheapest() int {
	worst := len(l.items) - 1
	for i, x := range l.items {
		if x.Worth < l.items[worst].Worth {
			worst = i
		}
	}
	return worst
}

// Remove takes an item out that waits no longer, as when its client left.
func (q *Queue) Remove(tenant int, id uint64) bool {
	l := q.lanes[tenant]
	if l == nil {
		return false
	}
	i := slices.IndexFunc(l.items, func(x *Item) bool { return x.ID == id })
	if i >= 0 {
		q.take(l, i)
	}
	return i >= 0
}

// take takes an item out as if it had never come: its tenant's next begins no later.
func (q *Queue) take(l *lane, i int) {
	x := l.items[i]
	heap.Remove(&q.dues, x.due)
	q.size -= x.Size
	l.waiting -= x.Size / l.weight
	if len(l.items) > 1 {
		l.items = slices.Delete(l.items, i, i+1)
		heap.Fix(&q.turns, l.turn)
		heap.Fix(&q.loads, l.load)
		return
	}
	heap.Remove(&q.turns, l.turn)
	heap.Remove(&q.loads, l.load)
	delete(q.lanes, l.tenant)
	q.shares -= l.weight
	if q.last[l.tenant] = l.start; len(q.last) > 64+2*len(q.lanes) {
		q.forget()
	}
}

// forget drops what is owed no longer.
func (q *Queue) forget() {
	for tenant, at := range q.last {
		if at <= q.now-q.Credit {
			delete(q.last, tenant)
		}
	}
}

// Next takes the item whose turn it is; nil where none waits.
func (q *Queue) Next() *Item {
	if q.Len() == 0 {
		return nil
	}
	l := q.turns[0]
	x := l.items[0]
	q.now = max(q.now, l.start)
	l.start += x.Size / l.weight
	q.take(l, 0)
	if q.Len() == 0 { // nobody is owed anything
		q.now, q.size, q.shares = 0, 0, 0
		clear(q.last)
	}
	return x
}

// Ahead is the most work that is done before an item of a tenant that came now:
// all that waits, or as much for each other as for the tenant itself, but for what
// the tenant has saved up.
func (q *Queue) Ahead(tenant int) float64 {
	l := q.lanes[tenant]
	if l == nil {
		return min(q.size, max(q.begins(tenant)-q.now, 0)*(q.shares+q.weightOf(tenant)))
	}
	return min(q.size, max(l.waiting*l.weight, (l.start+l.waiting-q.now)*q.shares))
}

// Due is when the next item is late.
func (q *Queue) Due() (time.Duration, bool) {
	if q.Len() == 0 {
		return 0, false
	}
	return q.dues[0].Deadline, true
}

// Late takes an item out that is past its deadline, the first one first; nil where there is none.
func (q *Queue) Late(now time.Duration) *Item {
	if at, some := q.Due(); !some || at > now {
		return nil
	}
	x := q.dues[0]
	q.Remove(x.Tenant, x.ID)
	return x
}

// Limit changes how many items may wait and takes out those that are too many;
// weights are looked up anew.
func (q *Queue) Limit(most int) (out []*Item) {
	q.most, q.shares = most, 0
	for _, l := range q.lanes {
		was := l.weight
		l.weight = q.weightOf(l.tenant)
		l.waiting *= was / l.weight
		q.shares += l.weight
	}
	heap.Init(&q.turns)
	heap.Init(&q.loads)
	for x := q.surplus(); x != nil; x = q.surplus() {
		out = append(out, x)
	}
	return out
}

// Select lists the items that a test picks, by deadline; they wait on.
func (q *Queue) Select(pick func(id uint64) bool) (list []*Item) {
	for _, x := range q.dues {
		if pick(x.ID) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *Item) int {
		if a.Deadline != b.Deadline {
			return int(a.Deadline - b.Deadline)
		}
		return int(a.ID) - int(b.ID)
	})
	return list
}
