package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/merlindock/merlindock/response/responsetest"
)

// partialRunner answers each request with a part of an answer, and then keeps silent.
type partialRunner struct {
	framing string // a header field, or empty: the answer ends with its connection
}

// serve listens until the end of the test and returns its address.
func (p *partialRunner) serve(t *testing.T) string {
	t.Helper()
	return responsetest.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		part := "id: 0\ndata: " + strings.Repeat("x", 700<<10) + "\n\n"
		if strings.Contains(p.framing, "chunked") {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Signature: s\r\n"+p.framing+"\r\n"+part)
		_, _ = c.Read(make([]byte, 1))
	})
}

// Guards against an answer that looks whole to its caller although the daemon's process ended
// before it was complete: the kernel closes the connections of a killed process.
func TestAnswersOfEndedDaemonsLookCut(t *testing.T) {
	const callersEach = 3 // of each path and version of HTTP
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		for _, framing := range []string{"", "Transfer-Encoding: chunked\r\n", "Content-Length: 1000000\r\n"} {
			t.Run(fmt.Sprintf("%v/%q", signal, framing), func(t *testing.T) {
				t.Parallel()
				runner := &partialRunner{framing: framing}
				s := newEmptySoak(t, 1)
				s.register("llm-0", "models", runner.serve(t), 1)
				s.register("app-0", "app", runner.serve(t), 1)
				s.start(1)
				daemon := s.daemons[0]
				awaitServed(t, daemon.front)
				var all sync.WaitGroup
				var whole, began atomic.Int64
				want := int64(0)
				for _, path := range []string{"/talk/x", "/book/x", "/look/x"} {
					for _, version := range []string{"1.0", "1.1"} {
						for i := range callersEach {
							want++
							all.Go(func() {
								if looksWhole(t, daemon.front, version, path, fmt.Sprint(version, path, i), &began) {
									whole.Add(1)
								}
							})
						}
					}
				}
				for end := time.Now().Add(recoverWithin); began.Load() < want && time.Now().Before(end); {
					time.Sleep(10 * time.Millisecond)
				}
				daemon.stop(signal)
				all.Wait()
				if began.Load() != want || whole.Load() > 0 {
					t.Errorf("%d of %d answers began, %d look whole", began.Load(), want, whole.Load())
				}
			})
		}
	}
}

// awaitServed waits until the daemon knows its configuration and endpoints.
func awaitServed(t *testing.T, front string) {
	t.Helper()
	for end := time.Now().Add(recoverWithin); ; time.Sleep(50 * time.Millisecond) {
		served := false
		c, err := net.DialTimeout("tcp", front, time.Second)
		if err == nil {
			_, _ = fmt.Fprintf(c, "POST /look/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: first\r\nApi-Key: %s\r\nContent-Length: 0\r\n\r\n", stableKey)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_ = resp.Body.Close()
				served = resp.StatusCode == http.StatusOK
			}
			_ = c.Close()
		}
		if served {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the daemon does not serve")
		}
	}
}

// looksWhole sends a request and reports whether its answer is a success that looks whole.
// began counts those of which a byte of the body was received.
func looksWhole(t *testing.T, front, version, path, id string, began *atomic.Int64) bool {
	t.Helper()
	c, err := net.Dial("tcp", front)
	if err != nil {
		t.Error(err)
		return false
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: h.example\r\nAttempt-Id: %s\r\nApi-Key: %s\r\nContent-Length: 0\r\n\r\n", path, version, id, stableKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if _, err := resp.Body.Read(make([]byte, 1)); err == nil && resp.StatusCode == http.StatusOK {
		began.Add(1)
	}
	_, err = io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
