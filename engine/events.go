package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

// EventKind tells what an event of a stream is.
type EventKind int

// The kinds of event.
const (
	EventToken EventKind = iota + 1 // one piece of the answer
	EventEnd                        // the end marker
)

// NoIndex is the index of a token whose endpoint numbers none.
const NoIndex int64 = -1

// Event is one event of a stream. Data is valid until the next call of Next.
type Event struct {
	Kind EventKind
	// Index of a token, or the number of all tokens with the end marker;
	// NoIndex when the endpoint gives none.
	Index int64
	Data  []byte
}

const eventBufferBytes = 1 << 10

var (
	endMarker   = []byte("[DONE]")
	faultPrefix = []byte(`{"error"`)
	eventEnd    = []byte("\n\n")
	fieldData   = []byte("data")
	fieldID     = []byte("id")
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferBytes) }}

// EventReader reads the typed events of a streamed answer. It belongs to one
// goroutine.
type EventReader struct {
	answer *Answer
	reader *bufio.Reader
	watch  *stallWatch
	limit  int
	data   []byte // of the event being read, reused
	line   []byte // a line longer than the reader's buffer, reused
	ready  bool   // a whole event is known to be in the reader's buffer
}

// Events returns the answer's events. The caller must call Release.
func (ans *Answer) Events() *EventReader {
	r := readers.Get().(*bufio.Reader)
	r.Reset(ans.body)
	return &EventReader{answer: ans, reader: r, watch: ans.watch(), limit: ans.client.options.MaxEventBytes}
}

// Release gives the buffers back. The events must not be used after it.
func (e *EventReader) Release() {
	e.watch.stop()
	e.reader.Reset(nil)
	readers.Put(e.reader)
	e.reader = nil
}

// Ready tells whether Next would return an event without waiting, so that a
// relay can leave flushing until there is nothing more to add.
func (e *EventReader) Ready() bool {
	if !e.ready {
		buffered, _ := e.reader.Peek(e.reader.Buffered())
		e.ready = bytes.Contains(buffered, eventEnd)
	}
	return e.ready
}

// Next returns the next event. An error is an *Error; a stream that ends
// without its end marker is ErrCut, never a silent end.
func (e *EventReader) Next() (Event, error) {
	if !e.Ready() {
		e.watch.begin()
		defer e.watch.end()
	}
	e.ready = false
	e.data = e.data[:0]
	index, hasData := NoIndex, false
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, e.answer.UnusableError(e.cause(err))
		}
		if len(line) == 0 {
			if !hasData {
				index = NoIndex
				continue
			}
			return e.event(index)
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

func (e *EventReader) event(index int64) (Event, error) {
	switch {
	case bytes.Equal(e.data, endMarker):
		return Event{Kind: EventEnd, Index: index}, nil
	case bytes.HasPrefix(e.data, faultPrefix):
		return Event{}, e.answer.UnusableError(ErrEndpointFault)
	case len(e.data) == 0 || e.data[0] != '{' || e.data[len(e.data)-1] != '}':
		// A token is a JSON object. Anything else, such as half an object
		// before a crash, must not reach the caller as part of the answer.
		return Event{}, e.answer.UnusableError(ErrMalformed)
	}
	return Event{Kind: EventToken, Index: index, Data: e.data}, nil
}

func (e *EventReader) cause(err error) error {
	switch {
	case errors.Is(err, ErrTooLarge):
		return err
	case errors.Is(err, io.EOF):
		return ErrTruncated
	default:
		return e.answer.cause(err)
	}
}

// readLine returns the next line without its end, valid until the next call.
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

// readLongLine gathers a line that does not fit the reader's buffer, up to the
// limit, so that an endpoint that never ends its line cannot fill the memory.
func (e *EventReader) readLongLine(head []byte) ([]byte, error) {
	e.line = append(e.line[:0], head...)
	for {
		part, err := e.reader.ReadSlice('\n')
		e.line = append(e.line, part...)
		if len(e.line) > e.limit {
			return nil, ErrTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.line, err
		}
	}
}

// splitField parts a line into its field name and value. A comment line has an
// empty name.
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
