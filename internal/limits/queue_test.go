package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func equalWeights(int) float64 { return 1 }

// While two tenants are backlogged, the work done for each is in proportion to its weight, to within one item of each,
// for items of any size.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[int]float64{1: rapid.Float64Range(0.5, 4).Draw(t, "weight"), 2: 1}
		q := NewQueue(1000, func(t int) float64 { return weights[t] })
		largest := map[int]float64{}
		for i := range 200 {
			tenant := 1 + i%2
			size := rapid.Float64Range(0.1, 20).Draw(t, "size")
			largest[tenant] = max(largest[tenant], size)
			q.Add(Item{ID: uint64(i), Tenant: tenant, Size: size, Deadline: time.Hour})
		}
		done := map[int]float64{}
		for q.flows[1] != nil && q.flows[2] != nil {
			x := q.Next()
			done[x.Tenant] += x.Size / weights[x.Tenant]
			if gap := done[1] - done[2]; gap > largest[1]/weights[1]+largest[2] || -gap > largest[1]/weights[1]+largest[2] {
				t.Fatalf("work done by weight: %g and %g", done[1], done[2])
			}
		}
	})
}

// A tenant that floods the queue evicts its own items, and doesn't delay a tenant with one request.
func TestFlood(t *testing.T) {
	q := NewQueue(10, equalWeights)
	for i := range 200 {
		q.Add(Item{ID: uint64(i), Tenant: 1, Size: 1, Deadline: time.Hour})
	}
	if evicted := q.Add(Item{ID: 1000, Tenant: 2, Size: 1, Worth: 1, Deadline: time.Hour}); evicted == nil || evicted.Tenant != 1 || q.Len() != 10 {
		t.Fatalf("%+v was evicted, %d queued", evicted, q.Len())
	}
	for i := range 2 {
		if x := q.Next(); x.Tenant == 2 {
			return
		} else if i == 1 {
			t.Errorf("the other tenant is not among the first two")
		}
	}
}

// In any order of calls no item is lost or returned twice, each tenant's items are dequeued in order, and the queue keeps
// its bound.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(8, func(t int) float64 { return float64(2 - t) })
		waiting, lastOf := map[uint64]int{}, map[int]uint64{}
		removed := func(x *Item, what string) {
			if tenant, known := waiting[x.ID]; !known || tenant != x.Tenant {
				t.Fatalf("%s: %+v is not queued", what, x)
			}
			delete(waiting, x.ID)
		}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Second
			id, tenant := uint64(i+1), rapid.IntRange(0, 3).Draw(t, "tenant")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				if x := q.Next(); x != nil {
					removed(x, "next")
					if x.ID < lastOf[x.Tenant] {
						t.Fatalf("tenant %d: %d after %d", x.Tenant, x.ID, lastOf[x.Tenant])
					}
					lastOf[x.Tenant] = x.ID
				}
			case 1:
				for x := q.PopExpired(now); x != nil; x = q.PopExpired(now) {
					if removed(x, "late"); x.Deadline > now {
						t.Fatal("the item has not expired")
					}
				}
				for _, flow := range q.flows {
					for _, x := range flow.items {
						if x.Deadline <= now {
							t.Fatalf("%+v has expired and is still queued", x)
						}
					}
				}
			case 2:
				of := uint64(rapid.IntRange(1, i+1).Draw(t, "id"))
				tenant, known := waiting[of]
				if q.Remove(tenant, of) != known {
					t.Fatalf("remove %d: %v", of, !known)
				}
				delete(waiting, of)
			default:
				waiting[id] = tenant
				if x := q.Add(Item{ID: id, Tenant: tenant, Size: rapid.Float64Range(0.1, 9).Draw(t, "size"),
					Worth: float64(rapid.IntRange(0, 2).Draw(t, "worth")), Deadline: now + time.Duration(rapid.IntRange(0, 20).Draw(t, "for"))*time.Second}); x != nil {
					removed(x, "evicted by Add")
				}
			}
			if q.Len() != len(waiting) || q.Len() > 8 {
				t.Fatalf("%d queued, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// countTenantOne adds items of two tenants and returns how many of the first ten dequeued are tenant 1's.
func countTenantOne(q *Queue, each int) (n int) {
	for i := range 2 * each {
		q.Add(Item{ID: uint64(10000 + i), Tenant: 1 + i%2, Size: 1, Deadline: time.Hour})
	}
	for range 10 {
		if q.Next().Tenant == 1 {
			n++
		}
	}
	return n
}

// A tenant that used the queue alone for long isn't penalized later, and a tenant that was idle has no credit.
func TestNoCreditByDefault(t *testing.T) {
	q := NewQueue(1000, equalWeights)
	q.Add(Item{Tenant: 1, Size: 1})
	for range 100 {
		q.Add(Item{Tenant: 1, Size: 1})
		q.Next() // one item stays queued throughout
	}
	if got := countTenantOne(q, 10); got < 4 || got > 6 {
		t.Errorf("%d of 10 for the tenant that was alone", got)
	}
}

// A tenant that requested less than its share has a credit of at most Queue.Credit.
func TestCredit(t *testing.T) {
	q := NewQueue(1000, equalWeights)
	q.Credit = 3
	q.Add(Item{ID: 1000, Tenant: 2, Size: 1, Deadline: time.Hour})
	for i := range 100 {
		q.Add(Item{ID: uint64(i), Tenant: 1, Size: 1, Deadline: time.Hour})
	}
	for range 50 {
		q.Next()
	}
	for i := range 20 {
		q.Add(Item{ID: uint64(200 + i), Tenant: 2, Size: 1, Deadline: time.Hour})
	}
	served := 0
	for q.Next().Tenant == 2 {
		served++
	}
	if served < 2 || served > 4 {
		t.Errorf("%d at once for the tenant that was idle, want 3", served)
	}
	if got := countTenantOne(q, 10); got < 4 || got > 6 {
		t.Errorf("%d of 10 after that", got)
	}
}

// A removed item is not charged to its tenant.
func TestRemoveIsNotCharged(t *testing.T) {
	q := NewQueue(1000, equalWeights)
	q.Add(Item{ID: 1, Tenant: 1, Size: 1})
	for i := range 50 {
		q.Add(Item{ID: uint64(2 + i), Tenant: 1, Size: 1})
	}
	for i := range 50 {
		q.Remove(1, uint64(2+i))
	}
	if got := countTenantOne(q, 10); got < 4 || got > 6 {
		t.Errorf("%d of 10 for the tenant whose items were removed", got)
	}
}

// BenchmarkQueue adds and dequeues items of many tenants at a full queue: Add evicts an item.
func BenchmarkQueue(b *testing.B) {
	for _, tenants := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			q := NewQueue(2*tenants, equalWeights)
			for i := range 2 * tenants {
				q.Add(Item{ID: uint64(i), Tenant: i % tenants, Size: 1, Deadline: time.Hour})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				q.Add(Item{ID: uint64(i), Tenant: i * 7919 % tenants, Size: float64(1 + i%3), Deadline: time.Hour})
				if i%2 == 0 {
					q.Next()
				}
			}
		})
	}
}

// Within a tenant items are ordered by priority, then by arrival; priority doesn't affect other tenants.
func TestPriority(t *testing.T) {
	q := NewQueue(100, equalWeights)
	for i, priority := range []int{0, 0, 2, 1, 2} {
		q.Add(Item{ID: uint64(i), Tenant: 1, Size: 1, Priority: priority, Deadline: time.Hour})
		q.Add(Item{ID: uint64(10 + i), Tenant: 2, Size: 1, Deadline: time.Hour})
	}
	var order []uint64
	for range 10 {
		if x := q.Next(); x.Tenant == 1 {
			order = append(order, x.ID)
		} else if gap := len(order)*2 - int(x.ID-9)*2; gap < -2 || gap > 2 {
			t.Errorf("%d items of the first tenant before item %d of the other", len(order), x.ID-9)
		}
	}
	if fmt.Sprint(order) != "[2 4 3 0 1]" {
		t.Errorf("order %v", order)
	}
}
