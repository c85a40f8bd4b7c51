package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// mode is the fault of a proxy.
type mode int

const (
	passThrough mode = iota
	slow             // each read is forwarded after slowDelay
	silent           // connections stay open, nothing is forwarded
	oneWay           // data from the server is dropped
	modeCount
	endless // answers are replaced by bytes that never end; not chosen as one of the above
)

// endlessAnswers are what a proxy sends in the mode endless: a beginning, and what is repeated.
var endlessAnswers = [][2]string{
	{"", "\x00"},
	{"HTTP/1.1 200 OK", "k"},
	{"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
	{"HTTP/1.1 200 OK\r\na: ", "b"},
	{"", "HTTP/1.1 100 Continue\r\na: b\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 9000000000\r\n\r\n", "b"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n", "b"},
}

const slowDelay = 150 * time.Millisecond

// proxy forwards connections from listenAddress to targetAddress.
type proxy struct {
	listenAddress, targetAddress string

	mu          sync.Mutex
	listener    net.Listener
	interrupted bool // the listener is closed temporarily
	closed      bool
	mode        mode
	spoilt      int // answers replaced in the mode endless
	conns       map[net.Conn]struct{}
}

// proxyHost returns the loopback address of this process's proxies. Another process that runs
// this test must not take the port of a proxy that is interrupted.
func proxyHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", proxyHost()+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, listenAddress: l.Addr().String(), targetAddress: to, conns: map[net.Conn]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// interrupt resets all connections and refuses new ones for the given time, as a crash
// and restart of the server would.
func (p *proxy) interrupt(span time.Duration) {
	p.mu.Lock()
	if p.interrupted {
		p.mu.Unlock()
		return
	}
	p.interrupted = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.reset()
	time.AfterFunc(span, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		l, err := net.Listen("tcp", p.listenAddress)
		if err != nil || p.closed {
			return // the run is over, or the runner stays unreachable
		}
		p.listener, p.interrupted = l, false
		go p.accept(l)
	})
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset resets all open connections.
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
	p.setMode(passThrough)
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.reset()
}

func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.targetAddress)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.relay(server, client, false)
		go p.relay(client, server, true)
	}
}

// spoil sends bytes that never end until the client closes the connection.
func (p *proxy) spoil(client net.Conn) {
	p.mu.Lock()
	answer := endlessAnswers[p.spoilt%len(endlessAnswers)]
	p.spoilt++
	p.mu.Unlock()
	if _, err := client.Write([]byte(answer[0])); err != nil {
		return
	}
	piece := []byte(strings.Repeat(answer[1], 16<<10/len(answer[1])))
	for {
		if _, err := client.Write(piece); err != nil {
			return
		}
	}
}

// relay copies data in one direction and applies the proxy's mode. answers is true for
// data from the server.
func (p *proxy) relay(dst, src net.Conn, answers bool) {
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
		for p.currentMode() == silent && n > 0 {
			<-time.After(10 * time.Millisecond)
		}
		switch m := p.currentMode(); {
		case m == slow:
			<-time.After(slowDelay)
		case m == oneWay && answers:
			n = 0
		}
		if answers && p.currentMode() == endless && bytes.HasPrefix(buf[:n], []byte("HTTP/1.")) {
			p.spoil(dst)
			return
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
