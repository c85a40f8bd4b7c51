package routed

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/metastore"
)

const (
	// endlessRequestBytes is more than a daemon may accept of a request: its limits and what
	// the sockets of both ends hold.
	endlessRequestBytes = 24 << 20
	endlessRequestTime  = 5 * time.Second
)

// Guards against requests without end of callers, other daemons, the balancer and operators,
// which a daemon reads until a time limit.
func TestEndlessRequestsAreCutOff(t *testing.T) {
	w := newTestbed(t)
	peers := metastore.FreeAddress(t)
	d := w.addDaemon("front-peers", "", peers, nil)
	w.waitUntil("the daemon is ready", func() bool { return isReadyAt(d.ready) })
	for name, c := range map[string]struct{ address, begin, filler string }{
		"caller, fields":   {w.front, "GET /look/a HTTP/1.1\r\nHost: h.example\r\n", "a: b\r\n"},
		"caller, target":   {w.front, "GET /", "x"},
		"caller, length":   {w.front, "POST /book/a HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-a\r\nContent-Length: 9000000000\r\n\r\n", "x"},
		"caller, chunks":   {w.front, "POST /book/a HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"caller, trailer":  {w.front, "POST /book/a HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
		"balancer, fields": {w.ready, "GET /v1/readyz HTTP/1.1\r\nHost: h\r\n", "a: b\r\n"},
		"operator, fields": {w.metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n", "a: b\r\n"},
		"daemon, fields":   {peers, "POST /v1/relay HTTP/1.1\r\nHost: h\r\n", "a: b\r\n"},
		"daemon, body":     {peers, "POST /v1/relay HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000000\r\n\r\n", "x"},
	} {
		sent, err := sendWithoutEnd(c.address, c.begin, c.filler)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d bytes were accepted, %v", name, sent, err)
		}
	}
	udp, err := net.Dial("udp", peers)
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for range 100 {
		if _, err := udp.Write(make([]byte, 60<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.sendTo(d.front, http.MethodGet, "/look/a", "key-a", http.Header{}); got.status != http.StatusOK {
		t.Errorf("status %d %q, %v afterwards", got.status, got.body, got.err)
	}
}

// sendWithoutEnd sends a request until the server closes the connection, and returns how many
// bytes it sent. The error is nil if the server has accepted all of endlessRequestBytes.
func sendWithoutEnd(address, begin, filler string) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(endlessRequestTime)); err != nil {
		return 0, err
	}
	go func() { _, _ = io.Copy(io.Discard, c) }()
	piece := bytes.Repeat([]byte(filler), 32<<10/len(filler))
	sent, err := io.Copy(c, io.MultiReader(strings.NewReader(begin), io.LimitReader(&repeating{piece: piece}, endlessRequestBytes)))
	return int(sent), err
}

// repeating yields a piece again and again.
type repeating struct {
	piece []byte
	at    int
}

func (r *repeating) Read(b []byte) (int, error) {
	n := copy(b, r.piece[r.at:])
	r.at = (r.at + n) % len(r.piece)
	return n, nil
}
