package limits

import (
	"math"
	"time"
)

// Figures of the division of quotas among routers that share nothing.
const (
	settle       = 3 * time.Second  // a smaller number of routers counts once it has stood for so long
	countOver    = 10 * time.Second // own arrivals are counted over it
	chanceMost   = 0.5              // most that chance adds to a share
	deviations   = 1.0              // of own arrivals that a share makes up for
	togetherMost = 3.0              // requests of a small share that may come at once
)

// routers is how many routers quotas are divided by: the most that the list had
// of late. One that starts again is not taken for gone, and a list that flaps
// does not enlarge quotas; one that died is missed for settle.
type routers struct {
	now, next int
	nextAt    time.Duration
}

// tell takes a number of routers; it tells whether the divisor changed.
func (r *routers) tell(now time.Duration, n int) bool {
	if n = max(n, 1); n >= r.now {
		changed := n != r.now
		r.now, r.next = n, n
		return changed
	}
	if n != r.next {
		r.next, r.nextAt = n, now+settle
	}
	return false
}

// due tells when tick changes the divisor.
func (r *routers) due() (time.Duration, bool) { return r.nextAt, r.next < r.now }

// tick tells whether the smaller number counts now.
func (r *routers) tick(now time.Duration) bool {
	return r.next < r.now && now >= r.nextAt
}

// arrivals counts a tenant's own requests at this router, older ones fading.
type arrivals struct {
	n  float64
	at time.Duration
}

func (a *arrivals) left(now time.Duration) float64 {
	return a.n * math.Exp(-float64(now-a.at)/float64(countOver))
}

func (a *arrivals) count(now time.Duration) { a.n, a.at = a.left(now)+1, now }

// chance is what a tenant's share is enlarged by: where a front spreads requests
// at random, the n that come to one router in a time differ from their mean by
// the root of n. A static share alone would turn a tenant away that keeps to its
// quota, at whichever router has more than its part. All routers together let
// pass at most 1+chance of the quota, over a time that is long against the
// bursts; with n own arrivals in countOver that is 1+1/√n, and 1.5 at the most.
func chance(own float64) float64 {
	return min(deviations/math.Sqrt(max(own, 1)), chanceMost)
}

// share divides a fleet's rate. Each router lets one request pass at the least,
// and as many more at once as chance brings together where few come: see first.
func share(r Rate, routers int, own, least float64) Rate {
	if routers <= 1 || r.PerSecond <= 0 {
		return r
	}
	n := float64(routers)
	return Rate{PerSecond: r.PerSecond / n * (1 + chance(own)), Burst: max(r.Burst/n, least)}
}

// together is how many requests of a small share may come at once.
func together(r Rate, routers int) float64 {
	return min(1+2*math.Sqrt(r.PerSecond/float64(routers)*countOver.Seconds()), togetherMost)
}

// first is what a new meter has used already, so that all routers together let
// pass no more than the fleet's burst at once, though each must let one request
// pass in time: x from 0 to under 1 differs from router to router.
func first(r Rate, routers int, x float64) float64 {
	each := r.Burst / float64(routers)
	if r.PerSecond <= 0 || routers <= 1 || each >= 1 || x < each {
		return 0
	}
	return together(r, routers) - 1 + x
}

// retries is a client's budget of tries again (as Finagle's and gRPC's): each
// first try adds a part of one, each try again takes one. What is saved up is
// bounded by the client's first tries of late: when half the routers die, all
// that they had open comes again at once, and is let in; a storm is not.
type retries struct {
	left   float64
	at     time.Duration
	firsts arrivals
}

const (
	retriesMost = 10.0 // saved up at the least bound, and had at the start
	retriesPart = 0.2  // of the first tries in countOver, which may be saved up: what two seconds brought
	retriesIdle = 0.1  // a second, so that a client with few requests may try again
)

func (b *retries) settle(now time.Duration) {
	b.left = min(b.left+retriesIdle*(now-b.at).Seconds(), max(retriesMost, retriesPart*b.firsts.left(now)))
	b.at = now
}

func (b *retries) first(now time.Duration, part float64) {
	b.firsts.count(now)
	b.left += part
	b.settle(now)
}

// again takes one; it tells how long the next one is away where there is none.
func (b *retries) again(now time.Duration, part float64) time.Duration {
	b.settle(now)
	if b.left >= 1 {
		b.left--
		return 0
	}
	perSecond := retriesIdle + part*b.firsts.left(now)/countOver.Seconds()
	return time.Duration((1 - b.left) / perSecond * float64(time.Second))
}
