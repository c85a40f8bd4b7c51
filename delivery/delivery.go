// Package delivery keeps what a caller was sent of the answer to its request, and decides what
// may follow.
//
// A caller gets one answer. Once its head was sent, no other answer is, and no other attempt
// follows, unless that continues a stream behind a whole event. The package does no I/O and its
// types are not safe for concurrent use.
package delivery

// Sent is what the caller of one request was sent. The zero value is nothing.
type Sent struct {
	part  part
	bytes int64
}

// part is how far an answer was sent.
type part uint8

const (
	nothing part = iota
	events       // the head of a stream, and whole events that another attempt can continue
	open         // bytes that no other attempt can continue
	whole        // a complete answer
)

// Nothing reports whether any answer may be sent.
func (s *Sent) Nothing() bool { return s.part == nothing }

// Continuable reports whether another attempt may follow.
func (s *Sent) Continuable() bool { return s.part == nothing || s.part == events }

// Bytes returns the number of bytes of bodies and events that were sent.
func (s *Sent) Bytes() int64 { return s.bytes }

// BeginStream begins a stream, or continues the one that was begun, and returns whether its
// head has to be sent. If the caller was sent something else, it returns false for ok, and
// nothing may be sent.
func (s *Sent) BeginStream() (sendHead, ok bool) {
	switch s.part {
	case nothing:
		s.part = events
		return true, true
	case events:
		return false, true
	case open, whole:
	}
	return false, false
}

// AddEvents adds whole events of a stream that were sent. continuable states that another
// attempt can continue behind them.
func (s *Sent) AddEvents(bytes int, continuable bool) {
	s.bytes += int64(bytes)
	if !continuable {
		s.Break()
	}
}

// BeginBody begins an answer that is no stream, and returns whether it may be sent.
func (s *Sent) BeginBody() bool {
	if s.part != nothing {
		return false
	}
	s.part = open
	return true
}

// AddBody adds bytes of a body that were sent.
func (s *Sent) AddBody(bytes int64) { s.bytes += bytes }

// Break states that bytes were sent, or may have been, that no other attempt can continue, such
// as a part of an event.
func (s *Sent) Break() {
	if s.part == events {
		s.part = open
	}
}

// End states that the answer is complete.
func (s *Sent) End() {
	if s.part != nothing {
		s.part = whole
	}
}
