package clients

import "time"

// arrival is the span of time in which data arrived at this machine. The two ends differ
// where nobody was reading the connection as it came.
type arrival struct{ earliest, latest time.Time }

// arrivalLog records when the bytes of a connection arrived, for those that belong to no
// request yet: requests that are pipelined wait for their turn, and their time runs from
// their arrival. Positions count the bytes received on the connection.
type arrivalLog struct {
	received  int64     // bytes recorded so far
	parts     []part    // oldest first; at most maxArrivalParts
	drainedAt time.Time // when the connection last had no unread data
}

// part is a run of bytes that arrived together.
type part struct {
	end int64 // position behind its last byte
	arrival
}

const (
	arrivalResolution = 10 * time.Millisecond // data that is read within so long counts as one part
	maxArrivalParts   = 256                   // of one connection; data over it joins the last part
)

// record adds n bytes that arrived in a span.
func (l *arrivalLog) record(n int, at arrival) {
	l.received += int64(n)
	if last := len(l.parts) - 1; last >= 0 && (len(l.parts) == maxArrivalParts || at.latest.Sub(l.parts[last].earliest) <= arrivalResolution) {
		l.parts[last].end, l.parts[last].latest = l.received, at.latest
		return
	}
	l.parts = append(l.parts, part{l.received, at})
}

// take returns when the last byte before a position arrived, and forgets the parts before it.
func (l *arrivalLog) take(position int64) arrival {
	for len(l.parts) > 1 && l.parts[0].end < position {
		l.parts = l.parts[1:]
	}
	if len(l.parts) == 0 {
		return arrival{}
	}
	return l.parts[0].arrival
}
