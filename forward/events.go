package forward

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
	errLong  = errors.New("forward: event of the stream is too long")
	errBack  = errors.New("forward: stream goes back to an earlier event")
)

// events cuts a stream into whole events and tells their ids.
//
// An endpoint that dies may stop in the middle of an event. A caller who got
// the first half of it could not be served the rest by another endpoint, so
// only whole events are passed on.
type events struct {
	partial []byte
	last    int64 // id of the newest whole event; NoEvent: none
}

// add takes bytes of the stream and returns those that end whole events which
// the caller does not have yet. The result is valid until the next call.
func (e *events) add(b []byte) ([]byte, error) {
	e.partial = append(e.partial, b...)
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		if len(e.partial) > maxEventBytes {
			return nil, errLong
		}
		return nil, nil
	}
	whole := e.partial[:end+len(eventEnd)]
	rest := append([]byte(nil), e.partial[end+len(eventEnd):]...)
	out, err := e.fresh(whole)
	e.partial = rest
	return out, err
}

// fresh drops the events that the caller has already had. An endpoint that
// takes a stream over may begin a little before the event it was asked for.
func (e *events) fresh(whole []byte) ([]byte, error) {
	from := 0
	for at := 0; at < len(whole); {
		n := bytes.Index(whole[at:], eventEnd) + len(eventEnd)
		id, ok := eventID(whole[at : at+n])
		switch {
		case !ok:
		case e.last != NoEvent && id <= e.last && from < at:
			return nil, errBack
		case e.last != NoEvent && id <= e.last:
			from = at + n
		default:
			e.last = id
		}
		at += n
	}
	return whole[from:], nil
}

// rest is what stands behind the last whole event.
func (e *events) rest() []byte { return e.partial }

func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if text, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
