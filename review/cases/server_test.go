//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of a plain service on the sheet of rpaq-plans.
const (
	slots        = 6
	queue        = 24
	heartbeat    = 1200 * time.Millisecond
	keepAliveS   = 5
	queueTimeout = 5 * time.Second
)

// exchange is a request that a server has read, with the channel that it came on.
type exchange struct {
	server  *server
	conn    *net.TCPConn
	request *http.Request
	body    []byte
	number  int // of the run
	onConn  int // requests read on this channel so far
	// last is the answer that the server sent to the request before on this channel.
	last []byte
}

// attempt returns the Attempt-Id.
func (x *exchange) attempt() string { return x.request.Header.Get("Attempt-Id") }

// server is a stand-in of a runner of a plain service.
type server struct {
	id, service, address string
	bed                  *bed
	// answer runs a request and writes the answer. It returns the bytes written, and
	// whether the channel stays open.
	answer func(x *exchange) ([]byte, bool)

	listener net.Listener
	room     chan struct{}

	mu      sync.Mutex
	waiting int
	runs    int
	shed    int
	seq     int
	gone    bool
}

// addServer starts a server, which checks in at the store.
func (b *bed) addServer(id, service string, answer func(x *exchange) ([]byte, bool)) (*server, error) {
	l, err := net.Listen("tcp", b.loopback()+":0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, address: l.Addr().String(), bed: b, answer: answer, listener: l, room: make(chan struct{}, slots)}
	go s.accept()
	s.checkIn()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				s.checkIn()
			}
		}
	}()
	b.atEnd(func() { close(stop); l.Close() })
	return s, nil
}

func (s *server) checkIn() {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	s.bed.store.Put("keyed.servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": zoneName, "version": "v1", "slots": slots,
		"state": "ready", "coldLeftMs": 0, "seq": seq,
	})
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *server) serve(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var last []byte
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &exchange{server: s, conn: c, request: req, body: body, onConn: n, last: last}
		var open bool
		if last, open = s.handle(x); !open {
			return
		}
	}
}

func (s *server) handle(x *exchange) ([]byte, bool) {
	if id := x.request.Header.Get("Expect-Instance"); id != "" && id != s.id {
		return x.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n")
	}
	if !s.enter() {
		s.mu.Lock()
		s.shed++
		s.mu.Unlock()
		s.bed.note("%s sheds %s", s.id, x.attempt())
		return x.write(x.shedAnswer())
	}
	defer func() { <-s.room }()
	s.mu.Lock()
	s.runs++
	x.number = s.runs
	s.mu.Unlock()
	return s.answer(x)
}

// enter takes a slot, or waits for one in the queue. It returns false if the queue is full.
func (s *server) enter() bool {
	select {
	case s.room <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.room <- struct{}{}:
		return true
	case <-time.After(queueTimeout):
		return false
	}
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(s.room), s.waiting, slots)
}

// shedAnswer returns the answer to a request that is not run for want of room.
func (x *exchange) shedAnswer() string {
	return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + x.attempt() + "\r\nNot-Executed: 1\r\nServer-Load: " + x.server.load() +
		"\r\nKeep-Alive: timeout=" + strconv.Itoa(keepAliveS) + "\r\nContent-Length: 0\r\n\r\n"
}

// signature identifies the run.
func (x *exchange) signature() string { return fmt.Sprintf("%s.%d", x.server.id, x.number) }

// head returns the header of a whole answer with status 200.
func (x *exchange) head(length int) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + x.attempt() + "\r\nResponse-Signature: " + x.signature() + "\r\nServer-Load: " + x.server.load() +
		"\r\nKeep-Alive: timeout=" + strconv.Itoa(keepAliveS) + "\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

func (x *exchange) write(text string) ([]byte, bool) {
	_, err := io.WriteString(x.conn, text)
	return []byte(text), err == nil
}
