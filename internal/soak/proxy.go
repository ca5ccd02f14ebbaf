package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy simulates the network between one router and one worker.
type proxy struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	links  map[*link]bool
	closed bool

	silent, blackout, fresh, partitioned, silencing, refusing, trickling atomic.Bool // active faults, see setFault

	onSilent func(worker net.Addr, closed bool) // called when a link goes silent, and when its router has closed it
}

// link is one connection through a proxy.
type link struct {
	routerConn, workerConn net.Conn
	silent                 atomic.Bool // it forwards no more data, and hides that a side was closed until the fault ends
}

func (k *link) close() {
	k.routerConn.Close()
	k.workerConn.Close()
}

// reset closes both sides with a TCP reset.
func (k *link) reset() {
	for _, nc := range []net.Conn{k.routerConn, k.workerConn} {
		if tc, ok := nc.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
	}
	k.close()
}

// setFault starts or ends a fault, independently of others that are active.
func (p *proxy) setFault(kind FaultKind, on bool) {
	switch kind {
	case Silent:
		p.silent.Store(on)
	case Blackout:
		p.blackout.Store(on)
	case Fresh:
		p.fresh.Store(on)
	case Partition:
		p.partitioned.Store(on)
	case Mute:
		p.silencing.Store(on)
	case Refuse:
		p.refusing.Store(on)
	case Trickle:
		p.trickling.Store(on)
	}
}

// newProxy starts a proxy to a worker; onSilent gets the address that the worker sees as remote.
func newProxy(target string, onSilent func(worker net.Addr, closed bool)) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, links: map[*link]bool{}, onSilent: onSilent}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) serve() {
	for {
		routerConn, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.refusing.Load() {
			routerConn.(*net.TCPConn).SetLinger(0)
			routerConn.Close()
			continue
		}
		workerConn, err := net.Dial("tcp", p.target)
		if err != nil {
			routerConn.Close()
			continue
		}
		k := &link{routerConn: routerConn, workerConn: workerConn}
		if !p.add(k) {
			k.close()
			return
		}
		go p.forward(k, k.workerConn, k.routerConn)
		go p.forward(k, k.routerConn, k.workerConn)
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

// How the proxy forwards during faults.
const (
	proxyPollInterval = 5 * time.Millisecond // for the end of a fault
	trickleInterval   = 3 * time.Millisecond // before each chunk
	trickleChunk      = 48                   // bytes, so that a request head takes about 30 ms
)

// forward copies data from one side to the other until either ends.
func (p *proxy) forward(k *link, to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for p.blocked() && p.isOpen(k) { // data read meanwhile is not delivered: the link is reset when the fault ends
			time.Sleep(proxyPollInterval)
		}
		p.maybeSilence(k, n)
		if k.silent.Load() {
			if err == nil {
				continue
			}
			p.delayClose(k, from)
			break
		}
		if n > 0 && p.isOpen(k) {
			if p.write(to, buf[:n]) != nil {
				break
			}
			if to == k.workerConn {
				p.maybeSilenceLater(k)
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

// blocked reports whether a fault makes the worker unreachable from the router.
func (p *proxy) blocked() bool {
	return p.silent.Load() || p.blackout.Load() || p.fresh.Load() || p.partitioned.Load()
}

// How connections go silent during the fault Mute.
const (
	silentWithRate  = 0.03                   // part of the messages with which a connection goes silent
	silentAfterRate = 0.2                    // part of the messages, delivered to a worker, after which it does
	maxSilentDelay  = 400 * time.Millisecond // longest time after such a message, so that a write waits in a queue or a read runs
)

// maybeSilence draws whether a link goes silent with a message of n bytes, which is then lost.
func (p *proxy) maybeSilence(k *link, n int) {
	if n > 0 && p.silencing.Load() && rand.Float64() < silentWithRate {
		p.silence(k)
	}
}

// maybeSilenceLater draws whether a link goes silent some time after a message delivered to the worker.
func (p *proxy) maybeSilenceLater(k *link) {
	if p.silencing.Load() && rand.Float64() < silentAfterRate {
		time.AfterFunc(time.Duration(rand.Int64N(int64(maxSilentDelay))), func() {
			if p.silencing.Load() {
				p.silence(k)
			}
		})
	}
}

func (p *proxy) silence(k *link) {
	if !k.silent.Swap(true) {
		p.onSilent(k.workerConn.LocalAddr(), false)
	}
}

// delayClose hides from one side of a silent link that the other was closed, until the fault ends.
func (p *proxy) delayClose(k *link, from net.Conn) {
	if from == k.routerConn {
		p.onSilent(k.workerConn.LocalAddr(), true)
	}
	for p.silencing.Load() && p.isOpen(k) {
		time.Sleep(proxyPollInterval)
	}
}

// write forwards data, in delayed chunks during the fault Trickle.
func (p *proxy) write(to net.Conn, data []byte) error {
	for len(data) > 0 {
		part := data
		if p.trickling.Load() {
			part = data[:min(len(data), trickleChunk)]
			time.Sleep(trickleInterval)
		}
		if _, err := to.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}

func (p *proxy) isOpen(k *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[k]
}

// resetAll resets every open connection.
func (p *proxy) resetAll() { p.resetIf(func(*link) bool { return true }) }

// resetSilent resets every connection that has gone silent.
func (p *proxy) resetSilent() { p.resetIf(func(k *link) bool { return k.silent.Load() }) }

func (p *proxy) resetIf(match func(*link) bool) {
	var list []*link
	p.mu.Lock()
	for k := range p.links {
		if match(k) {
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
