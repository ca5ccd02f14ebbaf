package limits

import "time"

// Parameters of the concurrency limit; docs/limits.md gives the reasons. Fractions of latency refer to the target
// latency of the request's class.
const (
	earlyFraction    = 0.4                    // a first token within this fraction is on time
	baselineMultiple = 2.0                    // as is one within this multiple of the class's baseline
	baselineRise     = time.Minute            // time in which a baseline rises to a higher latency
	lateFraction     = 0.8                    // anything above is late; a class with a higher baseline is not evaluated
	lateTolerance    = 0.15                   // fraction of a round's requests that may be late
	decreaseFactor   = 0.8                    // multiplicative decrease after a late round
	increaseFraction = 0.05                   // additive increase per round, as a fraction of lastOverload; at least 1
	minRound         = 100 * time.Millisecond // minimum duration of a round
	minRoundRequests = 8                      // minimum number of requests in a round
	meanGain         = 0.05                   // weight of one request in exponential averages
	usedFraction     = 0.8                    // the limit only increases if at least this fraction was used
)

// baseline is the lowest recent first-token latency of a class, as a fraction of its target latency. It drops at
// once and rises slowly.
type baseline struct {
	fraction float64
	at       time.Duration
}

func (b *baseline) observe(now time.Duration, fraction float64) {
	if fraction > b.fraction {
		fraction = b.fraction + min(float64(now-b.at)/float64(baselineRise), 1)*(min(fraction, 1)-b.fraction)
	}
	b.fraction, b.at = fraction, now
}

// concurrencyLimit adapts how much work may be in flight: dispatched to the decision module, with no first token
// yet. It uses additive increase while first tokens are on time and multiplicative decrease when they are not, so
// that routers that share engines but no state converge to equal shares (Chiu and Jain, 1989). On time means within
// a fraction of the class's target latency, which leaves time for queueing, or within twice the class's baseline:
// a class that is always slow does not close the limit.
type concurrencyLimit struct {
	lower, upper   float64
	current        float64 // the limit, in requests of mean size
	lastOverload   float64 // the limit, or the amount in flight if lower, when a round was last late
	peak           float64 // highest amount in flight in this round
	requests, late float64
	roundStart     time.Duration // late requests dispatched before it reflect an earlier limit
	meanFraction   float64       // mean first-token latency as a fraction of the target
	meanSize       float64       // mean size of a request
	baselines      []baseline    // indexed by class
}

func newConcurrencyLimit(lower, start, upper float64, classes int) concurrencyLimit {
	c := concurrencyLimit{lower: lower, upper: upper, current: start, lastOverload: start, meanFraction: earlyFraction / 2,
		baselines: make([]baseline, classes)}
	for i := range c.baselines {
		c.baselines[i].fraction = earlyFraction / baselineMultiple
	}
	return c
}

// firstToken records a first-token latency, measured since the dispatch, as a fraction of the target latency.
func (c *concurrencyLimit) firstToken(now, dispatched time.Duration, class int, fraction float64) {
	c.meanFraction += meanGain * (min(fraction, 1) - c.meanFraction)
	late := c.isLate(class, fraction)
	c.baselines[class].observe(now, fraction)
	if c.baselines[class].fraction < lateFraction {
		c.record(now, dispatched, late)
	}
}

// isLate reports whether a first-token latency is late for a class.
func (c *concurrencyLimit) isLate(class int, fraction float64) bool {
	return fraction > min(max(earlyFraction, baselineMultiple*c.baselines[class].fraction), lateFraction)
}

// refused records a refusal by the decision module, which counts as a late request: capacity is lower than assumed.
func (c *concurrencyLimit) refused(now, dispatched time.Duration) { c.record(now, dispatched, true) }

func (c *concurrencyLimit) record(now, dispatched time.Duration, late bool) {
	if dispatched < c.roundStart && late {
		return
	}
	c.requests++
	if late {
		c.late++
	}
	if c.requests < minRoundRequests || now-c.roundStart < minRound {
		return
	}
	switch {
	case c.late > lateTolerance*c.requests:
		// The overload occurred at the amount in flight, so an unused limit decreases to that amount first.
		c.lastOverload = min(c.current, max(c.peak, c.lower))
		c.current = max(c.lastOverload*decreaseFactor, c.lower)
	case c.peak >= c.current*usedFraction:
		c.current = min(c.current+max(1, increaseFraction*c.lastOverload), c.upper)
	}
	c.requests, c.late, c.peak, c.roundStart = 0, 0, 0, now
}

// relativeSize updates the mean request size and returns this request's size relative to it.
func (c *concurrencyLimit) relativeSize(size float64) float64 {
	if c.meanSize == 0 {
		c.meanSize = size
	}
	c.meanSize += meanGain * (size - c.meanSize)
	return size / c.meanSize
}

// shedder implements the brown-out: its level rises while requests are refused for lack of capacity and falls when
// there is capacity. At level 1 all requests of the class of lowest worth are shed, at level 2 also those of the next
// class, and between two levels a random fraction. First attempts of
// the class of highest worth are never shed.
type shedder struct {
	ranks      []int // of each class by worth, 0 for the lowest; classes of equal worth share a rank
	maxLevel   float64
	level      float64
	requests   float64
	refused    float64
	roundStart time.Duration
}

// Parameters of the brown-out.
const (
	shedRound     = 250 * time.Millisecond // minimum duration of a round
	shedIncrease  = 0.5                    // added to the level by a round in which every request is refused
	shedDecrease  = 0.02                   // subtracted by a round with capacity
	shedThreshold = 0.01                   // fraction of refused requests that doesn't raise the level
)

func newShedder(classes []Class) shedder {
	s := shedder{}
	for _, c := range classes {
		rank := 0
		for i, o := range classes {
			unseen := true
			for _, p := range classes[:i] {
				unseen = unseen && p.Worth != o.Worth
			}
			if unseen && o.Worth < c.Worth {
				rank++
			}
		}
		s.ranks = append(s.ranks, rank)
		s.maxLevel = max(s.maxLevel, float64(rank))
	}
	return s
}

// sheds reports whether a request of a class is shed; draw is the request's random draw in [0, 1). A retry counts as
// of the lowest worth: part of its client's time has passed, and retries multiply when capacity is short.
func (s *shedder) sheds(class int, retry bool, draw float64) bool {
	rank := s.ranks[class]
	if retry {
		rank = 0
	}
	return s.level-float64(rank) > draw
}

// count counts a request that was not shed; refused reports that there was no capacity for it.
func (s *shedder) count(refused bool) {
	s.requests++
	if refused {
		s.refused++
	}
}

// update adjusts the level at the end of a round.
func (s *shedder) update(now time.Duration) {
	if now-s.roundStart < shedRound {
		return
	}
	fraction := s.refused / max(s.requests, minRoundRequests)
	if fraction > shedThreshold {
		s.level = min(s.level+shedIncrease*fraction, s.maxLevel)
	} else {
		rounds := float64((now - s.roundStart) / shedRound)
		s.level = max(s.level-shedDecrease*rounds, 0)
	}
	s.requests, s.refused, s.roundStart = 0, 0, now
}
