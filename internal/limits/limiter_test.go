package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

func settings(change ...func(*Settings)) Settings {
	set := Settings{Routers: 1, MaxQueued: 1000, MaxWaitFraction: 0.5, MinInFlight: 2, StartInFlight: 8, MaxInFlight: 1000, MaxClients: 100,
		MinRetryAfter: 100 * ms, MaxRetryAfter: 2 * s, Shed: true, Seed: 1,
		Classes: []Class{{Aim: s, Worth: 3}, {Aim: s, Worth: 1}, {Aim: s, Worth: 2, Priority: 1}},
		Tenants: []Tenant{{}, {}, {Weight: 2}}}
	for _, c := range change {
		c(&set)
	}
	return set
}

func request(id uint64, tenant, class int) Request {
	return Request{ID: id, Tenant: tenant, Class: class, Prompt: 100, Tokens: 200, Price: 1, TimeLeft: 5 * s}
}

// onlyVerdict returns the one verdict that a call returned.
func onlyVerdict(t *testing.T, verdicts []Verdict) Verdict {
	t.Helper()
	if len(verdicts) != 1 {
		t.Fatalf("verdicts %v, want one", verdicts)
	}
	return verdicts[0]
}

// In any order of calls every request gets exactly one verdict, unless its client disconnects first; the queue keeps its
// bound, the counts in flight are never negative and end at zero.
func TestOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings(func(set *Settings) {
			set.MaxQueued, set.RetryRatio = 5, 0.2
			set.Tenants[1].Budgets = []Budget{{Class: -1, Requests: Rate{5, 5}}, {Class: 1, Tokens: Rate{1000, 2000}}}
		})
		l := New(set)
		now, requested, admitted, verdicts := time.Duration(0), map[uint64]bool{}, map[uint64]bool{}, map[uint64]int{}
		check := func(list []Verdict) {
			for _, v := range list {
				if verdicts[v.ID]++; verdicts[v.ID] > 1 || !requested[v.ID] {
					t.Fatalf("verdict %+v: number %d, requested %v", v, verdicts[v.ID], requested[v.ID])
				}
				admitted[v.ID] = v.Admitted
			}
		}
		disconnected := map[uint64]bool{}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			id := uint64(rapid.IntRange(0, i).Draw(t, "of"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				check(l.FirstToken(now, id))
			case 1, 2:
				end := End(rapid.IntRange(1, 4).Draw(t, "how"))
				if !admitted[id] && end != ClientGone {
					continue
				}
				disconnected[id] = disconnected[id] || requested[id] && verdicts[id] == 0
				check(l.Ended(now, id, end))
			case 3:
				check(l.Tick(now))
			case 4:
				l.SetRouters(now, rapid.IntRange(0, 4).Draw(t, "routers"))
			case 5:
				next := set
				next.MaxQueued = rapid.IntRange(1, 6).Draw(t, "waiting")
				check(l.Reload(now, next))
			case 6:
				check(l.Revoke(now, uint64(rapid.IntRange(1, 3).Draw(t, "client"))))
			default:
				r := request(uint64(i), rapid.IntRange(-1, 3).Draw(t, "tenant"), rapid.IntRange(0, 2).Draw(t, "class"))
				r.Price, r.Client = rapid.Float64Range(0, 50).Draw(t, "price"), uint64(rapid.IntRange(0, 3).Draw(t, "of client"))
				r.Retry = rapid.Bool().Draw(t, "retry")
				requested[r.ID] = true
				check(l.Admit(now, r))
			}
			if v := l.View(); v.Queued > 6 || v.InFlight < 0 || v.InFlightSize < -1e-6 {
				t.Fatalf("%+v", v)
			}
		}
		now += time.Hour
		check(l.Tick(now)) // all queued requests expire
		for id := range requested {
			if verdicts[id] == 0 && !disconnected[id] {
				t.Fatalf("request %d has no verdict", id)
			}
			check(l.Ended(now, id, ClientGone))
		}
		if v := l.View(); v.Queued != 0 || v.InFlight != 0 || v.InFlightSize != 0 || len(l.active) != 0 {
			t.Fatalf("at the end %+v, %d active requests", v, len(l.active))
		}
	})
}

// Only admitted requests are charged to a budget: refused ones are not, and those that the module refuses are refunded.
func TestBudgets(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.StartInFlight = 100
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{1, 2}}, {Class: 1, Tokens: Rate{100, 500}}}
	}))
	for id := range uint64(2) {
		if v := onlyVerdict(t, l.Admit(0, request(id, 0, 0))); !v.Admitted {
			t.Fatalf("%+v", v)
		}
	}
	for id := range uint64(10) { // refusals don't extend the wait
		if v := onlyVerdict(t, l.Admit(0, request(10+id, 0, 0))); v.Admitted || v.Reason != Requests || v.RetryAfter != s {
			t.Fatalf("%+v", v)
		}
	}
	if v := onlyVerdict(t, l.Admit(s, request(20, 0, 0))); !v.Admitted {
		t.Fatalf("refused after the advised wait: %+v", v)
	}
	l.Ended(s, 20, Refused)
	if v := onlyVerdict(t, l.Admit(s, request(21, 0, 0))); !v.Admitted {
		t.Fatalf("a request that the module refused was not refunded: %+v", v)
	}
	large := request(30, 0, 1)
	if large.Tokens = 600; onlyVerdict(t, l.Admit(5*s, large)).Reason != TooLarge {
		t.Error("a request larger than the burst is not refused as too large")
	}
	if large.ID, large.Tokens = 31, 400; !onlyVerdict(t, l.Admit(5*s, large)).Admitted {
		t.Error("a request within the burst is refused")
	}
	large.ID = 32
	if v := onlyVerdict(t, l.Admit(5*s, large)); v.Reason != Tokens || v.RetryAfter != 3*s {
		t.Errorf("%+v", v)
	}
	if v := onlyVerdict(t, l.Admit(5*s, request(33, 1, 1))); !v.Admitted {
		t.Errorf("a tenant without a budget: %+v", v)
	}
	if r, tk := l.Remaining(5*s, 0, 1); r.Remaining != 1 || tk.Remaining != 100 || tk.Reset != 4*s || tk.Limit != 500 {
		t.Errorf("remaining %+v %+v", r, tk)
	}
}

// A request that is evicted from the queue or expires in it is refunded.
func TestRefusalIsRefunded(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.StartInFlight, set.MinInFlight, set.MaxInFlight, set.MaxQueued = 1, 1, 1, 1
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{0.001, 3}}}
	}))
	l.Admit(0, request(1, 0, 0))
	l.Admit(0, request(2, 0, 0))
	if v := onlyVerdict(t, l.Admit(0, request(3, 0, 0))); v.Reason != Overloaded {
		t.Fatalf("%+v", v)
	}
	if v := onlyVerdict(t, l.Tick(10*s)); v.ID != 2 || v.Reason != QueueTimeout {
		t.Fatalf("%+v", v)
	}
	if r, _ := l.Remaining(10*s, 0, 0); r.Remaining < 2 {
		t.Errorf("%.1f of 3 remain after one of three was admitted", r.Remaining)
	}
}

// A meter drains at the rate that was in force: a change of the router count doesn't apply to the past.
func TestRouterChangeSettlesBudgets(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.Routers, set.StartInFlight = 2, 100
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{100, 100}}}
	}))
	for id := range uint64(50) {
		l.Admit(0, request(id, 0, 0))
	}
	l.SetRouters(500*ms, 100)
	if used := l.budgetStates[[2]int{0, 0}].requests.used; used > 25 {
		t.Errorf("%.1f of 50 in use after half a second at 50 a second", used)
	}
	l = New(l.settings)
	for id := range uint64(50) {
		l.Admit(0, request(id, 0, 0))
	}
	l.SetRouters(0, 1) // the other router fails
	l.Tick(3 * s)
	if state := l.budgetStates[[2]int{0, 0}]; state.requests.at != 3*s || state.requests.used != 0 || l.routers.current != 1 {
		t.Errorf("%+v, %d routers", state, l.routers.current)
	}
}

// A reload that removes a budget and changes the router count doesn't access the removed budget.
func TestReloadRemovesBudget(t *testing.T) {
	set := settings(func(set *Settings) {
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{10, 10}}, {Class: 0, Requests: Rate{5, 5}}}
	})
	l := New(set)
	l.Admit(0, request(1, 0, 0))
	next := settings(func(set *Settings) { set.Routers = 7 })
	l.Reload(ms, next)
	if v := onlyVerdict(t, l.Admit(2*ms, request(2, 0, 0))); !v.Admitted || l.View().Routers != 7 {
		t.Errorf("%+v, %d routers", v, l.View().Routers)
	}
}

// A batch is charged once; its parts are then admitted and don't count as retries.
func TestChargedParts(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.StartInFlight, set.RetryRatio = 100, 0.1
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{1, 1}}}
	}))
	if !l.Charge(0, request(0, 0, 0)).Admitted {
		t.Fatal("the batch is refused")
	}
	for id := range uint64(30) {
		r := request(1+id, 0, 0)
		r.Charged, r.Retry, r.Client = true, true, 7
		if v := onlyVerdict(t, l.Admit(0, r)); !v.Admitted {
			t.Fatalf("part %d: %+v", id, v)
		}
	}
}

// A client that retries at once after each refusal uses up its retry budget; its first attempts and other clients'
// retries are still admitted.
func TestRetryBudget(t *testing.T) {
	l := New(settings(func(set *Settings) { set.RetryRatio, set.StartInFlight, set.MaxInFlight = 0.1, 1e6, 1e6 }))
	id, admitted := uint64(0), 0
	attempt := func(now time.Duration, client uint64, retry bool) Verdict {
		id++
		r := request(id, 0, 0)
		r.Client, r.Retry = client, retry
		return onlyVerdict(t, l.Admit(now, r))
	}
	for i := range 100 {
		attempt(time.Duration(i)*ms, 1, false)
		for range 9 {
			if v := attempt(time.Duration(i)*ms, 1, true); v.Admitted {
				admitted++
			} else if v.Reason != Retries || v.RetryAfter <= 0 {
				t.Fatalf("%+v", v)
			}
		}
	}
	if admitted < 15 || admitted > 21 { // the initial ten, and a tenth of 100
		t.Errorf("%d of 900 retries admitted, want about 20", admitted)
	}
	if !attempt(s, 2, true).Admitted || !attempt(2*s, 1, false).Admitted {
		t.Error("another client's retry, or a first attempt, is refused")
	}
}

// When half of the routers fail, the requests that they had open are retried at once at the others: the retry budget of a
// client with many requests suffices for them, but not for a retry storm.
func TestRetriesAfterRouterFailures(t *testing.T) {
	l := New(settings(func(set *Settings) { set.RetryRatio, set.StartInFlight, set.MaxInFlight = 0.2, 1e6, 1e6 }))
	id, refused := uint64(0), 0
	attempt := func(now time.Duration, retry bool) {
		id++
		r := request(id, 0, 0)
		r.Client, r.Retry = 1, retry
		if !onlyVerdict(t, l.Admit(now, r)).Admitted {
			refused++
		}
	}
	for at := time.Duration(0); at < 30*s; at += 10 * ms {
		attempt(at, false)
	}
	for range 150 { // the requests of a second and a half
		attempt(30*s, true)
	}
	if refused > 0 {
		t.Errorf("%d of 150 retries refused", refused)
	}
	for range 1500 { // a retry storm
		attempt(30*s, true)
	}
	if refused < 1300 {
		t.Errorf("%d of a storm of 1,500 retries refused", refused)
	}
}

// The number of clients with retry budgets keeps its bound.
func TestClientsBounded(t *testing.T) {
	l := New(settings(func(set *Settings) { set.RetryRatio, set.StartInFlight, set.MaxInFlight = 0.1, 1e6, 1e6 }))
	for id := range uint64(10000) {
		r := request(id, 0, 0)
		r.Client, r.Retry = id+1, true
		l.Admit(time.Duration(id)*ms, r)
		if len(l.clients) > 100 {
			t.Fatalf("%d clients", len(l.clients))
		}
	}
}

// When half of the routers fail, the others' shares double after decreaseDelay; when they return, the shares are reduced
// at once. A flapping list doesn't enlarge shares.
func TestSharesFollowRouterCount(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.Routers, set.StartInFlight, set.MaxInFlight = 10, 1e6, 1e6
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{1000, 100}}}
	}))
	id := uint64(0)
	rate := func(from time.Duration) float64 {
		n := 0
		for at := from; at < from+10*s; at += ms {
			id++
			if onlyVerdict(t, l.Admit(at, request(id, 0, 0))).Admitted {
				n++
			}
			l.Ended(at, id, Served)
		}
		return float64(n) / 10
	}
	all := rate(0)
	l.SetRouters(20*s, 5)
	l.Tick(22 * s)
	if l.View().Routers != 10 {
		t.Error("a lower router count takes effect at once")
	}
	for at := 20 * s; at < 23*s; at += 100 * ms { // the list flaps
		l.SetRouters(at, 5+5*int(at/(100*ms)%2))
	}
	l.Tick(22500 * ms)
	if l.View().Routers != 10 {
		t.Errorf("a flapping list changed the router count to %d", l.View().Routers)
	}
	l.SetRouters(30*s, 5)
	l.Tick(33 * s)
	half := rate(40 * s)
	l.SetRouters(60*s, 10)
	restored := rate(60 * s)
	for _, c := range []struct{ got, want float64 }{{all, 100}, {half, 200}, {restored, 100}} {
		if c.got < c.want || c.got > c.want*1.12 { // 10,000 own arrivals in ten seconds: varianceAllowance is 0.01; plus the burst
			t.Errorf("%.0f a second, want %.0f", c.got, c.want)
		}
	}
}

// A quota is divided among routers that share no state. Where requests are spread at random, all routers together admit
// no more than the bound, and few requests of a tenant within its quota are refused.
func TestDividedQuota(t *testing.T) {
	for _, c := range []struct {
		quota   float64
		routers int
		seconds float64
	}{{2, 20, 600}, {50, 10, 60}, {1000, 50, 60}, {300, 3, 60}} {
		for _, load := range []float64{1, 5} {
			admitted, requested := simulateRouters(c.quota, c.routers, load, c.seconds)
			bound := admittedBound(c.quota, c.routers, c.seconds)
			t.Logf("quota %4.0f/s, %2d routers, load %.0f times the quota: %.2f of the quota admitted, bound %.2f",
				c.quota, c.routers, load, admitted, bound)
			if admitted > bound {
				t.Errorf("quota %g over %d routers: %.2f of it admitted, bound %.2f", c.quota, c.routers, admitted, bound)
			}
			if load == 1 && admitted < 0.85*requested {
				t.Errorf("quota %g over %d routers: %.2f admitted of %.2f requested within the quota",
					c.quota, c.routers, admitted, requested)
			}
			if load > 1 && admitted < 0.95 {
				t.Errorf("quota %g over %d routers: only %.2f of it admitted under overload", c.quota, c.routers, admitted)
			}
		}
	}
}

// admittedBound returns the bound that docs/limits.md states, in multiples of the quota: one plus varianceAllowance, and
// each router's burst.
func admittedBound(quota float64, n int, seconds float64) float64 {
	arrivals := quota / float64(n) * arrivalsPeriod.Seconds()
	burst := float64(n) * math.Max(smallShareBurst(Rate{PerSecond: quota}, n), quota/float64(n))
	return 1 + varianceAllowance(arrivals) + burst/(quota*seconds)
}

// simulateRouters sends requests at load times the quota to n routers at random. It returns the admitted and requested
// amounts in multiples of the quota.
func simulateRouters(quota float64, n int, load, seconds float64) (admitted, requested float64) {
	rnd := rand.New(rand.NewPCG(5, uint64(n)))
	var limiters []*Limiter
	for i := range n {
		limiters = append(limiters, New(settings(func(set *Settings) {
			set.Routers, set.StartInFlight, set.MaxInFlight, set.Seed = n, 1e6, 1e6, uint64(i)
			set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{quota, quota}}}
		})))
	}
	for id, at := uint64(0), 0.0; at < seconds; id++ {
		at += rnd.ExpFloat64() / (quota * load)
		l := limiters[rnd.IntN(n)]
		now := time.Duration(at * float64(s))
		for _, v := range l.Admit(now, request(id, 0, 0)) {
			if v.Admitted {
				admitted++
			}
		}
		l.Ended(now, id, Served)
		requested++
	}
	return admitted / (quota * seconds), requested / (quota * seconds)
}

// fifoServer models the capacity that the limiter protects: it serves requests first come, first served, at a fixed rate.
type fifoServer struct {
	perSecond float64
	busyUntil time.Duration
}

// completion accepts a request and returns when it is served.
func (f *fifoServer) completion(now time.Duration, size float64) time.Duration {
	f.busyUntil = max(f.busyUntil, now) + time.Duration(size/f.perSecond*float64(s))
	return f.busyUntil
}

// result counts the requests of one tenant, those served within their target latency, and the sum of their worth.
type result struct{ requests, inTime, worth float64 }

// simulate sends the tenants' requests to one server, with or without the limiter, and counts what is served within the
// target latency. Each tenant's function returns the rate, size and class of its requests at a time in seconds.
func simulate(set Settings, perSecond, seconds float64, limited bool, tenants []func(at float64) (rate, size float64, class int)) []result {
	l, server := New(set), &fifoServer{perSecond: perSecond}
	results := make([]result, len(tenants))
	type completed struct {
		at    time.Duration
		id    uint64
		class int
	}
	var completions []completed // ordered by time, since the server is first come, first served
	tenantOf, arrived := map[uint64]int{}, map[uint64]time.Duration{}
	prices := map[uint64]float64{}
	finish := func(upTo time.Duration, apply func([]Verdict, time.Duration)) {
		for len(completions) > 0 && completions[0].at <= upTo {
			e := completions[0]
			completions = completions[1:]
			if e.at-arrived[e.id] <= set.Classes[e.class].Aim {
				results[tenantOf[e.id]].inTime++
				results[tenantOf[e.id]].worth += set.Classes[e.class].Worth
			}
			if limited {
				apply(l.Ended(e.at, e.id, Served), e.at)
			}
		}
	}
	classes := map[uint64]int{}
	apply := func(list []Verdict, at time.Duration) {
		for _, verdict := range list {
			if verdict.Admitted {
				completions = append(completions, completed{server.completion(at, prices[verdict.ID]), verdict.ID, classes[verdict.ID]})
			}
		}
	}
	rnd := rand.New(rand.NewPCG(9, 9))
	next := make([]float64, len(tenants))
	id := uint64(0)
	for {
		tenant := 0
		for i := range next {
			if next[i] < next[tenant] {
				tenant = i
			}
		}
		if next[tenant] >= seconds {
			return results
		}
		rate, size, class := tenants[tenant](next[tenant])
		now := time.Duration(next[tenant] * float64(s))
		next[tenant] += rnd.ExpFloat64() / rate
		finish(now, apply)
		id++
		results[tenant].requests++
		tenantOf[id], arrived[id], prices[id], classes[id] = tenant, now, size, class
		r := request(id, tenant, class)
		r.Price = size
		if limited {
			apply(l.Tick(now), now)
			apply(l.Admit(now, r), now)
		} else {
			completions = append(completions, completed{server.completion(now, size), id, class})
		}
	}
}

// constantLoad is a tenant with requests of a constant rate, size and class.
func constantLoad(rate, size float64, class int) func(float64) (float64, float64, int) {
	return func(float64) (float64, float64, int) { return rate, size, class }
}

// While one tenant requests twenty times its share in a burst, another gets at least 95 % of what it gets alone. Without
// limits it doesn't.
func TestBurstOfOneTenant(t *testing.T) {
	burst := func(at float64) (float64, float64, int) {
		if at > 10 && at < 15 {
			return 1000, 1, 0
		}
		return 50, 1, 0
	}
	alone := simulate(settings(), 100, 30, true, []func(float64) (float64, float64, int){constantLoad(1e-6, 1, 0), constantLoad(25, 1, 0)})
	with := simulate(settings(), 100, 30, true, []func(float64) (float64, float64, int){burst, constantLoad(25, 1, 0)})
	without := simulate(settings(), 100, 30, false, []func(float64) (float64, float64, int){burst, constantLoad(25, 1, 0)})
	onTime := func(r result) float64 { return r.inTime / r.requests }
	if onTime(with[1]) < 0.95*onTime(alone[1]) || onTime(without[1]) > 0.7 {
		t.Errorf("served in time: alone %.2f, with limits %.2f, without %.2f", onTime(alone[1]), onTime(with[1]), onTime(without[1]))
	}
}

// A tenant whose requests are all long gets its share of the work, not of the requests.
func TestLongRequests(t *testing.T) {
	r := simulate(settings(), 100, 60, true, []func(float64) (float64, float64, int){constantLoad(20, 20, 0), constantLoad(200, 1, 0)})
	long, short := r[0].inTime*20, r[1].inTime
	if ratio := long / short; ratio < 0.6 || ratio > 1.6 {
		t.Errorf("work done: %.0f for the long requests, %.0f for the short", long, short)
	}
}

// Goodput stays near its peak at loads from one to ten times the capacity; without limits it collapses.
func TestOverload(t *testing.T) {
	at := func(load float64, limited bool) float64 {
		r := simulate(settings(), 100, 30, limited, []func(float64) (float64, float64, int){
			constantLoad(50*load, 1, 0), constantLoad(50*load, 1, 0)})
		return (r[0].inTime + r[1].inTime) / 30
	}
	peak := 0.0
	var goodput []float64
	for _, load := range []float64{1, 2, 5, 10} {
		goodput = append(goodput, at(load, true))
		peak = math.Max(peak, goodput[len(goodput)-1])
	}
	for i, g := range goodput {
		if g < 0.9*peak {
			t.Errorf("goodput %v: entry %d is less than 0.9 of the peak", goodput, i)
		}
	}
	if unlimited := at(5, false); unlimited > 0.3*peak {
		t.Errorf("without limits %.0f a second at 5 times the capacity: the case doesn't test the limits", unlimited)
	}
}

// Under overload the class of lowest worth is shed first; below capacity nothing is shed.
func TestShed(t *testing.T) {
	set := settings()
	r := simulate(set, 100, 60, true, []func(float64) (float64, float64, int){constantLoad(80, 1, 0), constantLoad(200, 1, 1)})
	if r[0].inTime < 0.85*r[0].requests {
		t.Errorf("%.2f of the class of high worth in time, concurrent with twice the capacity of low worth", r[0].inTime/r[0].requests)
	}
	underCapacity := simulate(set, 100, 60, true, []func(float64) (float64, float64, int){constantLoad(40, 1, 0), constantLoad(30, 1, 1)})
	if underCapacity[1].inTime < 0.97*underCapacity[1].requests {
		t.Errorf("below capacity %.2f of the class of low worth in time", underCapacity[1].inTime/underCapacity[1].requests)
	}
}

// A reload keeps queued requests, scheduled by the new weights; a lower bound of the queue evicts the excess.
func TestReloadWhileWaiting(t *testing.T) {
	set := settings(func(set *Settings) { set.StartInFlight, set.MinInFlight, set.MaxInFlight = 1, 1, 1 })
	l := New(set)
	l.Admit(0, request(0, -1, 0))
	for id := range uint64(20) {
		if list := l.Admit(0, request(1+id, int(id%2), 0)); len(list) > 0 {
			t.Fatalf("%v", list)
		}
	}
	next := set
	next.Tenants = []Tenant{{Weight: 9}, {Weight: 1}, {}}
	if list := l.Reload(ms, next); len(list) > 0 {
		t.Fatalf("the reload returned %v", list)
	}
	dispatched := [2]int{}
	last := uint64(0)
	for range 10 {
		v := onlyVerdict(t, l.Ended(2*ms, last, Served))
		last = v.ID
		dispatched[(v.ID-1)%2]++
	}
	if dispatched[0] < 8 {
		t.Errorf("dispatched %v after the first weight became nine times the second", dispatched)
	}
	next.MaxQueued = 3
	list := l.Reload(3*ms, next)
	if len(list) != 7 || list[0].Admitted || list[0].Reason != Overloaded {
		t.Errorf("evicted %v, want 7 with 3 left in the queue", list)
	}
}

// Revoking a key refuses the client's queued requests; dispatched ones end as usual.
func TestRevoke(t *testing.T) {
	l := New(settings(func(set *Settings) { set.StartInFlight, set.MinInFlight, set.MaxInFlight = 1, 1, 1 }))
	for id := range uint64(4) {
		r := request(id, 0, 0)
		r.Client = 1 + id%2
		l.Admit(0, r)
	}
	if v := onlyVerdict(t, l.Revoke(ms, 1)); v.ID != 2 || v.Reason != Revoked || v.Admitted {
		t.Errorf("%+v", v)
	}
	if v := onlyVerdict(t, l.Ended(2*ms, 0, Served)); v.ID != 1 || !v.Admitted {
		t.Errorf("%+v", v)
	}
}

// BenchmarkLimiter admits, starts and ends a request with many tenants, each with a budget, while the queue is full.
func BenchmarkLimiter(b *testing.B) {
	for _, tenants := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			set := settings(func(set *Settings) {
				set.MaxQueued, set.StartInFlight, set.MaxInFlight, set.Shed, set.MaxWaitFraction = 2*tenants, 64, 64, false, 1e9
				set.Tenants = make([]Tenant, tenants)
				for i := range set.Tenants {
					set.Tenants[i] = Tenant{Weight: 1, Budgets: []Budget{{Class: -1, Requests: Rate{1e9, 1e9}, Tokens: Rate{1e9, 1e9}}}}
				}
			})
			l := New(set)
			id, now := uint64(0), time.Duration(0)
			var inFlight []uint64
			step := func(complete bool) {
				id++
				now += 1000
				r := request(id, int(id*7919%uint64(tenants)), 0)
				r.TimeLeft = time.Hour
				for _, v := range l.Admit(now, r) {
					if v.Admitted {
						inFlight = append(inFlight, v.ID)
					}
				}
				if !complete || len(inFlight) == 0 {
					return
				}
				oldest := inFlight[0]
				inFlight = inFlight[1:]
				for _, v := range append(l.FirstToken(now, oldest), l.Ended(now, oldest, Served)...) {
					if v.Admitted {
						inFlight = append(inFlight, v.ID)
					}
				}
			}
			for range 2 * tenants {
				step(false)
			}
			b.ReportAllocs()
			for b.Loop() {
				step(true)
			}
			b.ReportMetric(float64(l.View().Queued), "waiting")
		})
	}
}
