// Package soak runs routers as real processes on loopback under troubles that a
// seed draws, and judges from the sides of clients, workers and discovery whether
// every promise was kept. It uses nothing of the router's own code to judge.
//
// A run has a plan (plan.go), a platform that carries it out (discovery.go,
// worker.go, proxy.go, process.go), clients (client.go), and a ledger of what was
// seen, which is judged when all has ended (ledger.go, judge.go).
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble, by what they strike.
const (
	// Routers.
	Stop     Kind = "stop"      // SIGTERM, SIGKILL when the grace is over, and a new start
	Kill     Kind = "kill"      // SIGKILL and a new start
	Reload   Kind = "reload"    // new configurations in a row, each with another address of discovery
	HalfFile Kind = "half-file" // the same, but the file is half written as the signal comes
	Freeze   Kind = "freeze"    // SIGSTOP for up to 0.15 s, again and again
	Signals  Kind = "signals"   // many signals for reloads, and one for a stop behind them

	// Discovery.
	AgentMute  Kind = "agent-mute"  // it says nothing
	AgentReset Kind = "agent-reset" // open watches are reset, again and again
	AgentSlow  Kind = "agent-slow"  // its answers come late and in pieces

	// Workers.
	Drain     Kind = "drain"     // drained and replaced
	Cold      Kind = "cold"      // started anew, cold
	Hang      Kind = "hang"      // they do not run: nothing is begun, answered or noticed until they do
	Jam       Kind = "jam"       // queues do not move: what is taken waits
	Silent    Kind = "silent"    // cut off: open connections say nothing, new ones stay silent
	Blackout  Kind = "blackout"  // four in five workers of one role, or of both, are cut off, again and again
	Mute      Kind = "mute"      // single connections fall silent with a message, or behind one that has arrived, while their workers run
	Fresh     Kind = "fresh"     // routers start anew, and are cut off from all prefill workers behind their first requests; others reach them
	Partition Kind = "partition" // some routers are cut off from some workers, which others reach
	Refuse    Kind = "refuse"    // connections are refused
	Resets    Kind = "resets"    // connections are reset under requests
	Trickle   Kind = "trickle"   // bytes come one by one, and late
	Spoil     Kind = "spoil"     // answers can't be read

	// Clients.
	Leave Kind = "leave" // they leave at any time
	Flood Kind = "flood" // they send much at once, half requests, and noise
	Idle  Kind = "idle"  // they hold many connections and say nothing
	Slow  Kind = "slow"  // they take their streams slowly

	// This machine; only in a build with faults.
	Calls Kind = "calls" // system calls fail or come short
	Clock Kind = "clock" // the wall clock is off by seconds or an hour
	Files Kind = "files" // the configuration can't be read for a while
)

// Kinds are all kinds of trouble.
var Kinds = []Kind{Stop, Kill, Reload, HalfFile, Freeze, Signals, AgentMute, AgentReset, AgentSlow, Drain, Cold, Hang, Jam, Silent, Blackout, Mute, Fresh, Partition, Refuse, Resets,
	Trickle, Spoil, Leave, Flood, Idle, Slow, Calls, Clock, Files}

// systemKinds strike every router of a run from its start.
var systemKinds = []Kind{Calls, Clock, Files}

// Trouble is one trouble of a plan. Times count from the run's start.
type Trouble struct {
	Kind        Kind
	From, Until time.Duration
	Part        float64 // of the routers, workers or clients that it strikes
	Seed        uint64  // of its own draws
}

func (t Trouble) String() string {
	return fmt.Sprintf("%s %.1f-%.1fs %.0f%%", t.Kind, t.From.Seconds(), t.Until.Seconds(), 100*t.Part)
}

// overlaps tells whether two troubles are under way at the same time.
func (t Trouble) overlaps(o Trouble) bool { return t.From < o.Until && o.From < t.Until }

// Plan is what one seed draws.
type Plan struct {
	Seed     uint64
	Length   time.Duration
	Troubles []Trouble
}

// Bounds of a plan.
const (
	settled     = 2 * time.Second // before the first trouble, and after the last one
	leastLength = 1500 * time.Millisecond
	mostLength  = 5 * time.Second
)

// NewPlan draws a plan: a core of two or three troubles that overlap, and one or two more
// at any time. only, if not empty, names the kinds to draw from.
func NewPlan(seed uint64, length time.Duration, only []Kind) Plan {
	rnd := rand.New(rand.NewPCG(seed, 2))
	kinds := Kinds
	if len(only) > 0 {
		kinds = only
	}
	draw := slices.Clone(kinds)
	rnd.Shuffle(len(draw), func(i, j int) { draw[i], draw[j] = draw[j], draw[i] })
	core, more := 2+rnd.IntN(2), 1+rnd.IntN(2)
	draw = draw[:min(len(draw), core+more)]
	room := max(length-2*settled, leastLength)
	middle := settled + time.Duration(rnd.Float64()*0.6*float64(room)+0.2*float64(room))
	p := Plan{Seed: seed, Length: length}
	for i, kind := range draw {
		span := leastLength + time.Duration(rnd.Float64()*float64(mostLength-leastLength))
		from := settled + time.Duration(rnd.Float64()*float64(max(room-span, 0)))
		if i < core { // around the middle, so that the core's troubles overlap there
			from = middle - time.Duration((0.1+0.8*rnd.Float64())*float64(span))
		}
		t := Trouble{Kind: kind, From: max(from, settled/2), Part: 0.2 + 0.4*rnd.Float64(), Seed: rnd.Uint64()}
		t.Until = min(t.From+span, length-settled/2)
		if slices.Contains(systemKinds, kind) {
			t.From, t.Until = 0, length
		}
		p.Troubles = append(p.Troubles, t)
	}
	slices.SortFunc(p.Troubles, func(a, b Trouble) int { return cmp.Compare(a.From, b.From) })
	return p
}

// find is the plan's trouble of a kind.
func (p *Plan) find(kind Kind) (Trouble, bool) {
	i := slices.IndexFunc(p.Troubles, func(t Trouble) bool { return t.Kind == kind })
	if i < 0 {
		return Trouble{}, false
	}
	return p.Troubles[i], true
}

// Pairs names the kinds that overlap, each pair once, in order of name.
func (p *Plan) Pairs() []string {
	var pairs []string
	for i, a := range p.Troubles {
		for _, b := range p.Troubles[i+1:] {
			if a.overlaps(b) {
				pairs = append(pairs, PairOf(a.Kind, b.Kind))
			}
		}
	}
	slices.Sort(pairs)
	return slices.Compact(pairs)
}

// PairOf is the name of a pair of kinds.
func PairOf(a, b Kind) string {
	if b < a {
		a, b = b, a
	}
	return string(a) + "+" + string(b)
}

func (p *Plan) String() string {
	parts := make([]string, len(p.Troubles))
	for i, t := range p.Troubles {
		parts[i] = t.String()
	}
	return strings.Join(parts, ", ")
}
