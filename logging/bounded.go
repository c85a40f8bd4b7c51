package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a Bounded writer.
const (
	// DefaultBufferBytes are held while the output is slow: some thousand lines.
	DefaultBufferBytes = 512 << 10
	// flushInterval gathers the lines of a while in one write. A process that is
	// killed loses no more than that.
	flushInterval = 50 * time.Millisecond
)

// BoundedWriter is an io.Writer that never blocks: it holds a bounded amount of lines
// and drops those that do not fit, counting them.
//
// A standard output that nobody reads fills its pipe. If a request had to wait
// for its log line, the whole process would stand still with nothing to show
// why. What was dropped is reported in a line of its own once there is room.
type BoundedWriter struct {
	out  io.Writer
	size int

	mu           sync.Mutex
	buffered     []byte
	spare        []byte
	dropped      uint64 // lines since the last report
	totalDropped uint64
}

// NewBoundedWriter returns a writer that holds at most size bytes. Run must be called
// for anything to come out.
func NewBoundedWriter(to io.Writer, size int) *BoundedWriter {
	return &BoundedWriter{out: to, size: size}
}

// Write takes one line. It never fails and never waits.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffered)+len(line) > b.size {
		b.dropped++
		b.totalDropped++
		return len(line), nil
	}
	b.buffered = append(b.buffered, line...)
	return len(line), nil
}

// Dropped is the number of lines lost so far.
func (b *BoundedWriter) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Run writes what is held until stop is closed, and then what is left.
func (b *BoundedWriter) Run(stop <-chan struct{}) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			b.Flush()
		case <-stop:
			b.Flush()
			return
		}
	}
}

// Flush writes what is held. Only one goroutine may call it at a time.
func (b *BoundedWriter) Flush() {
	b.mu.Lock()
	out := b.buffered
	b.buffered = b.spare[:0]
	if b.dropped > 0 {
		out = fmt.Appendf(out, `{"level":"warn","message":"log: lines were dropped","dropped":%d}`+"\n", b.dropped)
		b.dropped = 0
	}
	b.mu.Unlock()
	if len(out) > 0 {
		// A standard output that is gone leaves nowhere to report it.
		_, _ = b.out.Write(out)
	}
	b.mu.Lock()
	b.spare = out[:0]
	b.mu.Unlock()
}
