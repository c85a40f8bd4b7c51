package socket

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (a, b *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near.(*net.TCPConn), far.(*net.TCPConn)
}

// Guards against bytes that count as received by the other end, which has reset the connection
// or does not read.
func TestDelivered(t *testing.T) {
	near, far := pair(t)
	if !Delivered(near) {
		t.Error("nothing was written")
	}
	_, _ = io.WriteString(near, "x")
	_, _ = far.Read(make([]byte, 1))
	if !Delivered(near) {
		t.Error("what the other end has read is not delivered")
	}
	_ = near.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := near.Write(make([]byte, 64<<20)); err == nil || Delivered(near) {
		t.Errorf("what the other end does not read is delivered, %v", err)
	}
	near, far = pair(t)
	_ = far.CloseWrite()
	if n, err := near.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || !Delivered(near) {
		t.Errorf("%d, %v", n, err)
	}
	_ = far.SetLinger(0)
	_ = far.Close()
	if Delivered(near) {
		t.Error("a reset behind an end is not seen")
	}
	_ = near.Close()
	if Delivered(near) || Drained(near) {
		t.Error("a closed connection counts")
	}
	if pipe, _ := net.Pipe(); !Delivered(pipe) || !Drained(pipe) {
		t.Error("a connection without a socket does not count")
	}
}

// Guards against received bytes that nobody has read and that count as read.
func TestDrained(t *testing.T) {
	near, far := pair(t)
	if !Drained(far) {
		t.Error("nothing was sent")
	}
	_, _ = io.WriteString(near, "xy")
	_, _ = far.Read(make([]byte, 1))
	if Drained(far) {
		t.Error("a byte is left")
	}
	_, _ = far.Read(make([]byte, 1))
	if !Drained(far) {
		t.Error("no byte is left")
	}
}
