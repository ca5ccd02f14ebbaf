package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is the network between one router and one worker.
type proxy struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	links  map[*link]bool
	closed bool

	silent, dark, first, parted, mutes, refuses, trickles atomic.Bool

	muted func(worker net.Addr, closed bool) // told when a link falls silent, and when its router has closed it
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	mute      atomic.Bool // it says nothing more, and nobody hears that it was closed
}

func (k *link) close() {
	k.near.Close()
	k.far.Close()
}

// reset ends both sides with a reset.
func (k *link) reset() {
	for _, nc := range []net.Conn{k.near, k.far} {
		if tc, ok := nc.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
	}
	k.close()
}

// set begins or ends a trouble; others that are under way go on.
func (p *proxy) set(kind Kind, on bool) {
	switch kind {
	case Silent:
		p.silent.Store(on)
	case Blackout:
		p.dark.Store(on)
	case Fresh:
		p.first.Store(on)
	case Partition:
		p.parted.Store(on)
	case Mute:
		p.mutes.Store(on)
	case Refuse:
		p.refuses.Store(on)
	case Trickle:
		p.trickles.Store(on)
	}
}

func newProxy(target string, muted func(worker net.Addr, closed bool)) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, links: map[*link]bool{}, muted: muted}
	go p.run()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) run() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.refuses.Load() {
			near.(*net.TCPConn).SetLinger(0)
			near.Close()
			continue
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close()
			continue
		}
		k := &link{near: near, far: far}
		if !p.add(k) {
			k.close()
			return
		}
		go p.pump(k, k.far, k.near)
		go p.pump(k, k.near, k.far)
	}
}

func (p *proxy) add(k *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.links[k] = true
	return true
}

// How the proxy spoils what passes.
const (
	silentLook  = 5 * time.Millisecond
	trickleGap  = 3 * time.Millisecond
	trickleMost = 48 // bytes at once, so that a head takes some 30 ms
)

// pump passes bytes from one side to the other until either ends.
func (p *proxy) pump(k *link, to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for p.cutOff() && p.alive(k) { // what was read goes nowhere: the link is reset once the cut is over
			time.Sleep(silentLook)
		}
		p.fallSilent(k, n)
		if k.mute.Load() {
			if err == nil {
				continue
			}
			p.awaitVoice(k, from)
			break
		}
		if n > 0 && p.alive(k) {
			if p.pass(to, buf[:n]) != nil {
				break
			}
			if to == k.far {
				p.fallSilentBehind(k)
			}
		}
		if err != nil {
			break
		}
	}
	k.close()
	p.mu.Lock()
	delete(p.links, k)
	p.mu.Unlock()
}

// cutOff tells whether nothing passes.
func (p *proxy) cutOff() bool {
	return p.silent.Load() || p.dark.Load() || p.first.Load() || p.parted.Load()
}

// How connections fall silent.
const (
	muteRate   = 0.03                   // with this part of the messages,
	behindRate = 0.2                    // and behind this part of those that have arrived at a worker,
	mostBehind = 400 * time.Millisecond // by so much at the most: while a write waits in a queue, or a read runs
)

// fallSilent has a link fall silent with a message now and then.
func (p *proxy) fallSilent(k *link, n int) {
	if n > 0 && p.mutes.Load() && rand.Float64() < muteRate {
		p.mute(k)
	}
}

// fallSilentBehind has a link fall silent a while behind a message that has arrived, now and then.
func (p *proxy) fallSilentBehind(k *link) {
	if p.mutes.Load() && rand.Float64() < behindRate {
		time.AfterFunc(time.Duration(rand.Int64N(int64(mostBehind))), func() {
			if p.mutes.Load() {
				p.mute(k)
			}
		})
	}
}

func (p *proxy) mute(k *link) {
	if !k.mute.Swap(true) {
		p.muted(k.far.LocalAddr(), false)
	}
}

// awaitVoice keeps a silent link's close to itself until the trouble is over.
func (p *proxy) awaitVoice(k *link, from net.Conn) {
	if from == k.near {
		p.muted(k.far.LocalAddr(), true)
	}
	for p.mutes.Load() && p.alive(k) {
		time.Sleep(silentLook)
	}
}

func (p *proxy) pass(to net.Conn, text []byte) error {
	for len(text) > 0 {
		part := text
		if p.trickles.Load() {
			part = text[:min(len(text), trickleMost)]
			time.Sleep(trickleGap)
		}
		if _, err := to.Write(part); err != nil {
			return err
		}
		text = text[len(part):]
	}
	return nil
}

func (p *proxy) alive(k *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[k]
}

// resetAll resets every open connection.
func (p *proxy) resetAll() { p.resetIf(func(*link) bool { return true }) }

// resetMuted resets every connection that has fallen silent.
func (p *proxy) resetMuted() { p.resetIf(func(k *link) bool { return k.mute.Load() }) }

func (p *proxy) resetIf(picked func(*link) bool) {
	var list []*link
	p.mu.Lock()
	for k := range p.links {
		if picked(k) {
			list = append(list, k)
			delete(p.links, k)
		}
	}
	p.mu.Unlock()
	for _, k := range list {
		k.reset()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ln.Close()
	p.resetAll()
}
