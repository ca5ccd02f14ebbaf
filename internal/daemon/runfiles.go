package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"gannethook/internal/handover"
	"gannethook/internal/settings"
)

// Names of the descriptors that are passed to a successor. The name of a port
// includes its address, so that a successor with another address in its settings
// opens its own port.
const (
	lockName    = "lock"
	listenName  = "listen "
	socketName  = "socket "
	controlName = "control "
)

// runFiles are the files in the run folder of a router: the pid, the control socket,
// and a lock that is held while a process of the router runs. The lock belongs to
// the open file description, which a successor shares, so the kernel releases it
// only when the last process has ended, also after a crash.
type runFiles struct {
	dir  string
	lock *os.File

	socket string // path of the control socket
	owned  bool   // the pid file and the socket are this process's
}

// openRunFiles creates the run folder and takes the lock, or the predecessor's copy of it.
func openRunFiles(c *settings.Control, link *handover.Predecessor) (*runFiles, error) {
	dir := c.RunDir
	if dir == "" {
		return &runFiles{}, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	files := &runFiles{dir: dir, lock: link.File(lockName), socket: c.Socket()}
	if files.lock != nil {
		return files, nil
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	if err := flock(lock); err != nil {
		lock.Close()
		return nil, fmt.Errorf("lock: %s is held by process %s: the router runs already", lock.Name(), files.readPID())
	}
	files.lock = lock
	return files, nil
}

func flock(f *os.File) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	lockErr := error(nil)
	err = raw.Control(func(fd uintptr) { lockErr = unix.Flock(int(fd), unix.LOCK_EX|unix.LOCK_NB) })
	return errors.Join(err, lockErr)
}

func (r *runFiles) pidPath() string { return filepath.Join(r.dir, "pid") }

func (r *runFiles) readPID() string {
	text, err := os.ReadFile(r.pidPath())
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(text))
}

// writePID replaces the pid file atomically with this process's pid.
func (r *runFiles) writePID() error {
	if r.dir == "" {
		return nil
	}
	tmp := r.pidPath() + ".new"
	if err := os.WriteFile(tmp, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o644); err != nil {
		return fmt.Errorf("pid: %w", err)
	}
	if err := os.Rename(tmp, r.pidPath()); err != nil {
		return fmt.Errorf("pid: %w", err)
	}
	r.owned = true
	return nil
}

// close closes the lock and removes the pid file and the socket, unless they are in
// use by a successor, or by the predecessor of a process that failed to start.
func (r *runFiles) close(hasSuccessor bool) {
	if r.dir == "" {
		return
	}
	if r.owned && !hasSuccessor {
		os.Remove(r.pidPath())
		os.Remove(r.socket)
	}
	r.lock.Close()
}

// openPort returns the listener that the predecessor or systemd passed, or opens one.
func openPort(link *handover.Predecessor, inherited map[string][]net.Listener, network, name, addr string) (net.Listener, error) {
	if ln, err := link.Listener(name + addr); ln != nil || err != nil {
		return ln, err
	}
	if list := inherited[strings.TrimSpace(name)]; len(list) > 0 {
		return list[0], nil
	}
	if network == "unix" {
		os.Remove(addr) // this process has the lock, so the socket is a leftover
	}
	ln, err := net.Listen(network, addr)
	if u, ok := ln.(*net.UnixListener); ok && err == nil {
		u.SetUnlinkOnClose(false) // a successor may go on serving it
		err = os.Chmod(addr, 0o600)
	}
	return ln, err
}
