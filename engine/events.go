package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

// EventKind is the type of an Event.
type EventKind int

// Kinds of Event.
const (
	EventToken EventKind = iota + 1 // one piece of the answer
	EventEnd                        // the end marker
)

// NoIndex is the index of tokens from an endpoint that does not number them.
const NoIndex int64 = -1

// Event is one event of a stream. Data is valid until the next call of Next.
type Event struct {
	Kind EventKind
	// Index is the index of a token, or with EventEnd the total number of tokens.
	// It is NoIndex if the endpoint gives none.
	Index int64
	Data  []byte
}

const eventBufferBytes = 1 << 10

var (
	endMarker      = []byte("[DONE]")
	errorPrefix    = []byte(`{"error"`)
	eventSeparator = []byte("\n\n")
	fieldData      = []byte("data")
	fieldID        = []byte("id")
)

var bufferPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferBytes) }}

// EventReader reads the events of a streamed answer. It is not safe for concurrent
// use.
type EventReader struct {
	answer   *Answer
	reader   *bufio.Reader
	timer    *stallTimer
	limit    int
	data     []byte // of the event being read, reused
	line     []byte // a line longer than the reader's buffer, reused
	hasEvent bool   // the reader's buffer contains a complete event
}

// Events returns a reader of the answer's events. The caller must call Release.
func (ans *Answer) Events() *EventReader {
	r := bufferPool.Get().(*bufio.Reader)
	r.Reset(ans.body)
	return &EventReader{answer: ans, reader: r, timer: ans.newStallTimer(), limit: ans.client.options.MaxEventBytes}
}

// Release returns the buffer to its pool. The reader and its events must not be
// used afterwards.
func (e *EventReader) Release() {
	e.timer.stop()
	e.reader.Reset(nil)
	bufferPool.Put(e.reader)
	e.reader = nil
}

// Ready reports whether Next returns an event without blocking. A relay uses it to
// flush only when no further event is buffered.
func (e *EventReader) Ready() bool {
	if !e.hasEvent {
		buffered, _ := e.reader.Peek(e.reader.Buffered())
		e.hasEvent = bytes.Contains(buffered, eventSeparator)
	}
	return e.hasEvent
}

// Next returns the next event. Errors are of type *Error; their cause is
// ErrTruncated if the stream ends without its end marker.
func (e *EventReader) Next() (Event, error) {
	if !e.Ready() {
		e.timer.begin()
		defer e.timer.end()
	}
	e.hasEvent = false
	e.data = e.data[:0]
	index, hasData := NoIndex, false
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, e.answer.UnusableError(e.readError(err))
		}
		if len(line) == 0 {
			if !hasData {
				index = NoIndex
				continue
			}
			return e.parseEvent(index)
		}
		name, value := splitField(line)
		switch {
		case bytes.Equal(name, fieldData):
			if hasData {
				e.data = append(e.data, '\n')
			}
			hasData = true
			e.data = append(e.data, value...)
		case bytes.Equal(name, fieldID):
			if index, err = parseIndex(value); err != nil {
				return Event{}, e.answer.UnusableError(ErrMalformed)
			}
		}
		if len(e.data) > e.limit {
			return Event{}, e.answer.UnusableError(ErrTooLarge)
		}
	}
}

func (e *EventReader) parseEvent(index int64) (Event, error) {
	switch {
	case bytes.Equal(e.data, endMarker):
		return Event{Kind: EventEnd, Index: index}, nil
	case bytes.HasPrefix(e.data, errorPrefix):
		return Event{}, e.answer.UnusableError(ErrEndpointFault)
	case len(e.data) == 0 || e.data[0] != '{' || e.data[len(e.data)-1] != '}':
		// A token is a JSON object. Anything else, such as part of an object
		// written before a crash, must not be relayed to the caller.
		return Event{}, e.answer.UnusableError(ErrMalformed)
	}
	return Event{Kind: EventToken, Index: index, Data: e.data}, nil
}

func (e *EventReader) readError(err error) error {
	switch {
	case errors.Is(err, ErrTooLarge):
		return err
	case errors.Is(err, io.EOF):
		return ErrTruncated
	default:
		return e.answer.readError(err)
	}
}

// readLine returns the next line without its line ending. It is valid until the
// next call.
func (e *EventReader) readLine() ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

// readLongLine reads a line that exceeds the reader's buffer. The limit keeps an
// endpoint that never ends its line from exhausting the memory.
func (e *EventReader) readLongLine(head []byte) ([]byte, error) {
	e.line = append(e.line[:0], head...)
	for {
		chunk, err := e.reader.ReadSlice('\n')
		e.line = append(e.line, chunk...)
		if len(e.line) > e.limit {
			return nil, ErrTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.line, err
		}
	}
}

// splitField splits a line into field name and value. The name of a comment line is
// empty.
func splitField(line []byte) (name, value []byte) {
	i := bytes.IndexByte(line, ':')
	if i < 0 {
		return line, nil
	}
	name, value = line[:i], line[i+1:]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return name, value
}

func parseIndex(value []byte) (int64, error) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || n < 0 {
		return NoIndex, ErrMalformed
	}
	return n, nil
}
