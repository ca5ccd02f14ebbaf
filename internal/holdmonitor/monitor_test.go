package holdmonitor

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// A request whose read and reservation are not answered is reported once while it is open, and again after another answer.
func TestUnansweredKeyIsReported(t *testing.T) {
	m, now := New(), time.Unix(1000, 0)
	expectReports := func(after time.Duration, want int) []Report {
		t.Helper()
		now = now.Add(after)
		got := m.Due(now)
		if len(got) != want {
			t.Fatalf("%d reports, want %d: %+v", len(got), want, got)
		}
		return got
	}
	m.Sent("k", "r", 500*ms, Read, "reader", now)
	m.Sent("k", "r", 500*ms, Reservation, "writer", now)
	expectReports(249*ms, 0)
	r := expectReports(20*ms, 1)[0]
	want := []string{"read at reader sent 269ms ago, in flight", "reservation at writer sent 269ms ago, in flight"}
	if r.Request != "r" || r.UnansweredFor != 269*ms || !slices.Equal(r.Calls, want) {
		t.Errorf("%+v", r)
	}
	expectReports(time.Second, 0)
	m.Ended("k", Reservation, "writer", Answered, now)
	expectReports(250*ms, 1)
	m.Sent("k", "r", 500*ms, Release, "", now)
	m.Ended("k", Release, "other", Answered, now.Add(ms)) // the read is in flight: it may still arrive
	if m.Len() == 0 {
		t.Error("a release concurrent with a read in flight ended the monitoring")
	}
	m.Ended("k", Read, "reader", NoAnswer, now.Add(2*ms))
	m.Sent("k", "r", 500*ms, Release, "", now.Add(30*ms))
	m.Ended("k", Release, "other", Answered, now.Add(31*ms))
	if m.Len() != 0 {
		t.Error("still monitored after a release that was sent after all other calls")
	}
}

// Calls that were not sent or were rejected leave nothing to monitor.
func TestNotMonitoredWhenNothingHeld(t *testing.T) {
	m, now := New(), time.Unix(1000, 0)
	m.Sent("k", "r", 0, Read, "reader", now)
	m.Sent("k", "r", 0, Reservation, "writer", now)
	m.Ended("k", Read, "reader", NotSent, now)
	if m.Len() != 1 {
		t.Error("not monitored while a reservation is in flight")
	}
	m.Ended("k", Reservation, "writer", Rejected, now)
	if m.Len() != 0 {
		t.Error("monitored although nothing can be held")
	}
}

// The first event ends the monitoring, a release alone does not start it, and keys and calls per key are limited.
func TestBounds(t *testing.T) {
	m, now := New(), time.Unix(1000, 0)
	m.Sent("k", "r", 0, Release, "", now)
	if m.Len() != 0 {
		t.Error("a release alone is monitored")
	}
	for i := range maxKeys + 10 {
		m.Sent(fmt.Sprint(i), "r", 0, Read, "reader", now)
	}
	if m.Len() != maxKeys {
		t.Errorf("%d keys", m.Len())
	}
	m.Streaming("1")
	if m.Len() != maxKeys-1 {
		t.Error("monitored after the first event")
	}
	for range 2 * maxCalls {
		m.Sent("2", "r", 0, Read, "reader", now)
	}
	if n := len(m.keys["2"].calls); n != maxCalls {
		t.Errorf("%d calls", n)
	}
	now = now.Add(maxAge + ms)
	if m.Due(now); m.Len() != 0 {
		t.Errorf("%d keys after %v", m.Len(), maxAge)
	}
}
