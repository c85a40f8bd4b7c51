package soak

import (
	"net"
	"sync"
	"time"
)

// mode is how a proxy misbehaves.
type mode int

const (
	pass   mode = iota
	slow        // each piece is held back
	silent      // connections stay open and carry nothing
	oneWay      // what the server sends is lost
	modeCount
)

const slowness = 150 * time.Millisecond

// proxy carries connections from its own address to another.
type proxy struct {
	at, to string

	mu     sync.Mutex
	l      net.Listener
	ended  bool // nobody listens for now
	closed bool
	mode   mode
	conns  map[net.Conn]struct{}
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, at: l.Addr().String(), to: to, conns: map[net.Conn]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.at }

// end breaks all connections and refuses others for a while, as the end of a process
// behind the address does.
func (p *proxy) end(span time.Duration) {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	p.ended = true
	_ = p.l.Close()
	p.mu.Unlock()
	p.reset()
	time.AfterFunc(span, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		l, err := net.Listen("tcp", p.at)
		if err != nil || p.closed {
			return // the run is over, or daemons go on without the runner
		}
		p.l, p.ended = l, false
		go p.accept(l)
	})
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.set(pass)
	p.mu.Lock()
	p.closed = true
	_ = p.l.Close()
	p.mu.Unlock()
	p.reset()
}

func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.carry(server, client, false)
		go p.carry(client, server, true)
	}
}

// carry copies in one direction as the mode has it.
func (p *proxy) carry(dst, src net.Conn, answers bool) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
		p.mu.Lock()
		delete(p.conns, dst)
		delete(p.conns, src)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		for p.now() == silent && n > 0 {
			<-time.After(10 * time.Millisecond)
		}
		switch m := p.now(); {
		case m == slow:
			<-time.After(slowness)
		case m == oneWay && answers:
			n = 0
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
