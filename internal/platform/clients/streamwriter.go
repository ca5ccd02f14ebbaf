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

// Limits of a streamWriter.
const (
	maxPendingBytes = 512 << 10 // unsent bytes, beyond which writes block: fits a whole body (256 KiB) of small events, with their chunk framing
	flushBytes      = 16 << 10  // written under one deadline
)

// streamWriter writes a stream to a client. Data that the connection does not accept at
// once is buffered in bounded memory and written by a separate goroutine: a worker's
// stream can then be read to its end, and count as finished, although its client is slow.
type streamWriter struct {
	nc     net.Conn
	limits func() *Limits
	budget *http1.Budget
	spawn  func(func()) // runs a function on a goroutine that the server waits for

	mu            sync.Mutex
	changed       *sync.Cond // pending, flushing or err
	pending       []byte     // unsent; counted in the budget
	frame         []byte     // buffer for one chunk, reused
	flushing      bool       // flush is running
	drainDeadline time.Time  // unsent data is dropped then; zero: not while the client keeps reading
	err           error
}

func newStreamWriter(nc net.Conn, limits func() *Limits, budget *http1.Budget, spawn func(func())) *streamWriter {
	s := &streamWriter{nc: nc, limits: limits, budget: budget, spawn: spawn}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// write sends p after all earlier data. It blocks only while too much is unsent.
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

// reserve counts n bytes to be buffered; it returns false if they exceed a limit.
func (s *streamWriter) reserve(n int) bool {
	return len(s.pending)+n <= maxPendingBytes && s.budget.Reserve(int64(n), s.limits().Bodies)
}

// writeNow writes what the kernel accepts without waiting.
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
	n, writeErr := 0, error(nil)
	err = raw.Write(func(fd uintptr) bool {
		n, writeErr = faults.Write(int(fd), p)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case writeErr == nil:
		return n, nil
	case connpool.IsLocal(writeErr) && !faults.GuardDisabled(faults.BreakBuffers): // the remainder is written by flush
		return 0, nil
	}
	return 0, writeErr
}

// flush writes pending data until none is left or a write fails.
func (s *streamWriter) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && len(s.pending) > 0 {
		part := slices.Clone(s.pending[:min(len(s.pending), flushBytes)])
		s.nc.SetWriteDeadline(s.deadline())
		s.mu.Unlock()
		_, err := connpool.Writer{Conn: s.nc}.Write(part)
		s.mu.Lock()
		s.pending = slices.Delete(s.pending, 0, len(part))
		s.budget.Release(int64(len(part)))
		s.err = err
		s.changed.Broadcast()
	}
	s.budget.Release(int64(len(s.pending)))
	s.pending, s.flushing = nil, false
	s.changed.Broadcast()
}

func (s *streamWriter) deadline() time.Time {
	deadline := time.Now().Add(s.limits().Write)
	if !s.drainDeadline.IsZero() && s.drainDeadline.Before(deadline) {
		return s.drainDeadline
	}
	return deadline
}

// drain waits until all is sent or a write fails. Writes fail at the deadline; zero: not before Limits.Write without progress.
func (s *streamWriter) drain(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainDeadline = deadline; s.flushing {
		s.nc.SetWriteDeadline(s.deadline())
	}
	for s.flushing {
		s.changed.Wait()
	}
	return s.err
}
