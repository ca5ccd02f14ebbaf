package clients

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"gannethook/internal/http1"
)

// Bounds of a sender.
const (
	maxUnsent   = 256 << 10 // bytes that wait for a client, beyond which its worker has to wait: an answer of some thousand tokens
	unsentWrite = 16 << 10  // bytes written under one deadline
)

// sender writes a stream to a client. What the client does not take at once waits
// in bounded memory and is written by a goroutine of its own: a worker's stream
// is read to its end although its client is slow, so that it counts as finished.
type sender struct {
	nc     net.Conn
	limits func() *Limits
	budget *http1.Budget
	start  func(func()) // runs a function on a goroutine that the server waits for

	mu      sync.Mutex
	changed *sync.Cond
	unsent  []byte
	frame   []byte    // for one chunk, kept between calls
	busy    bool      // a goroutine writes what is unsent
	until   time.Time // what is unsent by then is given up; zero: as long as the client takes some
	err     error
}

func newSender(nc net.Conn, limits func() *Limits, budget *http1.Budget, start func(func())) *sender {
	s := &sender{nc: nc, limits: limits, budget: budget, start: start}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// write sends bytes behind all that was sent before. It waits only while too
// much is unsent.
func (s *sender) write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && s.busy && !s.room(len(p)) {
		s.changed.Wait()
	}
	if s.err != nil {
		return s.err
	}
	if !s.busy {
		n, err := s.now(p)
		if err != nil {
			s.err = err
			return err
		}
		if n == len(p) {
			return nil
		}
		p = p[n:]
		s.busy = true
		s.budget.Add(int64(len(p)))
		s.unsent = append(s.unsent, p...)
		s.start(s.flush)
		return nil
	}
	s.unsent = append(s.unsent, p...)
	return nil
}

// chunk sends one chunk of a chunked body; an empty one ends the body.
func (s *sender) chunk(p []byte) error {
	s.frame = http1.AppendChunk(s.frame[:0], p)
	return s.write(s.frame)
}

// room counts bytes that are about to wait, if they may.
func (s *sender) room(n int) bool {
	return len(s.unsent)+n <= maxUnsent && s.budget.Take(int64(n), s.limits().Bodies)
}

// now writes what the system takes without a wait.
func (s *sender) now(p []byte) (int, error) {
	conn, ok := s.nc.(syscall.Conn)
	if !ok {
		return s.nc.Write(p)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	s.nc.SetWriteDeadline(time.Now().Add(s.limits().Write))
	n, wrote := 0, error(nil)
	err = raw.Write(func(fd uintptr) bool {
		n, wrote = syscall.Write(int(fd), p)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case wrote == nil:
		return n, nil
	case wrote == syscall.EAGAIN || wrote == syscall.EINTR:
		return 0, nil
	}
	return 0, wrote
}

// flush writes what is unsent until nothing is left or the client takes nothing.
func (s *sender) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && len(s.unsent) > 0 {
		part := slices.Clone(s.unsent[:min(len(s.unsent), unsentWrite)])
		s.nc.SetWriteDeadline(s.deadline())
		s.mu.Unlock()
		_, err := s.nc.Write(part)
		s.mu.Lock()
		s.unsent = slices.Delete(s.unsent, 0, len(part))
		s.budget.Give(int64(len(part)))
		s.err = err
		s.changed.Broadcast()
	}
	s.budget.Give(int64(len(s.unsent)))
	s.unsent, s.busy = nil, false
	s.changed.Broadcast()
}

func (s *sender) deadline() time.Time {
	by := time.Now().Add(s.limits().Write)
	if !s.until.IsZero() && s.until.Before(by) {
		return s.until
	}
	return by
}

// wait waits until all is sent, or can't be, or until the time, if it is set.
func (s *sender) wait(until time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until = until; s.busy {
		s.nc.SetWriteDeadline(s.deadline())
	}
	for s.busy {
		s.changed.Wait()
	}
	return s.err
}
