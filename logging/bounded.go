package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Parameters of a BoundedWriter.
const (
	// DefaultBufferBytes is a buffer size for several thousand lines.
	DefaultBufferBytes = 512 << 10
	// flushInterval is the time over which lines are collected into one write.
	// It is also the maximum that a killed process loses.
	flushInterval = 50 * time.Millisecond
)

// BoundedWriter is an io.Writer that never blocks. It buffers a limited number
// of bytes, and drops and counts the lines that do not fit.
//
// If nobody reads the standard output, its pipe fills up. If requests waited
// for their log lines, the whole process would stop without any sign of the
// cause. The number of dropped lines is reported in a line of its own once the
// buffer has been written.
type BoundedWriter struct {
	out  io.Writer
	size int

	mu           sync.Mutex
	buffered     []byte
	spare        []byte
	dropped      uint64 // lines dropped since the last report
	totalDropped uint64
}

// NewBoundedWriter returns a writer that buffers at most size bytes. The lines
// are written to the output only by Run or Flush.
func NewBoundedWriter(to io.Writer, size int) *BoundedWriter {
	return &BoundedWriter{out: to, size: size}
}

// Write buffers one line or drops it. It never blocks and never fails.
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

// Dropped returns the number of lines dropped so far.
func (b *BoundedWriter) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Run flushes the buffer periodically until stop is closed, and then once more.
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

// Flush writes the buffered lines to the output. Only one goroutine may call it
// at a time.
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
		// If the output fails, there is nowhere to report it.
		_, _ = b.out.Write(out)
	}
	b.mu.Lock()
	b.spare = out[:0]
	b.mu.Unlock()
}
