package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const readBufferBytes = 4 << 10

var (
	dataField = []byte("data: ")
	doneEvent = []byte("data: [DONE]")
	codeField = []byte(`"code":"`)
	errorData = []byte(`data: {"error"`)
)

// Failures that the load generator detects. Other failures have the error code of
// the answer.
const (
	failureNoAnswer = "no_answer" // the connection failed, or an error had no code
	failureCut      = "cut"       // the stream ended without its end marker
)

// caller makes one request at a time. Its fields describe the last request.
type caller struct {
	o      *Options
	reader *bufio.Reader

	firstToken time.Duration // from the start to the first token
	total      time.Duration
	gaps       []time.Duration // between tokens that arrived in separate reads
	tokens     int
	bytes      int
	failure    string // a failure or error code; empty on success
}

func newCaller(o *Options) *caller {
	return &caller{o: o, reader: bufio.NewReaderSize(nil, readBufferBytes)}
}

// run makes one request, reads its answer to the end and sets the fields.
func (c *caller) run(ctx context.Context, body string) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	c.firstToken, c.tokens, c.bytes, c.failure, c.gaps = 0, 0, 0, "", c.gaps[:0]
	began := time.Now()
	c.failure = c.exchange(ctx, body, began)
	c.total = time.Since(began)
}

func (c *caller) exchange(ctx context.Context, body string, began time.Time) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.o.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return failureNoAnswer
	}
	req.Header.Set("Content-Type", "application/json")
	if c.o.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.o.Key)
	}
	if c.o.Priority != "" {
		req.Header.Set("Merlin-Priority", c.o.Priority)
	}
	resp, err := c.o.Client.Do(req)
	if err != nil {
		return failureNoAnswer
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, readBufferBytes))
		return errorCode(text)
	}
	c.reader.Reset(resp.Body)
	return c.read(began)
}

// read reads the answer's events up to the end marker, and returns a failure, the
// code of an error event, or "".
func (c *caller) read(began time.Time) string {
	last := began
	waited := false // for a line since the last token, such as the line with the event's ID
	for {
		waited = waited || c.reader.Buffered() == 0
		line, err := c.reader.ReadSlice('\n')
		c.bytes += len(line)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return failureCut
		}
		line = bytes.TrimSpace(line)
		switch {
		case bytes.Equal(line, doneEvent):
			// The connection is reused only if its answer was read to the end.
			_, _ = io.Copy(io.Discard, c.reader)
			return ""
		case bytes.HasPrefix(line, errorData):
			return errorCode(line)
		case !bytes.HasPrefix(line, dataField):
			continue
		}
		now := time.Now()
		if c.tokens == 0 {
			c.firstToken = now.Sub(began)
		} else if waited {
			c.gaps = append(c.gaps, now.Sub(last))
		}
		last, waited = now, false
		c.tokens++
	}
}

// errorCode returns the error code in the JSON of an error, or failureNoAnswer if
// there is none.
func errorCode(text []byte) string {
	_, rest, ok := bytes.Cut(text, codeField)
	if !ok {
		return failureNoAnswer
	}
	code, _, _ := bytes.Cut(rest, []byte{'"'})
	return string(code)
}
