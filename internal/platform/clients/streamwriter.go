package clients

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"gannethook/internal/connpool"
	"gannethook/internal/faults"
	"gannethook/internal/http1"
)

// Bounds of a streamWriter.
const (
	maxPending = 512 << 10 // bytes that wait for a client, beyond which its worker has to wait: a whole body (256 KiB) in the chunks of small events
	flushSize  = 16 << 10  // bytes written under one deadline
)

// streamWriter writes a stream to a client. What the client does not take at once waits
// in bounded memory and is written by a goroutine of its own: a worker's stream
// is read to its end although its client is slow, so that it counts as finished.
type streamWriter struct {
	nc     net.Conn
	limits func() *Limits
	budget *http1.Budget
	spawn  func(func()) // runs a function on a goroutine that the server waits for

	mu       sync.Mutex
	changed  *sync.Cond
	pending  []byte
	frame    []byte    // for one chunk, kept between calls
	flushing bool      // a goroutine writes what is unsent
	drainBy  time.Time // what is unsent by then is given up; zero: as long as the client takes some
	err      error
}

func newStreamWriter(nc net.Conn, limits func() *Limits, budget *http1.Budget, start func(func())) *streamWriter {
	s := &streamWriter{nc: nc, limits: limits, budget: budget, spawn: start}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// write sends bytes behind all that was sent before. It waits only while too
// much is unsent.
func (s *streamWriter) write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && s.flushing && !s.reserve(len(p)) {
		s.changed.Wait()
	}
	if s.err != nil {
		return s.err
	}
	if !s.flushing {
		n, err := s.writeNow(p)
		if err != nil {
			s.err = err
			return err
		}
		if n == len(p) {
			return nil
		}
		p = p[n:]
		s.flushing = true
		s.budget.Add(int64(len(p)))
		s.pending = append(s.pending, p...)
		s.spawn(s.flush)
		return nil
	}
	s.pending = append(s.pending, p...)
	return nil
}

// chunk sends one chunk of a chunked body; an empty one ends the body.
func (s *streamWriter) chunk(p []byte) error {
	s.frame = http1.AppendChunk(s.frame[:0], p)
	return s.write(s.frame)
}

// reserve counts bytes that are about to wait, if they may.
func (s *streamWriter) reserve(n int) bool {
	return len(s.pending)+n <= maxPending && s.budget.Take(int64(n), s.limits().Bodies)
}

// writeNow writes what the system takes without a wait.
func (s *streamWriter) writeNow(p []byte) (int, error) {
	conn, ok := s.nc.(syscall.Conn)
	if !ok {
		return connpool.Writer{Conn: s.nc}.Write(p)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	s.nc.SetWriteDeadline(time.Now().Add(s.limits().Write))
	n, wrote := 0, error(nil)
	err = raw.Write(func(fd uintptr) bool {
		n, wrote = faults.Write(int(fd), p)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case wrote == nil:
		return n, nil
	case connpool.IsLocal(wrote) && !faults.Broken(faults.BreakBuffers): // what is left is written by flush
		return 0, nil
	}
	return 0, wrote
}

// flush writes what is unsent until nothing is left or the client takes nothing.
func (s *streamWriter) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && len(s.pending) > 0 {
		part := slices.Clone(s.pending[:min(len(s.pending), flushSize)])
		s.nc.SetWriteDeadline(s.deadline())
		s.mu.Unlock()
		_, err := connpool.Writer{Conn: s.nc}.Write(part)
		s.mu.Lock()
		s.pending = slices.Delete(s.pending, 0, len(part))
		s.budget.Give(int64(len(part)))
		s.err = err
		s.changed.Broadcast()
	}
	s.budget.Give(int64(len(s.pending)))
	s.pending, s.flushing = nil, false
	s.changed.Broadcast()
}

func (s *streamWriter) deadline() time.Time {
	by := time.Now().Add(s.limits().Write)
	if !s.drainBy.IsZero() && s.drainBy.Before(by) {
		return s.drainBy
	}
	return by
}

// drain waits until all is sent, or can't be, or until the time, if it is set.
func (s *streamWriter) drain(until time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainBy = until; s.flushing {
		s.nc.SetWriteDeadline(s.deadline())
	}
	for s.flushing {
		s.changed.Wait()
	}
	return s.err
}
