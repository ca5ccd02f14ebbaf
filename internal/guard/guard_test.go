package guard

import (
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func TestMayWrite(t *testing.T) {
	disconnected := func() bool { return true }
	open := WriteFacts{Listed: true, Now: now}
	for _, c := range []struct {
		name   string
		change func(*WriteFacts)
		want   Reason
	}{
		{"nothing changed", func(*WriteFacts) {}, Allowed},
		{"attempt cancelled", func(f *WriteFacts) { f.Cancelled = true }, Cancelled},
		{"a cancelled release", func(f *WriteFacts) { f.Cancelled, f.Release = true, true }, Cancelled},
		{"a release to a server that drains", func(f *WriteFacts) { f.Draining, f.Release = true, true }, Allowed},
		{"not listed", func(f *WriteFacts) { f.Listed = false }, Unlisted},
		{"draining", func(f *WriteFacts) { f.Draining = true }, Draining},
		{"at its deadline", func(f *WriteFacts) { f.Deadline = now }, Allowed},
		{"past its deadline", func(f *WriteFacts) { f.Deadline = now.Add(-1) }, DeadlinePassed},
		{"past its window", func(f *WriteFacts) { f.WindowEnds = now.Add(-1) }, WindowPassed},
		{"client disconnected", func(f *WriteFacts) { f.ClientGone = disconnected }, ClientGone},
	} {
		f := open
		c.change(&f)
		if got := MayWrite(f); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func TestMaySendAndRefuse(t *testing.T) {
	for _, c := range []struct {
		f    SendFacts
		want Reason
	}{
		{SendFacts{Effect: Unsafe}, Allowed},
		{SendFacts{Effect: Unsafe, MayHaveRun: true}, MayHaveRun},
		{SendFacts{Effect: Unsafe, EffectInFlight: true}, EffectInFlight},
		{SendFacts{Effect: Keyed, MayHaveRun: true}, Allowed},
		{SendFacts{Effect: Keyed, EffectInFlight: true}, EffectInFlight},
		{SendFacts{Effect: Safe, EffectInFlight: true, MayHaveRun: true}, Allowed},
		{SendFacts{Answered: true}, Answered},
		{SendFacts{Streaming: true}, Streaming},
	} {
		if got := MaySend(c.f); got != c.want {
			t.Errorf("%+v: %s, want %s", c.f, got, c.want)
		}
	}
	for _, c := range []struct {
		f    RefuseFacts
		want Reason
	}{
		{RefuseFacts{Effect: Safe, MayHaveRun: true}, Allowed},
		{RefuseFacts{Effect: Unsafe}, Allowed},
		{RefuseFacts{Effect: Unsafe, MayHaveRun: true, Remembered: true}, MayHaveRun},
		{RefuseFacts{Effect: Keyed, MayHaveRun: true}, MayHaveRun},
		{RefuseFacts{Effect: Keyed, MayHaveRun: true, Remembered: true}, Allowed},
	} {
		if got := MayRefuse(c.f); got != c.want {
			t.Errorf("%+v: %s, want %s", c.f, got, c.want)
		}
	}
}

func TestMonitorCounts(t *testing.T) {
	var reported []Denial
	m := NewMonitor(func(d Denial) { reported = append(reported, d) })
	if !m.Check(Write, Allowed, "a") || m.Check(Write, ClientGone, "a") || m.Check(Close, MayClose(CloseFacts{Accepted: true}), "b") {
		t.Error("Check allowed a denied step or denied an allowed one")
	}
	if m.Violations() != 1 || m.Counts()["write: client gone"] != 1 || m.Counts()["close: request unanswered"] != 1 || len(reported) != 2 {
		t.Errorf("%d violations, %v, %v", m.Violations(), m.Counts(), reported)
	}
	var none *Monitor
	if none.Check(Send, MayHaveRun, "c") {
		t.Error("a nil monitor allows a denied step")
	}
}

func TestMayStart(t *testing.T) {
	for f, want := range map[StartFacts]Reason{{}: Allowed, {ClientGone: true, LateInStop: true}: ClientGone,
		{LateInStop: true}: LateInStop, {IDOpen: true}: IDOpen} {
		if got := MayStart(f); got != want || got.Violates() {
			t.Errorf("%+v: %s, want %s", f, got, want)
		}
	}
}
