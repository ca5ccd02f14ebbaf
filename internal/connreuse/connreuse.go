// Package connreuse decides whether a request uses an idle connection or a new one. It
// has no clock and does no I/O.
//
// A reused connection may be reset at its next request, which may then have run: an
// unsafe request has failed, and a safe one has used up an attempt. A new connection
// costs a handshake, and can fail too. So connections are reused until they break more
// often than new ones by more than the handshake is worth.
package connreuse

import (
	"math"
	"time"
)

const (
	decayTime          = 10 * time.Second // in which counts decay to 1/e
	priorRequests      = 15               // requests without a break that each kind starts with, so that one break changes little
	maxExcessSingleTry = 0.01             // how much greater the share of reused connections that break may be, for requests that can't be retried,
	maxExcess          = 0.04             // and for all others
	fewRetries         = 1                // retries remaining at which a request counts as not retriable: it needs a read and a write
	probeShare         = 0.05             // share of requests that reuse a connection all the same, to detect that resets have ended
)

// Policy compares how often reused and new connections break. It is not safe for concurrent use.
type Policy struct {
	counts      [2]struct{ total, broken float64 } // decaying counters of requests; 0: on new connections, 1: on reused ones
	updatedAt   time.Duration
	probeCredit float64
}

// Record counts a request; broken is set if its connection broke before the response
// began. Times are durations since a common moment.
func (p *Policy) Record(now time.Duration, reused, broken bool) {
	p.decay(now)
	s := &p.counts[index(reused)]
	s.total++
	if broken {
		s.broken++
	}
}

// UseNewConnection reports whether an attempt should use a new connection. An unsafe
// attempt must not be retried if it breaks; else its request has retriesLeft retries
// remaining, any number if negative.
func (p *Policy) UseNewConnection(now time.Duration, unsafe bool, retriesLeft int) bool {
	p.decay(now)
	singleTry := unsafe || retriesLeft >= 0 && retriesLeft <= fewRetries
	allowed := maxExcess
	if singleTry {
		allowed = maxExcessSingleTry
	}
	if p.brokenShare(true)-p.brokenShare(false) <= allowed {
		return false
	}
	if singleTry {
		return true
	}
	p.probeCredit += probeShare
	if p.probeCredit >= 1 {
		p.probeCredit--
		return false
	}
	return true
}

// brokenShare returns the share of requests that broke, with priorRequests added as unbroken.
func (p *Policy) brokenShare(reused bool) float64 {
	s := p.counts[index(reused)]
	return s.broken / (s.total + priorRequests)
}

func (p *Policy) decay(now time.Duration) {
	if now <= p.updatedAt {
		return
	}
	f := math.Exp(-float64(now-p.updatedAt) / float64(decayTime))
	for i := range p.counts {
		p.counts[i].total *= f
		p.counts[i].broken *= f
	}
	p.updatedAt = now
}

func index(reused bool) int {
	if reused {
		return 1
	}
	return 0
}
