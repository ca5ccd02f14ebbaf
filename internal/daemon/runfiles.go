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

// Names of the descriptors that are handed on. A port's name has its address,
// so that a successor whose settings changed opens its own.
const (
	lockName    = "lock"
	listenName  = "listen "
	socketName  = "socket "
	controlName = "control "
)

// runFiles are a router's files on disk: its pid, and a lock that tells whether
// a process of it lives. The lock is on the open file, which a successor shares,
// so it holds until the last of them has ended, however it ends.
type runFiles struct {
	dir  string
	lock *os.File

	socket string // of the control plane
	mine   bool   // this process serves: pid and socket are its own
}

func openRun(c *settings.Control, link *handover.Link) (*runFiles, error) {
	dir := c.Run
	if dir == "" {
		return &runFiles{}, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	r := &runFiles{dir: dir, lock: link.File(lockName), socket: c.Socket()}
	if r.lock != nil {
		return r, nil
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	if err := flock(lock); err != nil {
		lock.Close()
		return nil, fmt.Errorf("lock: %s is held by process %s: the router runs already", lock.Name(), r.pid())
	}
	r.lock = lock
	return r, nil
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

func (r *runFiles) pid() string {
	text, err := os.ReadFile(r.pidPath())
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(text))
}

// own writes this process's pid; readers see the old one or the new one.
func (r *runFiles) own() error {
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
	r.mine = true
	return nil
}

// close lets go of the lock. The files stay where they are another process's: a
// successor's, or the predecessor's of one that did not come up.
func (r *runFiles) close(handedOn bool) {
	if r.dir == "" {
		return
	}
	if r.mine && !handedOn {
		os.Remove(r.pidPath())
		os.Remove(r.socket)
	}
	r.lock.Close()
}

// port opens a port, or takes one that a predecessor or systemd hands on.
func port(link *handover.Link, held map[string][]net.Listener, network, prefix, addr string) (net.Listener, error) {
	if ln, err := link.Listener(prefix + addr); ln != nil || err != nil {
		return ln, err
	}
	if list := held[strings.TrimSpace(prefix)]; len(list) > 0 {
		return list[0], nil
	}
	if network == "unix" {
		os.Remove(addr) // the lock is ours: a socket that is there is a dead one's
	}
	ln, err := net.Listen(network, addr)
	if u, ok := ln.(*net.UnixListener); ok && err == nil {
		u.SetUnlinkOnClose(false) // a successor serves it
		err = os.Chmod(addr, 0o600)
	}
	return ln, err
}
