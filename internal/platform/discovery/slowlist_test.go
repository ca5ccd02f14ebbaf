package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// A list from an overloaded discovery service takes longer than the response timeout but keeps arriving. It is accepted in
// the end, since the timeout grows with each retry; with a fixed timeout no call would ever succeed.
func TestSlowListIsAccepted(t *testing.T) {
	timing := Timing{PollWait: 100 * ms, Grace: 400 * ms, ResponseTimeout: 300 * ms, RetryDelay: 10 * ms, MaxRetryDelay: 20 * ms}
	text := `{"rev":7,"all":true,"targets":[]}`
	parts := append([]string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))}, strings.Split(text, "")...)
	for len(parts) > 9 { // nine parts, 0.8 s in all
		parts = append(parts[:len(parts)-2], strings.Join(parts[len(parts)-2:], ""))
	}
	addr := startAgent(t, func(int, string) ([]string, time.Duration) { return parts, 100 * ms })
	if revs := collectRevisions(t, timing, addr, 1); !slices.Equal(revs, []int64{7}) {
		t.Errorf("received revisions %v", revs)
	}
}
