package logging

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that block on their log lines while nobody reads the
// standard output and its pipe is full.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		b := NewBoundedWriter(out, 1000)
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			b.Run(stop)
			close(ended)
		}()
		line := []byte(strings.Repeat("x", 99) + "\n")
		began := time.Now()
		for range 500 {
			_, _ = b.Write(line)
			time.Sleep(time.Millisecond) // virtual time
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("writing took %v", took)
		}
		if b.Dropped() == 0 {
			t.Error("no lines were dropped although the buffer is full")
		}
		close(out.release)
		close(stop)
		<-ended
	})
}

func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	b := NewBoundedWriter(&out, 10)
	_, _ = b.Write([]byte("12345678\n"))
	_, _ = b.Write([]byte("abcdefgh\n"))
	b.Flush()
	if got := out.String(); !strings.HasPrefix(got, "12345678\n{") || !strings.Contains(got, `"dropped":1`) {
		t.Errorf("wrote %q", got)
	}
}
