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
	set := Settings{Routers: 1, MaxWaiting: 1000, WaitPart: 0.5, MinInFlight: 2, StartInFlight: 8, MaxInFlight: 1000, MaxClients: 100,
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

// only is the one verdict that a call gave.
func only(t *testing.T, list []Verdict) Verdict {
	t.Helper()
	if len(list) != 1 {
		t.Fatalf("verdicts %v, one is due", list)
	}
	return list[0]
}

// Every request gets one verdict and no more, whatever comes in which order;
// what is handed on stays within the room by one; the books end at nought.
func TestOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings(func(set *Settings) {
			set.MaxWaiting, set.Retries = 5, 0.2
			set.Tenants[1].Budgets = []Budget{{Class: -1, Requests: Rate{5, 5}}, {Class: 1, Tokens: Rate{1000, 2000}}}
		})
		l := New(set)
		now, asked, passed, word := time.Duration(0), map[uint64]bool{}, map[uint64]bool{}, map[uint64]int{}
		take := func(list []Verdict) {
			for _, v := range list {
				if word[v.ID]++; word[v.ID] > 1 || !asked[v.ID] {
					t.Fatalf("verdict %+v: number %d, asked %v", v, word[v.ID], asked[v.ID])
				}
				passed[v.ID] = v.Admitted
			}
		}
		left := map[uint64]bool{}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			of := uint64(rapid.IntRange(0, i).Draw(t, "of"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				take(l.FirstToken(now, of))
			case 1, 2:
				how := End(rapid.IntRange(1, 4).Draw(t, "how"))
				if !passed[of] && how != ClientGone {
					continue
				}
				left[of] = left[of] || asked[of] && word[of] == 0
				take(l.Ended(now, of, how))
			case 3:
				take(l.Tick(now))
			case 4:
				l.SetRouters(now, rapid.IntRange(0, 4).Draw(t, "routers"))
			case 5:
				next := set
				next.MaxWaiting = rapid.IntRange(1, 6).Draw(t, "waiting")
				take(l.Reload(now, next))
			case 6:
				take(l.Revoke(now, uint64(rapid.IntRange(1, 3).Draw(t, "client"))))
			default:
				a := request(uint64(i), rapid.IntRange(-1, 3).Draw(t, "tenant"), rapid.IntRange(0, 2).Draw(t, "class"))
				a.Price, a.Client = rapid.Float64Range(0, 50).Draw(t, "price"), uint64(rapid.IntRange(0, 3).Draw(t, "of client"))
				a.Retry = rapid.Bool().Draw(t, "retry")
				asked[a.ID] = true
				take(l.Admit(now, a))
			}
			if v := l.View(); v.Waiting > 6 || v.Hands < 0 || v.InHand < -1e-6 {
				t.Fatalf("%+v", v)
			}
		}
		now += time.Hour
		take(l.Tick(now)) // all that waits is late
		for id := range asked {
			if word[id] == 0 && !left[id] {
				t.Fatalf("request %d has no verdict", id)
			}
			take(l.Ended(now, id, ClientGone))
		}
		if v := l.View(); v.Waiting != 0 || v.Hands != 0 || v.InHand != 0 || len(l.works) != 0 {
			t.Fatalf("at the end %+v, %d works", v, len(l.works))
		}
	})
}

// A budget is used by what passes alone: what is turned away costs nothing,
// and what the module refused is given back.
func TestBudgets(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.StartInFlight = 100
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{1, 2}}, {Class: 1, Tokens: Rate{100, 500}}}
	}))
	for id := range uint64(2) {
		if v := only(t, l.Admit(0, request(id, 0, 0))); !v.Admitted {
			t.Fatalf("%+v", v)
		}
	}
	for id := range uint64(10) { // turned away, again and again
		if v := only(t, l.Admit(0, request(10+id, 0, 0))); v.Admitted || v.Reason != Requests || v.RetryAfter != s {
			t.Fatalf("%+v", v)
		}
	}
	if v := only(t, l.Admit(s, request(20, 0, 0))); !v.Admitted {
		t.Fatalf("the wait that was told does not pass: %+v", v)
	}
	l.Ended(s, 20, Refused)
	if v := only(t, l.Admit(s, request(21, 0, 0))); !v.Admitted {
		t.Fatalf("what the module refused was not given back: %+v", v)
	}
	big := request(30, 0, 1)
	if big.Tokens = 600; only(t, l.Admit(5*s, big)).Reason != TooLarge {
		t.Error("work larger than the burst passes")
	}
	if big.ID, big.Tokens = 31, 400; !only(t, l.Admit(5*s, big)).Admitted {
		t.Error("work within the burst does not pass")
	}
	big.ID = 32
	if v := only(t, l.Admit(5*s, big)); v.Reason != Tokens || v.RetryAfter != 3*s {
		t.Errorf("%+v", v)
	}
	if v := only(t, l.Admit(5*s, request(33, 1, 1))); !v.Admitted {
		t.Errorf("another tenant's budget: %+v", v)
	}
	if r, tk := l.Remaining(5*s, 0, 1); r.Remaining != 1 || tk.Remaining != 100 || tk.Reset != 4*s || tk.Limit != 500 {
		t.Errorf("left %+v %+v", r, tk)
	}
}

// What waits and is then turned away, pushed out or late, has its budget back.
func TestTurnedAwayIsGivenBack(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.StartInFlight, set.MinInFlight, set.MaxInFlight, set.MaxWaiting = 1, 1, 1, 1
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{0.001, 3}}}
	}))
	l.Admit(0, request(1, 0, 0))
	l.Admit(0, request(2, 0, 0))
	if v := only(t, l.Admit(0, request(3, 0, 0))); v.Reason != Crowded {
		t.Fatalf("%+v", v)
	}
	if v := only(t, l.Tick(10*s)); v.ID != 2 || v.Reason != Waited {
		t.Fatalf("%+v", v)
	}
	if r, _ := l.Remaining(10*s, 0, 0); r.Remaining < 2 {
		t.Errorf("%.1f of 3 left after one of three passed", r.Remaining)
	}
}

// What is owed was forgiven at the rate of its time: a change of routers changes nothing of it.
func TestDivideSettles(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.Routers, set.StartInFlight = 2, 100
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{100, 100}}}
	}))
	for id := range uint64(50) {
		l.Admit(0, request(id, 0, 0))
	}
	l.SetRouters(500*ms, 100)
	if used := l.meters[[2]int{0, 0}].requests.used; used > 25 {
		t.Errorf("%.1f of 50 are owed after half a second at 50 a second", used)
	}
	l = New(l.set)
	for id := range uint64(50) {
		l.Admit(0, request(id, 0, 0))
	}
	l.SetRouters(0, 1) // the other has died
	l.Tick(3 * s)
	if p := l.meters[[2]int{0, 0}]; p.requests.at != 3*s || p.requests.used != 0 || l.fleet.now != 1 {
		t.Errorf("%+v, %d routers", p, l.fleet.now)
	}
}

// A reload that takes a budget away and changes the routers at once looks at no budget that is gone.
func TestReloadTakesBudgetAway(t *testing.T) {
	set := settings(func(set *Settings) {
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{10, 10}}, {Class: 0, Requests: Rate{5, 5}}}
	})
	l := New(set)
	l.Admit(0, request(1, 0, 0))
	next := settings(func(set *Settings) { set.Routers = 7 })
	l.Reload(ms, next)
	if v := only(t, l.Admit(2*ms, request(2, 0, 0))); !v.Admitted || l.View().Routers != 7 {
		t.Errorf("%+v, %d routers", v, l.View().Routers)
	}
}

// A batch pays once; its parts then pass, and count no try of its client.
func TestPaid(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.StartInFlight, set.Retries = 100, 0.1
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{1, 1}}}
	}))
	if !l.Charge(0, request(0, 0, 0)).Admitted {
		t.Fatal("the batch does not pass")
	}
	for id := range uint64(30) {
		a := request(1+id, 0, 0)
		a.Charged, a.Retry, a.Client = true, true, 7
		if v := only(t, l.Admit(0, a)); !v.Admitted {
			t.Fatalf("part %d: %+v", id, v)
		}
	}
}

// A client that comes again at once after each refusal is turned away itself; one
// that seldom does is not, and others are not touched.
func TestRetryBudget(t *testing.T) {
	l := New(settings(func(set *Settings) { set.Retries, set.StartInFlight, set.MaxInFlight = 0.1, 1e6, 1e6 }))
	id, passed := uint64(0), 0
	try := func(now time.Duration, client uint64, again bool) Verdict {
		id++
		a := request(id, 0, 0)
		a.Client, a.Retry = client, again
		return only(t, l.Admit(now, a))
	}
	for i := range 100 {
		try(time.Duration(i)*ms, 1, false)
		for range 9 {
			if v := try(time.Duration(i)*ms, 1, true); v.Admitted {
				passed++
			} else if v.Reason != Retries || v.RetryAfter <= 0 {
				t.Fatalf("%+v", v)
			}
		}
	}
	if passed < 15 || passed > 21 { // ten saved up, a tenth of 100
		t.Errorf("%d of 900 tries again passed, 20 are due", passed)
	}
	if !try(s, 2, true).Admitted || !try(2*s, 1, false).Admitted {
		t.Error("another client's try, or a first one, is turned away")
	}
}

// When half the routers die, the requests that they had open come again at once at
// the others: a client with many requests has saved up enough for them.
func TestRetriesAfterDeaths(t *testing.T) {
	l := New(settings(func(set *Settings) { set.Retries, set.StartInFlight, set.MaxInFlight = 0.2, 1e6, 1e6 }))
	id, refused := uint64(0), 0
	try := func(now time.Duration, again bool) {
		id++
		a := request(id, 0, 0)
		a.Client, a.Retry = 1, again
		if !only(t, l.Admit(now, a)).Admitted {
			refused++
		}
	}
	for at := time.Duration(0); at < 30*s; at += 10 * ms {
		try(at, false)
	}
	for range 150 { // a second and a half of all that the dead ones had
		try(30*s, true)
	}
	if refused > 0 {
		t.Errorf("%d of 150 turned away", refused)
	}
	for range 1500 { // and a storm
		try(30*s, true)
	}
	if refused < 1300 {
		t.Errorf("%d of a storm of 1,500 turned away", refused)
	}
}

// Clients are forgotten within their bound.
func TestClientsBounded(t *testing.T) {
	l := New(settings(func(set *Settings) { set.Retries, set.StartInFlight, set.MaxInFlight = 0.1, 1e6, 1e6 }))
	for id := range uint64(10000) {
		a := request(id, 0, 0)
		a.Client, a.Retry = id+1, true
		l.Admit(time.Duration(id)*ms, a)
		if len(l.clients) > 100 {
			t.Fatalf("%d clients", len(l.clients))
		}
	}
}

// When half the routers die, the others' shares double within settle; when they
// come back, at once. A list that flaps enlarges nothing.
func TestFleetFollows(t *testing.T) {
	l := New(settings(func(set *Settings) {
		set.Routers, set.StartInFlight, set.MaxInFlight = 10, 1e6, 1e6
		set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{1000, 100}}}
	}))
	id := uint64(0)
	rate := func(from time.Duration) float64 {
		n := 0
		for at := from; at < from+10*s; at += ms {
			id++
			if only(t, l.Admit(at, request(id, 0, 0))).Admitted {
				n++
			}
			l.Ended(at, id, Served)
		}
		return float64(n) / 10
	}
	whole := rate(0)
	l.SetRouters(20*s, 5)
	l.Tick(22 * s)
	if l.View().Routers != 10 {
		t.Error("fewer routers count at once")
	}
	for at := 20 * s; at < 23*s; at += 100 * ms { // it flaps
		l.SetRouters(at, 5+5*int(at/(100*ms)%2))
	}
	l.Tick(22500 * ms)
	if l.View().Routers != 10 {
		t.Errorf("a list that flaps made it %d routers", l.View().Routers)
	}
	l.SetRouters(30*s, 5)
	l.Tick(33 * s)
	half := rate(40 * s)
	l.SetRouters(60*s, 10)
	back := rate(60 * s)
	for _, c := range []struct{ got, want float64 }{{whole, 100}, {half, 200}, {back, 100}} {
		if c.got < c.want || c.got > c.want*1.12 { // own arrivals of 10,000 in ten seconds: chance is a hundredth; and the burst
			t.Errorf("%.0f a second, %.0f are due", c.got, c.want)
		}
	}
}

// Quotas divided among routers that hear nothing of each other: where a front
// spreads requests at random, all together pass no more than the bound, and of
// a tenant that keeps to its quota little is turned away.
func TestDividedQuota(t *testing.T) {
	for _, c := range []struct {
		quota   float64
		routers int
		seconds float64
	}{{2, 20, 600}, {50, 10, 60}, {1000, 50, 60}, {300, 3, 60}} {
		for _, load := range []float64{1, 5} {
			passed, asked := spread(c.quota, c.routers, load, c.seconds)
			most := overrun(c.quota, c.routers, c.seconds)
			t.Logf("quota %4.0f/s, %2d routers, asked for %.0f times: %.2f of the quota passed, bound %.2f", c.quota, c.routers, load, passed, most)
			if passed > most {
				t.Errorf("quota %g over %d routers: %.2f of it passed, %.2f are the bound", c.quota, c.routers, passed, most)
			}
			if load == 1 && passed < 0.85*asked {
				t.Errorf("quota %g over %d routers: %.2f passed of %.2f asked within the quota", c.quota, c.routers, passed, asked)
			}
			if load > 1 && passed < 0.95 {
				t.Errorf("quota %g over %d routers: only %.2f of it passed under load", c.quota, c.routers, passed)
			}
		}
	}
}

// overrun is the bound that docs/limits.md states: the rate times one plus
// chance, and each router's burst.
func overrun(quota float64, n int, seconds float64) float64 {
	own := quota / float64(n) * countOver.Seconds()
	burst := float64(n) * math.Max(together(Rate{PerSecond: quota}, n), quota/float64(n))
	return 1 + chance(own) + burst/(quota*seconds)
}

// spread has requests come at random to routers, for so many times the quota.
func spread(quota float64, n int, load, seconds float64) (passed, asked float64) {
	rnd := rand.New(rand.NewPCG(5, uint64(n)))
	var list []*Limiter
	for i := range n {
		list = append(list, New(settings(func(set *Settings) {
			set.Routers, set.StartInFlight, set.MaxInFlight, set.Seed = n, 1e6, 1e6, uint64(i)
			set.Tenants[0].Budgets = []Budget{{Class: -1, Requests: Rate{quota, quota}}}
		})))
	}
	for id, at := uint64(0), 0.0; at < seconds; id++ {
		at += rnd.ExpFloat64() / (quota * load)
		l := list[rnd.IntN(n)]
		now := time.Duration(at * float64(s))
		for _, v := range l.Admit(now, request(id, 0, 0)) {
			if v.Admitted {
				passed++
			}
		}
		l.Ended(now, id, Served)
		asked++
	}
	return passed / (quota * seconds), asked / (quota * seconds)
}

// server is a model of what lies behind: it does so much at once and so much a
// second, first come first served.
type server struct {
	perSecond float64
	free      time.Duration
}

func (v *server) done(now time.Duration, size float64) time.Duration {
	v.free = max(v.free, now) + time.Duration(size/v.perSecond*float64(s))
	return v.free
}

// result is how a tenant fared.
type result struct{ asked, inTime, worth float64 }

// play has tenants ask at rates for requests of a size, before one server, with
// or without the limiter, and counts what is served in time.
func play(set Settings, perSecond, seconds float64, limited bool, tenants []func(at float64) (rate, size float64, class int)) []result {
	l, v := New(set), &server{perSecond: perSecond}
	out := make([]result, len(tenants))
	type ending struct {
		at    time.Duration
		id    uint64
		class int
	}
	var ends []ending // in order: the server is first come, first served
	who, came := map[uint64]int{}, map[uint64]time.Duration{}
	prices := map[uint64]float64{}
	finish := func(upTo time.Duration, apply func([]Verdict, time.Duration)) {
		for len(ends) > 0 && ends[0].at <= upTo {
			e := ends[0]
			ends = ends[1:]
			if e.at-came[e.id] <= set.Classes[e.class].Aim {
				out[who[e.id]].inTime++
				out[who[e.id]].worth += set.Classes[e.class].Worth
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
				ends = append(ends, ending{v.done(at, prices[verdict.ID]), verdict.ID, classes[verdict.ID]})
			}
		}
	}
	rnd := rand.New(rand.NewPCG(9, 9))
	next := make([]float64, len(tenants))
	id := uint64(0)
	for {
		t := 0
		for i := range next {
			if next[i] < next[t] {
				t = i
			}
		}
		if next[t] >= seconds {
			return out
		}
		rate, size, class := tenants[t](next[t])
		now := time.Duration(next[t] * float64(s))
		next[t] += rnd.ExpFloat64() / rate
		finish(now, apply)
		id++
		out[t].asked++
		who[id], came[id], prices[id], classes[id] = t, now, size, class
		a := request(id, t, class)
		a.Price = size
		if limited {
			apply(l.Tick(now), now)
			apply(l.Admit(now, a), now)
		} else {
			ends = append(ends, ending{v.done(now, size), id, class})
		}
	}
}

func even(rate, size float64, class int) func(float64) (float64, float64, int) {
	return func(float64) (float64, float64, int) { return rate, size, class }
}

// A tenant that asks for twenty times its share in one burst keeps the others
// from nothing: they get 95 % of what they got alone. Without limits they do not.
func TestBurstOfOne(t *testing.T) {
	burst := func(at float64) (float64, float64, int) {
		if at > 10 && at < 15 {
			return 1000, 1, 0
		}
		return 50, 1, 0
	}
	alone := play(settings(), 100, 30, true, []func(float64) (float64, float64, int){even(1e-6, 1, 0), even(25, 1, 0)})
	with := play(settings(), 100, 30, true, []func(float64) (float64, float64, int){burst, even(25, 1, 0)})
	without := play(settings(), 100, 30, false, []func(float64) (float64, float64, int){burst, even(25, 1, 0)})
	part := func(r result) float64 { return r.inTime / r.asked }
	if part(with[1]) < 0.95*part(alone[1]) || part(without[1]) > 0.7 {
		t.Errorf("in time: alone %.2f, with limits %.2f, without %.2f", part(alone[1]), part(with[1]), part(without[1]))
	}
}

// One whose requests are all long gets its share of the work, not of the requests.
func TestLongRequests(t *testing.T) {
	r := play(settings(), 100, 60, true, []func(float64) (float64, float64, int){even(20, 20, 0), even(200, 1, 0)})
	long, short := r[0].inTime*20, r[1].inTime
	if ratio := long / short; ratio < 0.6 || ratio > 1.6 {
		t.Errorf("work done %.0f of the long, %.0f of the short", long, short)
	}
}

// Goodput stays near its peak from once to ten times what can be done, and is
// back soon after a burst; without limits it falls to nearly nothing.
func TestOverload(t *testing.T) {
	at := func(load float64, limited bool) float64 {
		r := play(settings(), 100, 30, limited, []func(float64) (float64, float64, int){
			even(50*load, 1, 0), even(50*load, 1, 0)})
		return (r[0].inTime + r[1].inTime) / 30
	}
	peak := 0.0
	var got []float64
	for _, load := range []float64{1, 2, 5, 10} {
		got = append(got, at(load, true))
		peak = math.Max(peak, got[len(got)-1])
	}
	for i, g := range got {
		if g < 0.9*peak {
			t.Errorf("goodput %v: number %d is under 0.9 of the peak", got, i)
		}
	}
	if off := at(5, false); off > 0.3*peak {
		t.Errorf("without limits %.0f a second at 5 times: the case shows nothing", off)
	}
}

// Under overload what is worth least is shed first, and nothing is once there is room.
func TestShed(t *testing.T) {
	set := settings()
	r := play(set, 100, 60, true, []func(float64) (float64, float64, int){even(80, 1, 0), even(200, 1, 1)})
	if r[0].inTime < 0.85*r[0].asked {
		t.Errorf("of the worthy %.2f were in time, beside twice the capacity of the least worth", r[0].inTime/r[0].asked)
	}
	calm := play(set, 100, 60, true, []func(float64) (float64, float64, int){even(40, 1, 0), even(30, 1, 1)})
	if calm[1].inTime < 0.97*calm[1].asked {
		t.Errorf("with room %.2f of the least worth were in time", calm[1].inTime/calm[1].asked)
	}
}

// A reload while requests wait keeps them, in the turns of the new weights.
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
		t.Fatalf("the reload itself gave %v", list)
	}
	of := [2]int{}
	last := uint64(0)
	for range 10 {
		v := only(t, l.Ended(2*ms, last, Served))
		last = v.ID
		of[(v.ID-1)%2]++
	}
	if of[0] < 8 {
		t.Errorf("turns %v after the first's weight became nine times the second's", of)
	}
	next.MaxWaiting = 3
	list := l.Reload(3*ms, next)
	if len(list) != 7 || list[0].Admitted || list[0].Reason != Crowded {
		t.Errorf("%v; three may wait on", list)
	}
}

// A key that is revoked takes back what waits; what is in hand ends as usual.
func TestRevoke(t *testing.T) {
	l := New(settings(func(set *Settings) { set.StartInFlight, set.MinInFlight, set.MaxInFlight = 1, 1, 1 }))
	for id := range uint64(4) {
		a := request(id, 0, 0)
		a.Client = 1 + id%2
		l.Admit(0, a)
	}
	if v := only(t, l.Revoke(ms, 1)); v.ID != 2 || v.Reason != Revoked || v.Admitted {
		t.Errorf("%+v", v)
	}
	if v := only(t, l.Ended(2*ms, 0, Served)); v.ID != 1 || !v.Admitted {
		t.Errorf("%+v", v)
	}
}

// BenchmarkLimiter asks, begins and ends a request at many tenants, each with a
// budget, while as many requests wait as may.
func BenchmarkLimiter(b *testing.B) {
	for _, tenants := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			set := settings(func(set *Settings) {
				set.MaxWaiting, set.StartInFlight, set.MaxInFlight, set.Shed, set.WaitPart = 2*tenants, 64, 64, false, 1e9
				set.Tenants = make([]Tenant, tenants)
				for i := range set.Tenants {
					set.Tenants[i] = Tenant{Weight: 1, Budgets: []Budget{{Class: -1, Requests: Rate{1e9, 1e9}, Tokens: Rate{1e9, 1e9}}}}
				}
			})
			l := New(set)
			id, now := uint64(0), time.Duration(0)
			var hand []uint64
			step := func(ask bool) {
				id++
				now += 1000
				a := request(id, int(id*7919%uint64(tenants)), 0)
				a.TimeLeft = time.Hour
				for _, v := range l.Admit(now, a) {
					if v.Admitted {
						hand = append(hand, v.ID)
					}
				}
				if !ask || len(hand) == 0 {
					return
				}
				of := hand[0]
				hand = hand[1:]
				for _, v := range append(l.FirstToken(now, of), l.Ended(now, of, Served)...) {
					if v.Admitted {
						hand = append(hand, v.ID)
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
			b.ReportMetric(float64(l.View().Waiting), "waiting")
		})
	}
}
