// Package handover starts the successor process of a router and passes it the
// open listeners and the router's state.
//
// The listeners are passed as descriptors, so that both processes share one
// accept queue in the kernel: a connection that arrived before the old process
// closed its copy is accepted by the new one. With two sockets on one port
// (SO_REUSEPORT) each has its own queue, and closing a socket resets the
// connections in its queue.
//
// The two processes talk over a socket pair, one JSON object a line: first the
// State, then messages.
package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gannethook/internal/lifecycle"
)

// envVar is set in the environment of a successor: its descriptor 3 is the socket to the predecessor.
const envVar = "GANNETHOOK_HANDOVER"

// Bounds of a handover.
const (
	maxLine  = 1 << 20 // bytes of a JSON line
	maxFiles = 16      // descriptors
)

// State is what a router passes to its successor, besides the descriptors.
type State struct {
	Pid     int
	Boot    string
	Results []lifecycle.Result // of commands, for repeated command IDs
	Drained bool
	Names   []string // of the descriptors from 4 on, in order
}

// message is a line that follows the State. The successor sends Ready with its
// boot ID, or Failed with the reason; the predecessor then sends Open, its number
// of open requests, until it ends.
type message struct {
	Ready  bool   `json:",omitempty"`
	Failed string `json:",omitempty"`
	Boot   string `json:",omitempty"`
	Open   int    `json:",omitempty"`
}

// Descriptor is a descriptor to pass to a successor.
type Descriptor struct {
	Name string
	Conn syscall.Conn // *net.TCPListener, *net.UnixListener or *os.File
}

// Successor is the predecessor's handle of a successor process.
type Successor struct {
	Pid    int
	conn   *net.UnixConn
	reader *bufio.Reader
	exited chan error
}

// Start starts a program as the successor, with the state and the descriptors.
// argv[0] is its path. It shares stdin, stdout and stderr with this process.
func Start(argv []string, state State, files []Descriptor) (*Successor, error) {
	if len(files) > maxFiles {
		return nil, fmt.Errorf("handover: %d descriptors", len(files))
	}
	socketPair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	childEnd := socketPair[1]
	defer unix.Close(childEnd)
	conn, err := unixConn(os.NewFile(uintptr(socketPair[0]), "heir"))
	if err != nil {
		return nil, err
	}
	fds := []uintptr{0, 1, 2, uintptr(childEnd)}
	for _, f := range files {
		fd, err := dup(f.Conn)
		if err != nil {
			conn.Close()
			return nil, fmt.Errorf("handover: %s: %w", f.Name, err)
		}
		defer unix.Close(fd)
		fds = append(fds, uintptr(fd))
		state.Names = append(state.Names, f.Name)
	}
	// exec.Cmd would switch the shared descriptors to blocking mode, in which Accept in this process blocks too.
	pid, err := syscall.ForkExec(argv[0], argv, &syscall.ProcAttr{Env: append(withoutVar(os.Environ(), envVar), envVar+"=1"), Files: fds})
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("handover: %s: %w", argv[0], err)
	}
	s := &Successor{Pid: pid, conn: conn, reader: bufio.NewReaderSize(conn, 4096), exited: make(chan error, 1)}
	go s.reap()
	return s, writeMessage(conn, state)
}

// withoutVar returns the environment without a variable and without systemd's LISTEN_ variables.
func withoutVar(list []string, name string) []string {
	var out []string
	for _, e := range list {
		if !strings.HasPrefix(e, name+"=") && !strings.HasPrefix(e, "LISTEN_") {
			out = append(out, e)
		}
	}
	return out
}

func dup(c syscall.Conn) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	fd, dupErr := 0, error(nil)
	err = raw.Control(func(orig uintptr) { fd, dupErr = unix.FcntlInt(orig, unix.F_DUPFD_CLOEXEC, 0) })
	if err == nil {
		err = dupErr
	}
	return fd, err
}

func unixConn(f *os.File) (*net.UnixConn, error) {
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	u, ok := c.(*net.UnixConn)
	if !ok {
		c.Close()
		return nil, errors.New("handover: descriptor 3 is not a unix socket")
	}
	return u, nil
}

func writeMessage(w io.Writer, v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if _, err = w.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func readMessage(r *bufio.Reader, v any) error {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLine {
			return fmt.Errorf("handover: %w", err)
		}
	}
	if err := json.Unmarshal(line, v); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func (s *Successor) reap() {
	p, err := os.FindProcess(s.Pid)
	if err == nil {
		var state *os.ProcessState
		if state, err = p.Wait(); err == nil {
			err = errors.New(state.String())
		}
	}
	s.exited <- err
}

// WaitReady waits until the successor serves, and returns its boot ID. It returns
// an error if the successor reports a failure, exits or exceeds the limit; the
// successor is then killed.
func (s *Successor) WaitReady(limit time.Duration) (boot string, err error) {
	s.conn.SetReadDeadline(time.Now().Add(limit))
	var m message
	err = readMessage(s.reader, &m)
	switch {
	case err == nil && m.Ready:
		return m.Boot, nil
	case err == nil:
		err = fmt.Errorf("the successor does not start: %s", m.Failed)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = fmt.Errorf("the successor was not ready within %v", limit)
	default:
		err = errors.New("the successor ended as it started")
	}
	s.Kill()
	return "", err
}

// ReportOpen sends the successor the number of requests that are still open in this process.
func (s *Successor) ReportOpen(open int) {
	s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	writeMessage(s.conn, message{Open: open})
}

// Kill kills the successor and waits for its exit.
func (s *Successor) Kill() {
	unix.Kill(s.Pid, unix.SIGKILL)
	<-s.exited
	s.exited <- nil
	s.conn.Close()
}

// Predecessor is the successor's connection to its predecessor. A nil Predecessor has no listeners and no files.
type Predecessor struct {
	State
	files  map[string]*os.File
	conn   *net.UnixConn
	reader *bufio.Reader
}

// Receive receives the state and the descriptors from the predecessor. It returns nil if this process has none.
func Receive() (*Predecessor, error) {
	if os.Getenv(envVar) == "" {
		return nil, nil
	}
	os.Unsetenv(envVar)
	unix.CloseOnExec(3)
	conn, err := unixConn(os.NewFile(3, "predecessor"))
	if err != nil {
		return nil, err
	}
	p := &Predecessor{conn: conn, reader: bufio.NewReaderSize(conn, 4096), files: map[string]*os.File{}}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if err := readMessage(p.reader, &p.State); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	for i, name := range p.Names[:min(len(p.Names), maxFiles)] {
		unix.CloseOnExec(4 + i)
		p.files[name] = os.NewFile(uintptr(4+i), name)
	}
	return p, nil
}

// Listener returns the passed listener of that name, or nil if there is none. It can be claimed once.
func (p *Predecessor) Listener(name string) (net.Listener, error) {
	if p == nil || p.files[name] == nil {
		return nil, nil
	}
	f := p.files[name]
	delete(p.files, name)
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", name, err)
	}
	return ln, nil
}

// File returns the passed descriptor of that name, or nil if there is none. It can be claimed once.
func (p *Predecessor) File(name string) *os.File {
	if p == nil {
		return nil
	}
	f := p.files[name]
	delete(p.files, name)
	return f
}

// Ready reports to the predecessor that this process serves; the predecessor then stops.
func (p *Predecessor) Ready(boot string) error {
	p.closeUnclaimed()
	return writeMessage(p.conn, message{Ready: true, Boot: boot})
}

// Fail reports to the predecessor why this process does not serve; the predecessor goes on serving.
func (p *Predecessor) Fail(err error) {
	writeMessage(p.conn, message{Failed: err.Error()})
	p.closeUnclaimed()
	p.conn.Close()
}

// closeUnclaimed closes the descriptors that were not claimed because the settings no longer name their port.
func (p *Predecessor) closeUnclaimed() {
	for _, f := range p.files {
		f.Close()
	}
	clear(p.files)
}

// Follow calls open with the predecessor's number of open requests until the predecessor has ended.
func (p *Predecessor) Follow(open func(n int)) {
	for {
		var m message
		if err := readMessage(p.reader, &m); err != nil {
			p.conn.Close()
			return
		}
		open(m.Open)
	}
}

// Close closes the connection, which ends Follow.
func (p *Predecessor) Close() { p.conn.Close() }
