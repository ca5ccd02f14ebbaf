package clients

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/guard"
)

// closeReason tells why a client's connection closed.
type closeReason uint8

// The reasons. The first that is noted of a connection counts.
const (
	notClosed       closeReason = iota
	byClient                    // its client closed it between two requests
	byClientWaiting             // its client left while its request was open
	onIdle                      // nothing came on it for too long
	onStop                      // the router stops, and no request was on its way
	onStopAll                   // the router ended with the connection open
	forRoom                     // it was the one unused for longest as another came,
	forRoomNew                  // and nothing had come on it
	noRoomTold                  // there was no room; its client got a 503
	noRoomUntold                // there was no room, and too many were being told so; nothing was read
	badRequest                  // what came is no request, or more than is taken
	asAsked                     // its client asked for it, or speaks HTTP/1.0
	streamBroken                // a worker's stream broke, or was ended for its client to go on elsewhere
	writeFailed                 // its client took nothing, or the connection broke under an answer
	closeReasons
)

func (r closeReason) String() string {
	return [closeReasons]string{"open", "client closed", "client left a request", "idle", "stopping", "stopped", "evicted for room", "evicted for room, new",
		"no room, told", "no room, not told", "bad request", "as asked", "stream broken", "write failed"}[r]
}

// closeCounts counts closed connections by reason. It is safe for concurrent use.
type closeCounts [closeReasons]atomic.Int64

// Closes lists how many connections closed, by reason.
func (s *Server) Closes() map[string]int64 {
	counts := map[string]int64{}
	for r := range s.closes {
		if n := s.closes[r].Load(); n > 0 {
			counts[closeReason(r).String()] = n
		}
	}
	return counts
}

// note has the connection close for a reason, if none was noted before.
func (l *clientConn) note(why closeReason) {
	if l.why == notClosed {
		l.why = why
	}
}

// noteClosed counts a connection that closes, and logs its story.
func (s *Server) noteClosed(l *clientConn) {
	s.closes[l.why].Add(1)
	if e := s.cfg.Log.Check(zap.DebugLevel, "client connection closed"); e != nil {
		e.Write(zap.Uint64("conn", l.id), zap.Stringer("why", l.why), zap.Int("requests", l.requests),
			zap.Stringer("client", l.nc.RemoteAddr()), zap.Duration("after", time.Since(l.since)))
	}
}

// mayClose asks the guard, as an exchange ends, whether its request was seen to.
func (x *exchange) mayClose() {
	why := guard.MayClose(guard.CloseFacts{Accepted: true, Answered: x.answered, ClientGone: x.left.Load()})
	x.conn.s.cfg.Guard.Check(guard.Close, why, x.name)
}
