package limits

import (
	"cmp"
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

// Queue is weighted fair queueing between tenants: over any time in which two
// wait, each gets work done in proportion to its weight, whatever either asks for.
// Within a tenant the earlier comes first. It holds so many items at most.
type Queue struct {
	most    int
	weights map[int]float64
	lanes   map[int][]*Item // by tenant, in order of coming
	last    map[int]float64 // virtual end of a tenant's last item
	now     float64         // virtual time: the start of what was taken last
	n       int
}

// NewQueue returns an empty queue. A tenant without a weight has 1.
func NewQueue(most int, weights map[int]float64) *Queue {
	return &Queue{most: most, weights: weights, lanes: map[int][]*Item{}, last: map[int]float64{}}
}

// Len is how many items wait.
func (q *Queue) Len() int { return q.n }

func (q *Queue) weight(tenant int) float64 {
	if w := q.weights[tenant]; w > 0 {
		return w
	}
	return 1
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
	out = q.cheapest(q.heaviest())
	q.remove(out)
	return out
}

func (q *Queue) push(x *Item) {
	start := max(q.now, q.last[x.Tenant])
	x.finish = start + x.Size/q.weight(x.Tenant)
	q.last[x.Tenant] = x.finish
	q.lanes[x.Tenant] = append(q.lanes[x.Tenant], x)
	q.n++
}

// heaviest is the tenant that waits with most work for its weight.
func (q *Queue) heaviest() int {
	tenants := q.tenants()
	return slices.MaxFunc(tenants, func(a, b int) int { return cmp.Compare(q.waiting(a), q.waiting(b)) })
}

func (q *Queue) tenants() []int {
	var list []int
	for t := range q.lanes {
		list = append(list, t)
	}
	slices.Sort(list)
	return list
}

func (q *Queue) waiting(tenant int) float64 {
	sum := 0.0
	for _, x := range q.lanes[tenant] {
		sum += x.Size
	}
	return sum / q.weight(tenant)
}

func (q *Queue) cheapest(tenant int) *Item {
	lane := q.lanes[tenant]
	worst := lane[len(lane)-1]
	for _, x := range lane {
		if x.Worth < worst.Worth {
			worst = x
		}
	}
	return worst
}

// Remove takes an item out that waits no longer, as when its client left.
func (q *Queue) Remove(tenant int, id uint64) bool {
	for _, x := range q.lanes[tenant] {
		if x.ID == id {
			q.remove(x)
			return true
		}
	}
	return false
}

func (q *Queue) remove(x *Item) {
	lane := q.lanes[x.Tenant]
	i := slices.Index(lane, x)
	q.n--
	if lane = slices.Delete(lane, i, i+1); len(lane) == 0 {
		delete(q.lanes, x.Tenant)
		q.last[x.Tenant] = min(q.last[x.Tenant], x.finish)
		return
	}
	// What comes after it ends so much sooner.
	for _, y := range lane[i:] {
		y.finish -= x.Size / q.weight(x.Tenant)
	}
	q.last[x.Tenant] -= x.Size / q.weight(x.Tenant)
	q.lanes[x.Tenant] = lane
}

// Next takes the item whose turn it is; nil where none waits.
func (q *Queue) Next() *Item {
	var best *Item
	for _, t := range q.tenants() {
		if x := q.lanes[t][0]; best == nil || x.finish < best.finish {
			best = x
		}
	}
	if best == nil {
		return nil
	}
	lane := q.lanes[best.Tenant]
	if q.n--; len(lane) == 1 {
		delete(q.lanes, best.Tenant)
	} else {
		q.lanes[best.Tenant] = lane[1:]
	}
	q.now = max(q.now, best.finish-best.Size/q.weight(best.Tenant))
	if q.n == 0 { // nobody is owed anything
		q.now = 0
		clear(q.last)
	}
	return best
}

// Late takes out all that is past its deadline, by deadline.
func (q *Queue) Late(now time.Duration) (out []*Item) {
	for _, t := range q.tenants() {
		for _, x := range slices.Clone(q.lanes[t]) {
			if x.Deadline <= now {
				q.remove(x)
				out = append(out, x)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *Item) int { return cmp.Compare(a.Deadline, b.Deadline) })
	return out
}
