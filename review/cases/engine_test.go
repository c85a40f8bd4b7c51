//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	modelName   = "daka510000"
	engineSlots = 24
	eventCount  = 20
	eventPause  = 5 * time.Millisecond
	engineWork  = 30 * time.Millisecond // until the first event
)

// engine is a stand-in of a model runner that answers with streams.
type engine struct {
	id       string
	bed      *bed
	listener net.Listener
	// spoil, if it returns true, writes the answer to a request itself, after which the
	// channel is closed.
	spoil func(e *engine, c *net.TCPConn, attempt string) bool

	mu   sync.Mutex
	runs int
	seq  int
}

// addEngine starts a model runner, which checks in at the store.
func (b *bed) addEngine(id string, spoil func(e *engine, c *net.TCPConn, attempt string) bool) error {
	l, err := net.Listen("tcp", b.loopback()+":0")
	if err != nil {
		return err
	}
	e := &engine{id: id, bed: b, listener: l, spoil: spoil}
	go e.accept()
	e.checkIn()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				e.checkIn()
			}
		}
	}()
	b.atEnd(func() { close(stop); l.Close() })
	return nil
}

func (e *engine) checkIn() {
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	e.bed.store.Put("keyed.servers", e.id, map[string]any{
		"service": "modeles-plans", "address": e.listener.Addr().String(), "zone": zoneName, "version": "v1", "slots": engineSlots,
		"state": "ready", "coldLeftMs": 0, "stage": "unified", "seq": seq,
		"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}},
	})
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c.(*net.TCPConn))
	}
}

func (e *engine) serve(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if err := e.handle(c, req); err != nil {
			return
		}
	}
}

func (e *engine) handle(c *net.TCPConn, req *http.Request) error {
	if id := req.Header.Get("Expect-Instance"); id != "" && id != e.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	switch req.URL.Path {
	case "/v1/report":
		return writeBody(c, `{"stage":"unified","models":[{"name":"`+modelName+`","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"inFlight":0,"kvUsed":0,"kvTotal":209273,"handles":0}`)
	case "/v1/kv-events":
		time.Sleep(time.Second) // as Wait-Ms asks; there are none
		return writeBody(c, `{"bootEpoch":1,"next":1,"lost":false,"events":[]}`)
	}
	attempt := req.Header.Get("Attempt-Id")
	if e.spoil(e, c, attempt) {
		return io.EOF
	}
	e.mu.Lock()
	e.runs++
	run := e.runs
	e.mu.Unlock()
	e.bed.note("%s runs %s", e.id, attempt)
	time.Sleep(engineWork)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%d\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nServer-Load: 1,0,%d\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, e.id, run, engineSlots); err != nil {
		return err
	}
	for i := range eventCount {
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		time.Sleep(eventPause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

func writeBody(c *net.TCPConn, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// modelService is the configuration of the runners' service, as on the sheet of rpaq-plans.
func modelService() map[string]any {
	return map[string]any{
		"name": "modeles-plans", "healthPath": "/healthz", "maxConns": 200, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kvCapacityTokens": 209273, "kvTokenBytes": 18432, "linkMbps": 370000.0, "stride": 6, "maxInflight": 12,
			"models": []any{map[string]any{"name": modelName}},
		},
	}
}

// modelHeaders returns the headers that a requester sends for a generation.
func modelHeaders(id string) string {
	return "Model: " + modelName + "\r\nToken-Usage: 383,8\r\nPrompt-Prefix: 5c1e07a2:92," + strings.ToLower(id) + ":291\r\n"
}
