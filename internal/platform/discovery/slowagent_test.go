package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// toldAfter is when the platform counts a change as told: so long after discovery had it.
const toldAfter = 6 * time.Second

// slowAgent answers each call later than it is due. It has revision 1, and 2 after change.
type slowAgent struct {
	delay       time.Duration
	early       bool // its answers are made before the delay
	silentUntil time.Time
	pieces      int // of a response, with the delay between them; 0: one

	mu      sync.Mutex
	changed chan struct{}
	open    int // connections
	most    int // connections open at once
}

func (a *slowAgent) rev() int64 {
	select {
	case <-a.changed:
		return 2
	default:
		return 1
	}
}

func (a *slowAgent) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if time.Now().Before(a.silentUntil) {
		<-req.Context().Done()
		return
	}
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	if err == nil && a.rev() <= since {
		select {
		case <-time.After(time.Duration(waitMS) * ms):
		case <-a.changed:
		case <-req.Context().Done():
			return
		}
	}
	rev := a.rev()
	if !a.pause(req) {
		return
	}
	if !a.early {
		rev = a.rev()
	}
	text := fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[]}`, rev, err != nil)
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	for i := range max(a.pieces, 1) {
		if i > 0 && !a.pause(req) {
			return
		}
		n := max(a.pieces, 1)
		fmt.Fprint(rw, text[i*len(text)/n:(i+1)*len(text)/n])
		rw.(http.Flusher).Flush()
	}
}

// pause waits for the delay; it returns false if the caller closes its connection.
func (a *slowAgent) pause(req *http.Request) bool {
	select {
	case <-time.After(a.delay):
		return true
	case <-req.Context().Done():
		return false
	}
}

func (a *slowAgent) countConnection(_ net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateNew:
		a.open++
		a.most = max(a.most, a.open)
	case http.StateClosed:
		a.open--
	}
}

// Guards against a change that is never heard of because the agent answers late (rule 3): each call was given up so long after
// its answer was due, and the next one too. Silence is still noticed, on a connection and of the agent.
func TestSlowAgentIsHeard(t *testing.T) {
	for _, c := range []struct {
		name   string
		agent  *slowAgent
		timing Timing
		known  int64         // revision at the start
		silent time.Duration // before the change
	}{
		{name: "under the grace", agent: &slowAgent{delay: 300 * ms}, timing: PushTiming, known: 1},
		{name: "0.7 s", agent: &slowAgent{delay: 700 * ms}, timing: PushTiming, known: 1},
		{name: "0.7 s, made early", agent: &slowAgent{delay: 700 * ms, early: true}, timing: PushTiming, known: 1},
		{name: "0.7 s, first call", agent: &slowAgent{delay: 700 * ms}, timing: PushTiming, known: -1},
		{name: "2 s", agent: &slowAgent{delay: 2 * time.Second}, timing: PushTiming, known: 1},
		{name: "2.5 s, made early", agent: &slowAgent{delay: 2500 * ms, early: true}, timing: PushTiming, known: 1},
		{name: "4.5 s", agent: &slowAgent{delay: 4500 * ms}, timing: PushTiming, known: 1},
		{name: "late, in late pieces", agent: &slowAgent{delay: 700 * ms, pieces: 4}, timing: PushTiming, known: 1},
		{name: "0.7 s, after a silence", agent: &slowAgent{delay: 700 * ms}, timing: PushTiming, known: 1, silent: 5 * time.Second},
		{name: "1.5 s, asked for", agent: &slowAgent{delay: 1500 * ms}, timing: PollTiming(6), known: 1},
		{name: "3 s, asked for", agent: &slowAgent{delay: 3 * time.Second}, timing: PollTiming(6), known: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a := c.agent
			a.changed, a.silentUntil = make(chan struct{}), time.Now().Add(c.silent)
			server := httptest.NewUnstartedServer(a)
			server.Config.ConnState = a.countConnection
			server.Start()
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			var heardAt time.Time
			w := &Watch{Log: zap.NewNop(), Rev: c.known, OnList: func(l *List) {
				if l.Rev == 2 {
					heardAt = time.Now()
					cancel()
				}
			}}
			ended := make(chan struct{})
			go func() {
				w.Run(ctx, Source{server.Listener.Addr().String(), c.timing}, make(chan Source))
				close(ended)
			}()
			time.Sleep(max(c.silent, 4*time.Second)) // the agent has been slow for a while
			changedAt := time.Now()
			close(a.changed)
			<-ended
			if heardAt.IsZero() {
				t.Error("the change was never heard of")
			} else if took := heardAt.Sub(changedAt); took > toldAfter {
				t.Errorf("heard %v after the change, %v allowed", took, toldAfter)
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.most > maxCalls+1 { // a connection that the router has just closed may still be counted
				t.Errorf("%d connections at once", a.most)
			}
		})
	}
}
