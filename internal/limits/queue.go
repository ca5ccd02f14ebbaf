package limits

import (
	"cmp"
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
	Deadline time.Duration // it is of no use after it
	finish   float64       // virtual time at which it would end at its tenant's share
}

// lane is one tenant's items, in order of coming.
type lane struct {
	tenant  int
	weight  float64
	items   []*Item
	waiting float64 // size of the items, for its weight
	turn    int     // place in the heap of turns
	load    int     // and in that of loads
}

// turns has the lane whose first item is due first on top; equals by tenant.
type turns []*lane

func (h turns) Len() int { return len(h) }
func (h turns) Less(i, j int) bool {
	a, b := h[i].items[0].finish, h[j].items[0].finish
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

func pop(h *[]*lane) *lane {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return l
}

// Queue is weighted fair queueing between tenants: over any time in which two
// wait, each gets work done in proportion to its weight, whatever either asks for.
// Within a tenant the earlier comes first. It holds so many items at most.
// Each call takes time in the logarithm of the tenants that wait, and in the
// items of one of them where an item is taken out of the middle.
type Queue struct {
	most    int
	weights map[int]float64
	lanes   map[int]*lane // of tenants that wait
	turns   turns
	loads   loads
	last    map[int]float64 // virtual end of a tenant's last item
	now     float64         // virtual time: the start of what was taken last
	n       int
}

// NewQueue returns an empty queue. A tenant without a weight has 1.
func NewQueue(most int, weights map[int]float64) *Queue {
	return &Queue{most: most, weights: weights, lanes: map[int]*lane{}, last: map[int]float64{}}
}

// Len is how many items wait.
func (q *Queue) Len() int { return q.n }

func (q *Queue) lane(tenant int) *lane {
	if l := q.lanes[tenant]; l != nil {
		return l
	}
	l := &lane{tenant: tenant, weight: 1}
	if w := q.weights[tenant]; w > 0 {
		l.weight = w
	}
	return l
}

// Add has an item wait. When the queue is full it pushes one out, which may be
// the item itself, and returns it: work of a tenant that waits with most for
// its weight, of the least worth there, the last to come of equals.
func (q *Queue) Add(it Item) (out *Item) {
	x := &it
	q.push(x)
	if q.n <= q.most {
		return nil
	}
	l := q.loads[0]
	i := l.cheapest()
	out = l.items[i]
	q.take(l, i)
	return out
}

func (q *Queue) push(x *Item) {
	l := q.lane(x.Tenant)
	x.finish = max(q.now, q.last[x.Tenant]) + x.Size/l.weight
	q.last[x.Tenant] = x.finish
	l.items = append(l.items, x)
	l.waiting += x.Size / l.weight
	if q.n++; len(l.items) > 1 {
		heap.Fix(&q.loads, l.load)
		return
	}
	q.lanes[x.Tenant] = l
	heap.Push(&q.turns, l)
	heap.Push(&q.loads, l)
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

// take takes an item out as if it had never come: what comes after it ends so
// much sooner.
func (q *Queue) take(l *lane, i int) {
	share := l.items[i].Size / l.weight
	for _, y := range l.items[i+1:] {
		y.finish -= share
	}
	q.last[l.tenant] -= share
	q.drop(l, i)
}

// drop drops an item from its lane, and the lane if it was the last.
func (q *Queue) drop(l *lane, i int) {
	q.n--
	l.waiting -= l.items[i].Size / l.weight
	if len(l.items) == 1 {
		heap.Remove(&q.turns, l.turn)
		heap.Remove(&q.loads, l.load)
		delete(q.lanes, l.tenant)
		return
	}
	l.items = slices.Delete(l.items, i, i+1)
	heap.Fix(&q.turns, l.turn)
	heap.Fix(&q.loads, l.load)
}

// Next takes the item whose turn it is; nil where none waits.
func (q *Queue) Next() *Item {
	if q.n == 0 {
		return nil
	}
	l := q.turns[0]
	x := l.items[0]
	q.now = max(q.now, x.finish-x.Size/l.weight)
	q.drop(l, 0)
	if q.n == 0 { // nobody is owed anything
		q.now = 0
		clear(q.last)
	}
	return x
}

// Late takes out all that is past its deadline, by deadline.
func (q *Queue) Late(now time.Duration) (out []*Item) {
	for _, l := range slices.Clone(q.loads) {
		for i := len(l.items) - 1; i >= 0; i-- {
			if x := l.items[i]; x.Deadline <= now {
				q.take(l, i)
				out = append(out, x)
			}
			if q.lanes[l.tenant] != l {
				break // that was its last
			}
		}
	}
	slices.SortFunc(out, func(a, b *Item) int {
		if c := cmp.Compare(a.Deadline, b.Deadline); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return out
}
