//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxBodyBytes is the largest body that the daemons of the tests accept.
	maxBodyBytes = 4 << 20
	// maxHeadBytes is the largest head that their callers may send.
	maxHeadBytes = 16 << 10
	// crowdTime is how long a crowd presses before an ordinary request must be answered.
	crowdTime = 4 * time.Second
	// maxVisits bounds the connections that one client of a crowd opens, one after the other.
	maxVisits = 20
)

// client is what one caller of a crowd does with a connection. It returns when it has nothing
// more to send. The connection stays open until the daemon closes it; then the client comes
// back with a new one.
type client func(c net.Conn)

// crowd is many clients at one address.
type crowd struct {
	stop chan struct{}
	all  sync.WaitGroup
}

// gather starts n clients.
func gather(n int, address string, do client) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for range n {
		c.all.Go(func() {
			for range maxVisits {
				if !c.visit(address, do) {
					return
				}
			}
		})
	}
	return c
}

// visit opens a connection and returns when the daemon has closed it. It returns false once the
// crowd is dismissed.
func (c *crowd) visit(address string, do client) bool {
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		select {
		case <-c.stop:
			return false
		case <-time.After(50 * time.Millisecond):
			return true
		}
	}
	defer conn.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		do(conn)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-c.stop:
		_ = conn.Close()
		<-done
		return false
	case <-done:
		return true
	}
}

// dismiss ends the crowd.
func (c *crowd) dismiss() {
	close(c.stop)
	c.all.Wait()
}

// target is a request that a crowd begins: its first line and what authenticates it.
type target struct{ line, fields string }

// head returns the head of a request with further fields.
func (r target) head(fields ...string) string {
	return r.line + " HTTP/1.1\r\n" + r.fields + strings.Join(append(fields, ""), "\r\n") + "\r\n"
}

func contentLength(n int) string { return fmt.Sprint("Content-Length: ", n) }

const chunked = "Transfer-Encoding: chunked"

// body sends the first bytes of a body with a stated length.
func body(r target, stated, sent int) client {
	return func(c net.Conn) {
		if _, err := io.WriteString(c, r.head(contentLength(stated))); err == nil {
			_, _ = c.Write(bytes.Repeat([]byte("x"), sent))
		}
	}
}

// wholeBodies sends n requests of the largest size, one behind the other, without waiting.
func wholeBodies(r target, n int) client {
	return func(c net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for range n {
			body(r, maxBodyBytes, maxBodyBytes)(c)
		}
	}
}

// chunks sends a body in chunks of the given size without the last one. extension stands
// behind each chunk's size.
func chunks(r target, size, total int, extension string) client {
	return func(c net.Conn) {
		if _, err := io.WriteString(c, r.head(chunked)); err != nil {
			return
		}
		chunk := []byte(fmt.Sprintf("%x%s\r\n%s\r\n", size, extension, strings.Repeat("x", size)))
		piece := bytes.Repeat(chunk, max(1, 64<<10/size))
		perPiece := max(1, 64<<10/size) * size
		for sent := 0; sent+perPiece <= total; sent += perPiece {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}
}

// trickle sends a part of a body of the largest size and goes on with a byte at a time.
func trickle(r target, first int) client {
	return func(c net.Conn) {
		body(r, maxBodyBytes, first)(c)
		for {
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// begin sends the beginning of a request.
func begin(text string) client {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

// silent sends nothing.
func silent(net.Conn) {}

// shortFields returns header fields with different names of the given length in all, which take
// many times their length when they are parsed.
func shortFields(length int) string {
	var b strings.Builder
	for i := 0; b.Len()+8 <= length; i++ {
		fmt.Fprintf(&b, "f%04x:\r\n", i)
	}
	return b.String()
}

// neverReads sends a request again and again and reads no answer.
func neverReads(r target) client {
	return func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		for range 8 {
			if _, err := io.WriteString(c, r.head(contentLength(0))); err != nil {
				return
			}
		}
		time.Sleep(2 * crowdTime)
	}
}

// request is a request of an ordinary caller.
type request struct {
	method, url, host string
	header            map[string]string
	body              int // bytes
	want              string
}

// send makes the request on a new connection.
func (r request) send() error {
	req, err := http.NewRequest(r.method, r.url, bytes.NewReader(bytes.Repeat([]byte("x"), r.body)))
	if err != nil {
		return err
	}
	req.Host = r.host
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: waitTimeout / 4}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(text), r.want) {
		return fmt.Errorf("status %d, %q", resp.StatusCode, text)
	}
	return nil
}

// mustAnswer fails the test unless the request is answered. A caller that was refused comes
// back.
func (r request) mustAnswer(t *testing.T, when string) {
	t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = r.send(); err == nil {
			return
		}
	}
	t.Errorf("%s no request is answered: %v", when, err)
}
