// Package handover starts a router's successor and gives it the open ports.
//
// The listeners are passed as descriptors: both processes then share one
// accept queue in the kernel, and a connection that came before the old
// process closed its copy is taken by the new one. Two sockets of one port
// (SO_REUSEPORT) have a queue each, and closing one resets what waits in it.
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

// env tells a process that descriptor 3 is its predecessor.
const env = "GANNETHOOK_HANDOVER"

// Bounds of what the two say to each other.
const (
	maxLine  = 1 << 20
	maxFiles = 16
)

// Parcel is what a router hands on.
type Parcel struct {
	Pid     int
	Boot    string
	Results []lifecycle.Result // of commands
	Drained bool
	Names   []string // of the descriptors that follow, in order
}

// word is a line that a successor or a predecessor says.
type word struct {
	Ready  bool   `json:",omitempty"`
	Failed string `json:",omitempty"`
	Boot   string `json:",omitempty"`
	Open   int    `json:",omitempty"`
}

// Named is a descriptor to be handed on.
type Named struct {
	Name string
	Conn syscall.Conn // *net.TCPListener, *net.UnixListener or *os.File
}

// Heir is a successor that starts, seen by its predecessor.
type Heir struct {
	Pid  int
	conn *net.UnixConn
	in   *bufio.Reader
	exit chan error
}

// Start starts a program with a parcel and descriptors. The program's output
// goes where this one's goes. argv[0] is its path.
func Start(argv []string, p Parcel, files []Named) (*Heir, error) {
	if len(files) > maxFiles {
		return nil, fmt.Errorf("handover: %d descriptors", len(files))
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	theirs := pair[1]
	defer unix.Close(theirs)
	conn, err := connOf(os.NewFile(uintptr(pair[0]), "heir"))
	if err != nil {
		return nil, err
	}
	fds := []uintptr{0, 1, 2, uintptr(theirs)}
	for _, f := range files {
		fd, err := dup(f.Conn)
		if err != nil {
			conn.Close()
			return nil, fmt.Errorf("handover: %s: %w", f.Name, err)
		}
		defer unix.Close(fd)
		fds = append(fds, uintptr(fd))
		p.Names = append(p.Names, f.Name)
	}
	// exec.Cmd would set the shared descriptors to blocking, and Accept in this process with them.
	pid, err := syscall.ForkExec(argv[0], argv, &syscall.ProcAttr{Env: append(without(os.Environ(), env), env+"=1"), Files: fds})
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("handover: %s: %w", argv[0], err)
	}
	h := &Heir{Pid: pid, conn: conn, in: bufio.NewReaderSize(conn, 4096), exit: make(chan error, 1)}
	go h.reap()
	return h, say(conn, p)
}

func without(list []string, name string) []string {
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
	err = raw.Control(func(from uintptr) { fd, dupErr = unix.FcntlInt(from, unix.F_DUPFD_CLOEXEC, 0) })
	if err == nil {
		err = dupErr
	}
	return fd, err
}

func connOf(f *os.File) (*net.UnixConn, error) {
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	u, ok := c.(*net.UnixConn)
	if !ok {
		c.Close()
		return nil, errors.New("handover: descriptor 3 is no unix socket")
	}
	return u, nil
}

func say(w io.Writer, v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if _, err = w.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func hear(r *bufio.Reader, v any) error {
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

func (h *Heir) reap() {
	p, err := os.FindProcess(h.Pid)
	if err == nil {
		var state *os.ProcessState
		if state, err = p.Wait(); err == nil {
			err = errors.New(state.String())
		}
	}
	h.exit <- err
}

// Wait waits until the successor serves, and returns its boot. An error tells
// that it does not: it said why, ended, or took too long. It is then dead.
func (h *Heir) Wait(limit time.Duration) (boot string, err error) {
	h.conn.SetReadDeadline(time.Now().Add(limit))
	var w word
	err = hear(h.in, &w)
	switch {
	case err == nil && w.Ready:
		return w.Boot, nil
	case err == nil:
		err = fmt.Errorf("the successor does not start: %s", w.Failed)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = fmt.Errorf("the successor was not ready within %v", limit)
	default:
		err = errors.New("the successor ended as it started")
	}
	h.Kill()
	return "", err
}

// Tell tells the successor how much is still open here.
func (h *Heir) Tell(open int) {
	h.conn.SetWriteDeadline(time.Now().Add(time.Second))
	say(h.conn, word{Open: open})
}

// Kill ends the successor and waits for its end.
func (h *Heir) Kill() {
	unix.Kill(h.Pid, unix.SIGKILL)
	<-h.exit
	h.exit <- nil
	h.conn.Close()
}

// Link is a predecessor, seen by its successor.
type Link struct {
	Parcel
	files map[string]*os.File
	conn  *net.UnixConn
	in    *bufio.Reader
}

// Take finds what a predecessor hands on; nil where there is none.
func Take() (*Link, error) {
	if os.Getenv(env) == "" {
		return nil, nil
	}
	os.Unsetenv(env)
	unix.CloseOnExec(3)
	conn, err := connOf(os.NewFile(3, "predecessor"))
	if err != nil {
		return nil, err
	}
	l := &Link{conn: conn, in: bufio.NewReaderSize(conn, 4096), files: map[string]*os.File{}}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if err := hear(l.in, &l.Parcel); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	for i, name := range l.Names[:min(len(l.Names), maxFiles)] {
		unix.CloseOnExec(4 + i)
		l.files[name] = os.NewFile(uintptr(4+i), name)
	}
	return l, nil
}

// Listener is a port that was handed on; nil if none of the name was.
func (l *Link) Listener(name string) (net.Listener, error) {
	if l == nil || l.files[name] == nil {
		return nil, nil
	}
	f := l.files[name]
	delete(l.files, name)
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", name, err)
	}
	return ln, nil
}

// File is a descriptor that was handed on; nil if none of the name was.
func (l *Link) File(name string) *os.File {
	if l == nil {
		return nil
	}
	f := l.files[name]
	delete(l.files, name)
	return f
}

// Ready tells the predecessor that this process serves: it stops now.
func (l *Link) Ready(boot string) error {
	l.drop()
	return say(l.conn, word{Ready: true, Boot: boot})
}

// Fail tells the predecessor why this process does not serve: it goes on.
func (l *Link) Fail(err error) {
	say(l.conn, word{Failed: err.Error()})
	l.drop()
	l.conn.Close()
}

// drop closes what was handed on and not taken: settings name the port no more.
func (l *Link) drop() {
	for _, f := range l.files {
		f.Close()
	}
	clear(l.files)
}

// Follow reports how much is open at the predecessor until it has ended.
func (l *Link) Follow(open func(n int)) {
	for {
		var w word
		if err := hear(l.in, &w); err != nil {
			l.conn.Close()
			return
		}
		open(w.Open)
	}
}

// Close ends Follow.
func (l *Link) Close() { l.conn.Close() }
