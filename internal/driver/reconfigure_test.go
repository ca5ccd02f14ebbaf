package driver

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
)

// recordingEngines record the calls of the writes.
type recordingEngines struct {
	*fakeEngines
	calls []*attempt.Call
}

func (e *recordingEngines) Write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result {
	e.mu.Lock()
	e.calls = append(e.calls, call)
	e.mu.Unlock()
	return e.fakeEngines.Write(ctx, call, started, token)
}

// New settings may number classes, tenants and kinds differently. A job that carries names gets the numbers in force when it
// is accepted, one whose class was removed is refused, and an open request keeps its own.
func TestReconfigure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &recordingEngines{fakeEngines: newFakeEngines()}
		e.readTime = time.Second
		var accepted []gannethook.Request
		module, err := gannethook.New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		d, err := New(Config{Settings: testSettings(), Names: Names{Classes: []string{"safe", "unsafe"}}, InboxSize: 10, MaxOpen: 10,
			Engines: e, Decider: deciderFunc(func(ev gannethook.Event) []gannethook.Action {
				if q, ok := ev.(gannethook.Request); ok {
					accepted = append(accepted, q)
				}
				return module.Handle(gannethook.Millis(time.Now().UnixMilli()), ev)
			})})
		stop := startDriver(t, d, err)
		list := gannethook.Membership{Whole: true, Servers: []gannethook.Server{{ID: "r", State: gannethook.Ready},
			{ID: "w", Kind: 1, State: gannethook.Ready}}}
		d.Update(list)
		submit := func(class, tenant string) *recordingSink {
			s := newSink(t)
			j := newJob(0)
			j.ClassName, j.TenantName = class, tenant
			if _, err := d.Submit(j, s); err != nil {
				t.Fatal(err)
			}
			return s
		}
		old := submit("unsafe", "")
		synctest.Wait() // its read is in flight
		next := testSettings()
		slices.Reverse(next.Classes)
		slices.Reverse(next.Kinds)
		next.Tenants = []gannethook.Tenant{{QuotaPerS: 1}, {QuotaPerS: 2}}
		list.Servers = slices.Clone(list.Servers)
		for i := range list.Servers {
			list.Servers[i].Kind = 1 - list.Servers[i].Kind
		}
		d.Reconfigure(next, Names{Classes: []string{"sicher", "safe"}, Tenants: []string{"a", "b"}}, list, 10)
		updated, removed := submit("safe", "b"), submit("unsafe", "")
		<-old.done
		<-updated.done
		<-removed.done
		if old.finals[0].Outcome != Served || updated.finals[0].Outcome != Served || removed.finals[0].Outcome != Refused {
			t.Errorf("%+v, %+v, %+v", old.finals, updated.finals, removed.finals)
		}
		if len(accepted) != 2 || accepted[0].Class != 1 || accepted[1].Class != 1 || accepted[1].Tenant != 1 {
			t.Errorf("accepted: %+v", accepted)
		}
		if len(e.calls) != 2 || e.calls[0].Unsafe == e.calls[1].Unsafe {
			t.Errorf("want unsafe by the old settings, safe by the new: %+v", e.calls)
		}
		stop()
	})
}

// The time within which a Send has to be written reaches the client for workers.
func TestWriteDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &recordingEngines{fakeEngines: newFakeEngines()}
		d, err := New(Config{Settings: testSettings(), InboxSize: 10, MaxOpen: 10, Engines: e,
			Decider: deciderFunc(func(ev gannethook.Event) []gannethook.Action {
				if q, ok := ev.(gannethook.Request); ok {
					return []gannethook.Action{gannethook.Send{ID: q.ID, Server: "w", Within: 300}}
				}
				return nil
			})})
		stop := startDriver(t, d, err)
		from := time.Now()
		if _, a := submitAndWait(t, d, 0); a.Outcome != Served || len(e.calls) != 1 || e.calls[0].WriteDeadline.Sub(from) != 300*ms {
			t.Errorf("%+v, %+v", a, e.calls)
		}
		stop()
	})
}
