// Package connreuse decides whether a request goes by a connection that was used
// before, or by a new one. It has no clock and does no I/O.
//
// A connection that was kept may be reset at its next request, which then may
// have run: an unsafe request has failed, and a safe one has lost an attempt. A
// new connection costs a handshake, and can fail too. So kept connections are
// used until they are seen to be reset more often than new ones by more than the
// handshake is worth.
package connreuse

import (
	"math"
	"time"
)

const (
	fade     = 10 * time.Second // ours: in which what was seen fades to 1/e
	prior    = 15               // ours: answers that each kind is taken to have had before any
	dear     = 0.01             // ours: how much worse kept ones may be for what can't be tried again,
	usual    = 0.04             // ours: and for all else
	lastOnes = 1                // ours: attempts left at which one counts as not to be made again: a read and its write
	lookout  = 0.05             // ours: part of what goes by kept ones all the same, so that an end is seen
)

// Policy learns how kept and new connections do. It is not safe for concurrent use.
type Policy struct {
	seen [2]struct{ all, bad float64 } // new, kept
	at   time.Duration
	turn float64
}

// Record takes in how a request on a connection went; bad is one that broke before
// its answer began. Times count from any moment.
func (k *Policy) Record(now time.Duration, kept, bad bool) {
	k.fade(now)
	s := &k.seen[index(kept)]
	s.all++
	if bad {
		s.bad++
	}
}

// UseNewConnection tells whether an attempt should go by a new connection: an unsafe one
// may not be made again should it break; else left tells how many more its
// request may make, negative any number.
func (k *Policy) UseNewConnection(now time.Duration, unsafe bool, left int) bool {
	k.fade(now)
	once := unsafe || left >= 0 && left <= lastOnes
	most := usual
	if once {
		most = dear
	}
	if k.part(true)-k.part(false) <= most {
		return false
	}
	if once {
		return true
	}
	k.turn += lookout
	if k.turn >= 1 {
		k.turn--
		return false
	}
	return true
}

// part is the part of requests that broke.
func (k *Policy) part(kept bool) float64 {
	s := k.seen[index(kept)]
	return s.bad / (s.all + prior)
}

func (k *Policy) fade(now time.Duration) {
	if now <= k.at {
		return
	}
	f := math.Exp(-float64(now-k.at) / float64(fade))
	for i := range k.seen {
		k.seen[i].all *= f
		k.seen[i].bad *= f
	}
	k.at = now
}

func index(kept bool) int {
	if kept {
		return 1
	}
	return 0
}
