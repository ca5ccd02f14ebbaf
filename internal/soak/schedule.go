// Package soak runs routers as real processes on loopback, injects faults that a seed draws, and checks invariants
// from what clients, workers and discovery observe. The oracle shares no code with the router.
//
// A run has a schedule of faults (schedule.go) that run.go plays, a platform (platform.go, discovery.go, worker.go,
// proxy.go, process.go), clients (client.go), and a history of observations (history.go, heldstate.go for what workers
// hold) that the oracle checks, mostly after the run (oracle.go).

package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault. Its value is the name that the --only flag and the report use.
type FaultKind string

// The kinds of fault, grouped by what they affect.
const (
	// Routers.
	Stop     FaultKind = "stop"      // SIGTERM, SIGKILL after the grace period, and a restart
	Kill     FaultKind = "kill"      // SIGKILL and a restart
	Reload   FaultKind = "reload"    // new configurations, one after another, each with another discovery address
	HalfFile FaultKind = "half-file" // the same, but the file is half written when the signal arrives
	Freeze   FaultKind = "freeze"    // SIGSTOP for up to 0.15 s, repeatedly
	Signals  FaultKind = "signals"   // many SIGHUPs, followed by a SIGTERM and a restart

	// Discovery.
	AgentMute  FaultKind = "agent-mute"  // no answers
	AgentReset FaultKind = "agent-reset" // open watches are reset, repeatedly
	AgentSlow  FaultKind = "agent-slow"  // answers are delayed and arrive in pieces

	// Workers.
	Drain     FaultKind = "drain"     // drained, later restarted
	Cold      FaultKind = "cold"      // restarted, so that their slow start begins
	Hang      FaultKind = "hang"      // stalled: they start, answer and observe nothing until they resume
	Jam       FaultKind = "jam"       // queues are blocked: accepted attempts wait
	Silent    FaultKind = "silent"    // unreachable: open and new connections carry no data
	Blackout  FaultKind = "blackout"  // four in five workers of one role, or of both, are unreachable, repeatedly
	Mute      FaultKind = "mute"      // single connections go silent with a message, or after one that has arrived, while their workers run
	Fresh     FaultKind = "fresh"     // routers restart and lose all prefill workers after their first requests; other routers reach the workers
	Partition FaultKind = "partition" // some routers can't reach some workers, which other routers reach
	Refuse    FaultKind = "refuse"    // connections are refused
	Resets    FaultKind = "resets"    // open connections are reset during requests, repeatedly
	Trickle   FaultKind = "trickle"   // data arrives in small, delayed pieces
	Spoil     FaultKind = "spoil"     // answers are malformed

	// Clients.
	Leave FaultKind = "leave" // clients disconnect at any time
	Flood FaultKind = "flood" // bursts, incomplete requests and malformed input; refused requests are retried at once
	Idle  FaultKind = "idle"  // many idle connections
	Slow  FaultKind = "slow"  // clients read their streams slowly

	// System calls and the clock; only in a build with the tag faults.
	Calls FaultKind = "calls" // system calls fail, or read and write in part
	Clock FaultKind = "clock" // the wall clock is off by seconds or an hour
	Files FaultKind = "files" // reading the configuration fails now and then
)

// Kinds lists all kinds of fault. The order matters: a seed draws from it.
var Kinds = []FaultKind{Stop, Kill, Reload, HalfFile, Freeze, Signals, AgentMute, AgentReset, AgentSlow, Drain, Cold, Hang, Jam, Silent, Blackout, Mute, Fresh, Partition, Refuse, Resets,
	Trickle, Spoil, Leave, Flood, Idle, Slow, Calls, Clock, Files}

// systemKinds affect every router, for the whole run.
var systemKinds = []FaultKind{Calls, Clock, Files}

// Fault is one fault of a schedule. Times count from the start of the run.
type Fault struct {
	Kind        FaultKind
	From, Until time.Duration
	Fraction    float64 // of the routers, workers, clients or calls that it affects
	Seed        uint64  // of the fault's own random draws
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %.1f-%.1fs %.0f%%", f.Kind, f.From.Seconds(), f.Until.Seconds(), 100*f.Fraction)
}

// overlaps reports whether two faults are active at the same time.
func (f Fault) overlaps(o Fault) bool { return f.From < o.Until && o.From < f.Until }

// Schedule is the faults that one seed draws for a run.
type Schedule struct {
	Seed   uint64
	Length time.Duration
	Faults []Fault
}

// Bounds of a schedule.
const (
	settleTime     = 2 * time.Second // at the start and the end; core faults may use up to half of each
	minFaultLength = 1500 * time.Millisecond
	maxFaultLength = 5 * time.Second
)

// NewSchedule draws a schedule: a core of two or three overlapping faults, and one or two more at any time. only, if not
// empty, lists the kinds to draw from.
func NewSchedule(seed uint64, length time.Duration, only []FaultKind) Schedule {
	rnd := rand.New(rand.NewPCG(seed, 2))
	kinds := Kinds
	if len(only) > 0 {
		kinds = only
	}
	drawn := slices.Clone(kinds)
	rnd.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	core, extra := 2+rnd.IntN(2), 1+rnd.IntN(2)
	drawn = drawn[:min(len(drawn), core+extra)]
	window := max(length-2*settleTime, minFaultLength)
	middle := settleTime + time.Duration(rnd.Float64()*0.6*float64(window)+0.2*float64(window))
	s := Schedule{Seed: seed, Length: length}
	for i, kind := range drawn {
		span := minFaultLength + time.Duration(rnd.Float64()*float64(maxFaultLength-minFaultLength))
		from := settleTime + time.Duration(rnd.Float64()*float64(max(window-span, 0)))
		if i < core { // around middle, so that the core faults overlap there
			from = middle - time.Duration((0.1+0.8*rnd.Float64())*float64(span))
		}
		f := Fault{Kind: kind, From: max(from, settleTime/2), Fraction: 0.2 + 0.4*rnd.Float64(), Seed: rnd.Uint64()}
		f.Until = min(f.From+span, length-settleTime/2)
		if slices.Contains(systemKinds, kind) {
			f.From, f.Until = 0, length
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.From, b.From) })
	return s
}

// find returns the fault of a kind.
func (s *Schedule) find(kind FaultKind) (Fault, bool) {
	i := slices.IndexFunc(s.Faults, func(f Fault) bool { return f.Kind == kind })
	if i < 0 {
		return Fault{}, false
	}
	return s.Faults[i], true
}

// Pairs returns the names of the pairs of kinds that overlap, each once, sorted.
func (s *Schedule) Pairs() []string {
	var pairs []string
	for i, a := range s.Faults {
		for _, b := range s.Faults[i+1:] {
			if a.overlaps(b) {
				pairs = append(pairs, PairName(a.Kind, b.Kind))
			}
		}
	}
	slices.Sort(pairs)
	return slices.Compact(pairs)
}

// PairName returns the name of a pair of kinds, in either order.
func PairName(a, b FaultKind) string {
	if b < a {
		a, b = b, a
	}
	return string(a) + "+" + string(b)
}

func (s *Schedule) String() string {
	parts := make([]string, len(s.Faults))
	for i, f := range s.Faults {
		parts[i] = f.String()
	}
	return strings.Join(parts, ", ")
}
