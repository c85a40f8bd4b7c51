package logging

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is an output that nobody reads.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Nobody reads the standard output, so that its pipe is full. Requests go on
// being logged; if a line waited for the pipe, every request would stand still
// and callers would see a dead daemon with nothing to tell why.
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
			time.Sleep(time.Millisecond) // virtual
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("writing took %v", took)
		}
		if b.Dropped() == 0 {
			t.Error("nothing was dropped, though nothing can be held")
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
