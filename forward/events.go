package forward

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/merlindock/merlindock/response"
)

// maxEventBytes bounds the buffered part of an incomplete event.
const maxEventBytes = 1 << 20

var (
	eventEnd      = []byte("\n\n")
	idField       = []byte("id:")
	errEventOrder = errors.New("forward: stream repeats an earlier event id out of order")
)

// eventSplitter splits a stream into server-sent events and tracks their ids.
//
// An endpoint that fails may stop in the middle of an event. Another endpoint
// cannot continue within an event, so only complete events are passed on.
type eventSplitter struct {
	partial []byte
	held    response.Holding // for partial
	last    int64            // id of the newest complete event; NoEvent: none
	// unnumbered states that an event without an id was passed on. Another endpoint can't
	// continue after it, as it is unknown which events follow.
	unnumbered bool
}

// begin begins the stream of another attempt. Its incomplete event is held within limits until
// end is called.
func (e *eventSplitter) begin(limits *response.Limits) { e.partial, e.held = nil, limits.Hold() }

func (e *eventSplitter) end() { e.held.Release() }

// add appends bytes of the stream and returns the events completed by them that
// the caller does not have yet. The result is valid until the next call.
func (e *eventSplitter) add(b []byte) ([]byte, error) {
	// The end may lie across the border. What came before it has none.
	searched := max(0, len(e.partial)-len(eventEnd)+1)
	e.partial = append(e.partial, b...)
	end := bytes.LastIndex(e.partial[searched:], eventEnd)
	if end < 0 {
		if len(e.partial) > maxEventBytes {
			return nil, &response.Error{Bound: response.BoundEvent, Limit: maxEventBytes, Read: int64(len(e.partial))}
		}
		return nil, e.held.Resize(int64(len(e.partial)))
	}
	end += searched
	e.held.Release()
	complete := e.partial[:end+len(eventEnd)]
	rest := append([]byte(nil), e.partial[end+len(eventEnd):]...)
	out, err := e.dropDelivered(complete)
	e.partial = rest
	return out, err
}

// dropDelivered removes the leading events that the caller already has. An
// endpoint that resumes a stream may start before the requested event. An old
// event behind a new one is an error.
func (e *eventSplitter) dropDelivered(complete []byte) ([]byte, error) {
	from := 0
	for at := 0; at < len(complete); {
		n := bytes.Index(complete[at:], eventEnd) + len(eventEnd)
		id, ok := eventID(complete[at : at+n])
		switch {
		case !ok:
			e.unnumbered = e.unnumbered || !isComment(complete[at:at+n])
		case e.last != NoEvent && id <= e.last && from < at:
			return nil, errEventOrder
		case e.last != NoEvent && id <= e.last:
			from = at + n
		default:
			e.last = id
		}
		at += n
	}
	return complete[from:], nil
}

// incomplete returns the bytes received after the last complete event.
func (e *eventSplitter) incomplete() []byte { return e.partial }

// isComment reports whether a block of a stream has comments only, which are no event.
func isComment(block []byte) bool {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the id field of an event, and false if it has none or it is
// not a number.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if text, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
