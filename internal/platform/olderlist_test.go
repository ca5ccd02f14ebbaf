package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gannethook/internal/platform/standin"
)

// Guards against work for a drained worker after SIGHUP (rule 3): discovery moves to an agent that has not heard of the drain.
func TestAgentBehindUndoesNoDrain(t *testing.T) {
	var drained *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		f.Add(standin.Prompt, nil)
		drained = f.Add(standin.Answer, nil)
		f.Add(standin.Answer, nil)
	})
	older := s.fleet.KnownList()
	behind := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("since") != "" { // it has no change
			<-req.Context().Done()
			return
		}
		rw.Write(older)
	}))
	defer func() {
		behind.CloseClientConnections()
		behind.Close()
	}()
	sent := 0
	reachesDrained := func() bool {
		sent++
		return s.reaches(drained, fmt.Sprint("d", sent))
	}
	s.waitFor("the worker is used", reachesDrained)
	s.fleet.Set(drained, "DRAINING")
	s.waitFor("the drain is told", func() bool { return s.router.listedState(drained.UID) == "DRAINING" })
	s.configure(func(c map[string]any) { c["discovery"] = behind.Listener.Addr().String() })
	s.signals <- syscall.SIGHUP
	s.waitFor("the older list has come", func() bool { return s.logs.FilterMessage("discovery sent an older list").Len() > 0 })
	for until := time.Now().Add(time.Second); time.Now().Before(until); {
		if reachesDrained() {
			t.Fatal("a request reached the drained worker")
		}
	}
}

// listedState returns the state of a worker in the router's list, "" if it has none.
func (r *Router) listedState(uid string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range r.list.Targets {
		if target.UID == uid {
			return target.State
		}
	}
	return ""
}
