package platform

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gannethook/internal/platform/standin"
)

// Guards against attempts that begin long after their client has left, because its close is read only behind all the data
// that it sent before (rule 1: one that is given up on ends at once).
func TestDisconnectBehindManyBytesIsSeenAtOnce(t *testing.T) {
	const rounds, behind = 4, 6 << 20
	const allowed = 150 * ms // 0.1 s after the close, and 50 ms as for every time limit
	released := map[string]chan struct{}{}
	for n := range rounds {
		released[fmt.Sprint(standin.Unsafe, "leaves", n)] = make(chan struct{})
	}
	var reader, writer *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		reader = f.Add(standin.Prompt, func(_ int, id string) standin.Script { return standin.Script{Until: released[id]} })
		writer = f.Add(standin.Answer, nil)
	})
	pipelined := strings.Repeat(request("behind", "question", 4000, strings.Repeat("x", 20<<10)), behind/(20<<10))
	for n := range rounds {
		id := fmt.Sprint(standin.Unsafe, "leaves", n)
		nc := s.dial()
		io.WriteString(nc, request(id, "adjustment", 4000, body))
		s.waitFor("the reader has it", func() bool { got, _, _ := reader.Count(); return got == n+1 })
		io.WriteString(nc, pipelined)
		nc.Close()
		time.Sleep(allowed)
		close(released[id])
		s.waitFor("nothing is held", func() bool { return len(s.fleet.Held()) == 0 })
	}
	if n, _, _ := writer.Count(); n != 0 {
		t.Errorf("%d of %d clients that had left %v before had an attempt begun at the writer", n, rounds, allowed)
	}
}
