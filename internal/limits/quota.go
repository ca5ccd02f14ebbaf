package limits

import (
	"math"
	"time"
)

// Parameters of the division of quotas among routers that share no state.
const (
	decreaseDelay        = 3 * time.Second  // a lower number of routers takes effect after this time
	arrivalsPeriod       = 10 * time.Second // time constant of the decaying count of own arrivals
	maxVarianceAllowance = 0.5              // upper bound of varianceAllowance, as a fraction of the share
	allowedDeviations    = 1.0              // standard deviations of own arrivals that a share allows for
	maxSmallShareBurst   = 3.0              // upper bound of smallShareBurst, in requests
)

// routerCount is the number of routers that quotas are divided by: the highest that discovery reported recently. A
// router that restarts thus isn't taken for removed, and a flapping list doesn't enlarge quotas; a failed router still
// counts for decreaseDelay.
type routerCount struct {
	current, next int           // the divisor now, and after a scheduled decrease
	nextAt        time.Duration // when the decrease takes effect
}

// update records the number of routers and reports whether the divisor increased. A decrease is only scheduled.
func (r *routerCount) update(now time.Duration, n int) bool {
	if n = max(n, 1); n >= r.current {
		changed := n != r.current
		r.current, r.next = n, n
		return changed
	}
	if n != r.next {
		r.next, r.nextAt = n, now+decreaseDelay
	}
	return false
}

// nextChange returns the time of the scheduled decrease, if there is one.
func (r *routerCount) nextChange() (time.Duration, bool) { return r.nextAt, r.next < r.current }

// decreaseDue reports whether the scheduled decrease takes effect now.
func (r *routerCount) decreaseDue(now time.Duration) bool {
	return r.next < r.current && now >= r.nextAt
}

// arrivals is an exponentially decaying count of a tenant's requests at this router.
type arrivals struct {
	sum float64
	at  time.Duration // time of the last arrival, to which sum refers
}

func (a *arrivals) decayed(now time.Duration) float64 {
	return a.sum * math.Exp(-float64(now-a.at)/float64(arrivalsPeriod))
}

func (a *arrivals) add(now time.Duration) { a.sum, a.at = a.decayed(now)+1, now }

// varianceAllowance is the fraction by which a tenant's share is enlarged. Where a load balancer spreads requests at
// random, the number n that one router receives has a standard deviation of √n. A plain share would refuse requests of
// a tenant within its quota at every router that receives more than the mean. Over a time that is long compared with
// the bursts, all routers together admit at most 1+varianceAllowance times the quota; with n own arrivals in
// arrivalsPeriod that is 1+1/√n, and at most 1.5.
func varianceAllowance(arrivals float64) float64 {
	return min(allowedDeviations/math.Sqrt(max(arrivals, 1)), maxVarianceAllowance)
}

// routerShare returns one router's share of a fleet-wide rate. The burst is at least minBurst, so that each router can
// admit one request, and as many at once as random arrivals bring together at a low rate: see initialUse.
func routerShare(r Rate, routers int, arrivals, minBurst float64) Rate {
	if routers <= 1 || r.PerSecond <= 0 {
		return r
	}
	n := float64(routers)
	return Rate{PerSecond: r.PerSecond / n * (1 + varianceAllowance(arrivals)), Burst: max(r.Burst/n, minBurst)}
}

// smallShareBurst returns how many requests a router admits at once where its share of the burst is small.
func smallShareBurst(r Rate, routers int) float64 {
	return min(1+2*math.Sqrt(r.PerSecond/float64(routers)*arrivalsPeriod.Seconds()), maxSmallShareBurst)
}

// initialUse returns the amount that a new meter starts with. All routers together must not admit more than the
// fleet's burst at once, though each must be able to admit one request eventually: draw, in [0, 1), differs between
// routers and selects those that start with a full burst.
func initialUse(r Rate, routers int, draw float64) float64 {
	perRouter := r.Burst / float64(routers)
	if r.PerSecond <= 0 || routers <= 1 || perRouter >= 1 || draw < perRouter {
		return 0
	}
	return smallShareBurst(r, routers) - 1 + draw
}

// retryBudget is a client's retry budget, as in Finagle and gRPC: each first attempt adds a fraction of a retry, each
// retry takes one. The budget is bounded by the client's recent first attempts: when half of the routers fail, all
// requests that they had open are retried at once and are admitted; a retry storm is not.
type retryBudget struct {
	available     float64       // retries
	at            time.Duration // time of the last refill
	firstAttempts arrivals
}

const (
	minRetryBurst      = 10.0 // retries: lowest bound of the budget, and its initial value
	retryBurstFraction = 0.2  // bound of the budget as a fraction of the first attempts in arrivalsPeriod: those of two seconds
	idleRetryRate      = 0.1  // retries a second that are always added, so that a client with few requests may retry
)

// refill adds the retries of the time since the last refill and applies the bound.
func (b *retryBudget) refill(now time.Duration) {
	b.available = min(b.available+idleRetryRate*(now-b.at).Seconds(), max(minRetryBurst, retryBurstFraction*b.firstAttempts.decayed(now)))
	b.at = now
}

// firstAttempt counts a first attempt, which adds ratio retries.
func (b *retryBudget) firstAttempt(now time.Duration, ratio float64) {
	b.firstAttempts.add(now)
	b.available += ratio
	b.refill(now)
}

// take takes one retry, or returns how long until the next one is available.
func (b *retryBudget) take(now time.Duration, ratio float64) time.Duration {
	b.refill(now)
	if b.available >= 1 {
		b.available--
		return 0
	}
	perSecond := idleRetryRate + ratio*b.firstAttempts.decayed(now)/arrivalsPeriod.Seconds()
	return time.Duration((1 - b.available) / perSecond * float64(time.Second))
}
