// Package faults wraps the system calls and the wall clock through which a test build injects faults: failing calls,
// partial reads and writes, and a wrong wall clock. In the shipped build, without the build tag "faults", every function
// is the plain call.
//
// A build with the tag reads the faults from the environment variable GANNETHOOK_FAULTS, a list such as
// "seed=7,accept=0.05,dial=0.05,short=0.3,file=0.5,clock=3600". The values are the seed of the draws, the fraction of calls
// that fail, hang or are partial, and the seconds by which the wall clock is off. GANNETHOOK_BREAK names one guard to
// disable, which shows that a checker detects its absence.

package faults

// Guards that a build with faults can disable, by their values in GANNETHOOK_BREAK, and what happens without them.
const (
	BreakRepeat  = "repeat"  // an unsafe request is retried although it may have run
	BreakRelease = "release" // nothing that is held is released
	BreakDrain   = "drain"   // updates of a received server list are ignored, including drains
	BreakGone    = "gone"    // disconnects of clients are not detected
	BreakAnswer  = "answer"  // one client connection in ten is closed in place of an answer
	BreakTold    = "told"    // the timeout sent to workers exceeds the client's remaining time by 2 s
	BreakCrash   = "crash"   // the program panics at its twentieth client connection
	BreakStart   = "start"   // servers in slow start get the load of warm ones

	// Regressions: faults that were found and fixed.
	BreakForget   = "forget"    // a release sent while a write was in flight counts as the last one needed
	BreakOvertake = "overtake"  // a release does not allow for a close that the server observes late
	BreakUnheard  = "unheard"   // no release stays pending for servers that have not answered since a close
	BreakGiveUp   = "give-up"   // a release that no server acknowledged is not retried
	BreakBeside   = "beside"    // nothing is released while a write is in flight that may not have arrived
	BreakInFlight = "in-flight" // nothing is released while a read is in flight that may not have arrived
	BreakSpared   = "spared"    // a release limited by a write in flight is not repeated during the next attempt
	BreakLost     = "lost"      // a server that answers on another connection counts as having observed a close
	BreakFirst    = "first"     // until the first request ends, suspected servers count as having just answered
	BreakReload   = "reload"    // an unreadable configuration is not read again
	BreakBuffers  = "buffers"   // one write that fails for a local reason, such as a lack of buffers, ends a client's answer
	BreakRoom     = "room"      // an attempt fails at once if no connection is available
)
