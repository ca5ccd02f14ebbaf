package clients

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/guard"
)

// closeReason is why a client's connection closed.
type closeReason uint8

// The reasons. The first one set for a connection counts.
const (
	notClosed               closeReason = iota
	closedByClient                      // the client closed it between two requests
	closedWhileWaiting                  // the client closed it while its request was open
	closedIdle                          // no request arrived within Limits.Idle, or a first one within Limits.Head
	closedOnStop                        // idle when the router stopped
	closedAtExit                        // still open when the router exited
	closedEvicted                       // idle for longest when a connection over the limit arrived
	closedEvictedNew                    // the same, with no request so far
	closedOverLimit                     // over the limit on connections; the client got a 503
	closedOverLimitSilently             // over the limit, and over Limits.Rejections; closed without reading or a response
	closedBadRequest                    // the request was invalid, too large or a duplicate of an open one
	closedAsRequested                   // the client asked for it or uses HTTP/1.0, or the router is stopping
	closedStreamBroken                  // the stream broke at the worker, or was ended by the router for its client to resume it elsewhere
	closedWriteFailed                   // the client accepted no data, or the connection broke during a response
	closeReasonCount
)

func (r closeReason) String() string {
	return [closeReasonCount]string{"open", "client closed", "client left a request", "idle", "stopping", "stopped", "evicted for room", "evicted for room, new",
		"no room, told", "no room, not told", "bad request", "as asked", "stream broken", "write failed"}[r]
}

// closeCounts counts closed connections by reason. It is safe for concurrent use.
type closeCounts [closeReasonCount]atomic.Int64

// Closes returns the number of closed connections by reason.
func (s *Server) Closes() map[string]int64 {
	counts := map[string]int64{}
	for r := range s.closes {
		if n := s.closes[r].Load(); n > 0 {
			counts[closeReason(r).String()] = n
		}
	}
	return counts
}

// setCloseReason sets the reason for closing the connection, unless one is set.
func (c *clientConn) setCloseReason(reason closeReason) {
	if c.closeReason == notClosed {
		c.closeReason = reason
	}
}

// recordClosed counts and logs a connection that closes.
func (s *Server) recordClosed(c *clientConn) {
	s.closes[c.closeReason].Add(1)
	if e := s.cfg.Log.Check(zap.DebugLevel, "client connection closed"); e != nil {
		e.Write(zap.Uint64("conn", c.id), zap.Stringer("why", c.closeReason), zap.Int("requests", c.requests),
			zap.Stringer("client", c.nc.RemoteAddr()), zap.Duration("after", time.Since(c.acceptedAt)))
	}
}

// checkClose has the guard check, as an exchange ends, that its request was answered or its client disconnected.
func (x *exchange) checkClose() {
	reason := guard.MayClose(guard.CloseFacts{Accepted: true, Answered: x.answered, ClientGone: x.clientDisconnected.Load()})
	x.conn.s.cfg.Guard.Check(guard.Close, reason, x.id)
}
