package limits

import (
	"container/heap"
	"slices"
	"time"
)

// Item is a queued request.
type Item struct {
	ID            uint64
	Tenant        int
	Size          float64       // cost, in any unit above 0
	Worth         float64       // the item of lowest worth is evicted first
	Priority      int           // order within the tenant: higher first
	Deadline      time.Duration // the item expires at this time
	deadlineIndex int           // index in Queue.byDeadline
}

// flow is the items of one tenant, ordered by priority, then by arrival.
type flow struct {
	tenant       int
	weight       float64
	items        []*Item
	virtualStart float64 // virtual start time of the first item
	backlog      float64 // total size of the items divided by the weight
	finishIndex  int     // index in Queue.byFinish
	backlogIndex int     // index in Queue.byBacklog
}

// virtualFinish returns the virtual finish time of the first item.
func (f *flow) virtualFinish() float64 { return f.virtualStart + f.items[0].Size/f.weight }

// byFinish is a heap of flows with the earliest virtual finish time on top, ties by tenant.
type byFinish []*flow

func (h byFinish) Len() int { return len(h) }
func (h byFinish) Less(i, j int) bool {
	a, b := h[i].virtualFinish(), h[j].virtualFinish()
	return a < b || a == b && h[i].tenant < h[j].tenant
}
func (h byFinish) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].finishIndex, h[j].finishIndex = i, j }
func (h *byFinish) Push(x any)   { f := x.(*flow); f.finishIndex = len(*h); *h = append(*h, f) }
func (h *byFinish) Pop() any     { return pop((*[]*flow)(h)) }

// byBacklog is a heap of flows with the largest backlog on top, ties by tenant.
type byBacklog []*flow

func (h byBacklog) Len() int { return len(h) }
func (h byBacklog) Less(i, j int) bool {
	return h[i].backlog > h[j].backlog || h[i].backlog == h[j].backlog && h[i].tenant < h[j].tenant
}
func (h byBacklog) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].backlogIndex, h[j].backlogIndex = i, j
}
func (h *byBacklog) Push(x any) { f := x.(*flow); f.backlogIndex = len(*h); *h = append(*h, f) }
func (h *byBacklog) Pop() any   { return pop((*[]*flow)(h)) }

// byDeadline is a heap of items with the earliest deadline on top, ties by id.
type byDeadline []*Item

func (h byDeadline) Len() int { return len(h) }
func (h byDeadline) Less(i, j int) bool {
	return h[i].Deadline < h[j].Deadline || h[i].Deadline == h[j].Deadline && h[i].ID < h[j].ID
}
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}
func (h *byDeadline) Push(x any) {
	item := x.(*Item)
	item.deadlineIndex = len(*h)
	*h = append(*h, item)
}
func (h *byDeadline) Pop() any { return pop((*[]*Item)(h)) }

func pop[T any](h *[]*T) *T {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}

// Queue is a bounded weighted fair queue between tenants: while two tenants are backlogged, the work done for each is
// in proportion to its weight, regardless of how much each requests. Within a tenant higher priority comes first, then
// earlier arrival. Each call takes time logarithmic in the queue length, and linear in the items of one tenant where
// an item is removed from the middle.
type Queue struct {
	maxItems    int
	weight      func(tenant int) float64 // values not above 0 count as 1
	flows       map[int]*flow            // of backlogged tenants
	byFinish    byFinish
	byBacklog   byBacklog
	byDeadline  byDeadline
	lastFinish  map[int]float64 // virtual finish time of the item dequeued last, of tenants whose flow is empty
	virtualTime float64         // virtual start time of the item dequeued last
	totalSize   float64         // total size of all items
	totalWeight float64         // total weight of backlogged tenants

	// Credit bounds the credit, in work divided by weight, of a tenant that requests less than its share: its next
	// item starts at most this much earlier in virtual time. This protects tenants near their share whose requests
	// arrive at random: without it each group of two or three arrivals waits as if its tenant exceeded its share. Other
	// tenants are delayed by this much at most once.
	Credit float64
}

// NewQueue returns an empty queue.
func NewQueue(maxItems int, weight func(tenant int) float64) *Queue {
	return &Queue{maxItems: maxItems, weight: weight, flows: map[int]*flow{}, lastFinish: map[int]float64{}}
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.byDeadline) }

func (q *Queue) weightOf(tenant int) float64 {
	if w := q.weight(tenant); w > 0 {
		return w
	}
	return 1
}

// Add queues an item. If the queue then exceeds its bound, Add evicts and returns an item, possibly the one added: of
// the tenant with the largest backlog for its weight the item of lowest worth, the last one of equals.
func (q *Queue) Add(item Item) (evicted *Item) {
	q.push(&item)
	return q.evictOverflow()
}

// evictOverflow removes and returns one item if there are too many.
func (q *Queue) evictOverflow() *Item {
	if q.Len() <= q.maxItems {
		return nil
	}
	f := q.byBacklog[0]
	i := f.leastWorth()
	x := f.items[i]
	q.remove(f, i)
	return x
}

func (q *Queue) push(x *Item) {
	heap.Push(&q.byDeadline, x)
	q.totalSize += x.Size
	if f := q.flows[x.Tenant]; f != nil {
		f.insert(x)
		f.backlog += x.Size / f.weight
		heap.Fix(&q.byBacklog, f.backlogIndex)
		heap.Fix(&q.byFinish, f.finishIndex)
		return
	}
	f := &flow{tenant: x.Tenant, weight: q.weightOf(x.Tenant), items: []*Item{x}, virtualStart: q.nextStart(x.Tenant)}
	f.backlog = x.Size / f.weight
	q.totalWeight += f.weight
	q.flows[x.Tenant] = f
	heap.Push(&q.byFinish, f)
	heap.Push(&q.byBacklog, f)
}

// nextStart returns the virtual start time of the next item of a tenant without queued items.
func (q *Queue) nextStart(tenant int) float64 {
	finish, known := q.lastFinish[tenant]
	if !known {
		return q.virtualTime - q.Credit
	}
	return max(q.virtualTime-q.Credit, finish)
}

func (f *flow) insert(x *Item) {
	i := len(f.items)
	for i > 0 && f.items[i-1].Priority < x.Priority {
		i--
	}
	f.items = slices.Insert(f.items, i, x)
}

func (f *flow) leastWorth() int {
	least := len(f.items) - 1
	for i, x := range f.items {
		if x.Worth < f.items[least].Worth {
			least = i
		}
	}
	return least
}

// Remove removes an item, for instance because its client disconnected, and reports whether it was queued.
func (q *Queue) Remove(tenant int, id uint64) bool {
	f := q.flows[tenant]
	if f == nil {
		return false
	}
	i := slices.IndexFunc(f.items, func(x *Item) bool { return x.ID == id })
	if i >= 0 {
		q.remove(f, i)
	}
	return i >= 0
}

// remove removes an item without charging its tenant: the tenant's next item starts no later because of it.
func (q *Queue) remove(f *flow, i int) {
	x := f.items[i]
	heap.Remove(&q.byDeadline, x.deadlineIndex)
	q.totalSize -= x.Size
	f.backlog -= x.Size / f.weight
	if len(f.items) > 1 {
		f.items = slices.Delete(f.items, i, i+1)
		heap.Fix(&q.byFinish, f.finishIndex)
		heap.Fix(&q.byBacklog, f.backlogIndex)
		return
	}
	heap.Remove(&q.byFinish, f.finishIndex)
	heap.Remove(&q.byBacklog, f.backlogIndex)
	delete(q.flows, f.tenant)
	q.totalWeight -= f.weight
	if q.lastFinish[f.tenant] = f.virtualStart; len(q.lastFinish) > 64+2*len(q.flows) {
		q.pruneFinishes()
	}
}

// pruneFinishes drops the finish times that no longer delay their tenants.
func (q *Queue) pruneFinishes() {
	for tenant, finish := range q.lastFinish {
		if finish <= q.virtualTime-q.Credit {
			delete(q.lastFinish, tenant)
		}
	}
}

// Next dequeues the next item in fair-queue order, nil if the queue is empty.
func (q *Queue) Next() *Item {
	if q.Len() == 0 {
		return nil
	}
	f := q.byFinish[0]
	x := f.items[0]
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualStart += x.Size / f.weight
	q.remove(f, 0)
	if q.Len() == 0 { // an empty queue keeps no history
		q.virtualTime, q.totalSize, q.totalWeight = 0, 0, 0
		clear(q.lastFinish)
	}
	return x
}

// Ahead returns an upper bound of the work that is done before a new item of a tenant: all queued work, or as much for
// each other tenant, by weight, as for the tenant itself, less the tenant's credit.
func (q *Queue) Ahead(tenant int) float64 {
	f := q.flows[tenant]
	if f == nil {
		return min(q.totalSize, max(q.nextStart(tenant)-q.virtualTime, 0)*(q.totalWeight+q.weightOf(tenant)))
	}
	return min(q.totalSize, max(f.backlog*f.weight, (f.virtualStart+f.backlog-q.virtualTime)*q.totalWeight))
}

// NextDeadline returns the earliest deadline, if an item is queued.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if q.Len() == 0 {
		return 0, false
	}
	return q.byDeadline[0].Deadline, true
}

// PopExpired removes and returns the expired item with the earliest deadline, nil if none has expired.
func (q *Queue) PopExpired(now time.Duration) *Item {
	if at, ok := q.NextDeadline(); !ok || at > now {
		return nil
	}
	x := q.byDeadline[0]
	q.Remove(x.Tenant, x.ID)
	return x
}

// SetMaxItems changes the bound of the queue, evicts and returns the items in excess, and reads the weights again.
func (q *Queue) SetMaxItems(maxItems int) (evicted []*Item) {
	q.maxItems, q.totalWeight = maxItems, 0
	for _, f := range q.flows {
		before := f.weight
		f.weight = q.weightOf(f.tenant)
		f.backlog *= before / f.weight
		q.totalWeight += f.weight
	}
	heap.Init(&q.byFinish)
	heap.Init(&q.byBacklog)
	for x := q.evictOverflow(); x != nil; x = q.evictOverflow() {
		evicted = append(evicted, x)
	}
	return evicted
}

// Select lists the items whose ids match, ordered by deadline; they stay queued.
func (q *Queue) Select(match func(id uint64) bool) (items []*Item) {
	for _, x := range q.byDeadline {
		if match(x.ID) {
			items = append(items, x)
		}
	}
	slices.SortFunc(items, func(a, b *Item) int {
		if a.Deadline != b.Deadline {
			return int(a.Deadline - b.Deadline)
		}
		return int(a.ID) - int(b.ID)
	})
	return items
}
