// Package faults is the seam at which a test build fails system calls, cuts reads
// and writes short and steps the wall clock. The shipped build, without the build
// tag "faults", has none of it: every function is the plain call.
//
// A build with the tag takes its faults from the environment variable
// GANNETHOOK_FAULTS, a list such as "seed=7,accept=0.05,dial=0.05,short=0.3,
// file=0.5,clock=3600": parts of the calls that fail or are cut short, and seconds
// by which the wall clock is off. GANNETHOOK_BREAK names one guard that the build
// leaves out, so that a checker can be seen to notice.
package faults

// Guards that a build with faults may leave out, by GANNETHOOK_BREAK.
const (
	BreakRepeat  = "repeat"  // an unsafe request is sent again although it may have run
	BreakRelease = "release" // what is held is not let go
	BreakDrain   = "drain"   // the state of servers in the list is not looked at as a request is written
	BreakGone    = "gone"    // clients that have left are not looked for
	BreakAnswer  = "answer"  // one request in ten has its connection closed in place of an answer
	BreakTold    = "told"    // workers are told a longer time than the client has left
	BreakCrash   = "crash"   // the program ends at its twentieth connection
	BreakStart   = "start"   // servers in slow start are used as if they were warm

	// Faults that were once made.
	BreakForget   = "forget"    // a release that was sent beside an attempt counts as made
	BreakOvertake = "overtake"  // a release does not allow for a close that is noticed late
	BreakUnheard  = "unheard"   // nothing is owed to servers that have not been heard since a close
	BreakGiveUp   = "give-up"   // a release that no server took is not made again
	BreakBeside   = "beside"    // nothing is released beside a write that may not have arrived
	BreakInFlight = "in-flight" // nothing is released beside a read that may not have arrived
	BreakSpared   = "spared"    // a release that was spared for a write is not repeated beside the next attempt
	BreakLost     = "lost"      // a server that answers on another connection counts as having noticed a close
	BreakFirst    = "first"     // until a request is over, reads that a writer knew of count as in flight
	BreakReload   = "reload"    // a configuration that can't be read is not read again
	BreakBuffers  = "buffers"   // one failed write ends a client's answer
	BreakRoom     = "room"      // an attempt fails at once where no connection can be had
)
