package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// Estimates of work where the request or the manifest gives no figure.
const (
	defaultMaxTokens     = 512
	maxMaxTokens         = 1 << 20
	maxFields            = 64 // of a request's object
	defaultBytesPerToken = 4.0
)

// modelRequest is what the gateway reads of a model request's body. The body
// itself goes to the endpoint as it is, but for the seed.
type modelRequest struct {
	Model               string
	Stream              bool
	MaxTokens           int
	MaxCompletionTokens int
	Priority            string
	DeadlineMs          int64
	Seed                *int64

	prompt []byte // part of the body: the messages, or the prompt
	ends   []int  // of each message in prompt, or of the whole prompt
	chat   bool   // messages are there
	object int    // where the object begins in the body
}

// field returns where the value of a field goes, nil for one that is not read.
func (m *modelRequest) field(name string) any {
	switch name {
	case "model":
		return &m.Model
	case "stream":
		return &m.Stream
	case "max_tokens":
		return &m.MaxTokens
	case "max_completion_tokens":
		return &m.MaxCompletionTokens
	case "priority":
		return &m.Priority
	case "deadline_ms":
		return &m.DeadlineMs
	case "seed":
		return &m.Seed
	case fieldMessages, fieldPrompt:
		return &m.prompt
	default:
		return nil
	}
}

const (
	fieldMessages = "messages"
	fieldPrompt   = "prompt"
)

// decode reads an object whose fields are unlike each other, also when case is
// not looked at. The messages are not copied: a prompt may be hundreds of
// kilobytes, and is looked through once.
//
// Decoders differ in which of two fields "model", or of "model" and "Model",
// they take. The gateway would check the organisation's right to one and the
// endpoint would serve the other: another organisation's adapter. The decoder
// refuses the first, and the look at the folded name the second.
func (m *modelRequest) decode(body []byte) error {
	// The decoder reads from a bytes.Buffer in place.
	d := jsontext.NewDecoder(bytes.NewBuffer(body))
	t, err := d.ReadToken()
	if err != nil || t.Kind() != jsontext.KindBeginObject {
		return errors.Join(errNoObject, err)
	}
	m.object = int(d.InputOffset()) - 1
	for fields := 0; d.PeekKind() == jsontext.KindString; fields++ {
		t, err := d.ReadToken()
		if err != nil {
			return err
		}
		if err := m.decodeField(d, body, t.String()); err != nil {
			return err
		}
		if fields == maxFields {
			return errManyFields
		}
	}
	if _, err := d.ReadToken(); err != nil {
		return err
	}
	if _, err := d.ReadToken(); !errors.Is(err, io.EOF) {
		return errors.Join(errNoObject, err)
	}
	return nil
}

func (m *modelRequest) decodeField(d *jsontext.Decoder, body []byte, name string) error {
	target := m.field(name)
	if target == nil && m.field(strings.ToLower(name)) != nil {
		return fmt.Errorf("field %q must be written %q", name, strings.ToLower(name))
	}
	if name == fieldMessages && d.PeekKind() == jsontext.KindBeginArray {
		return m.decodeMessages(d, body)
	}
	value, err := d.ReadValue()
	switch {
	case err != nil || target == nil || value.Kind() == jsontext.KindNull:
		return err
	case name == fieldMessages:
		return errNoMessages
	case name == fieldPrompt:
		end := int(d.InputOffset())
		m.prompt, m.ends = body[end-len(value):end], []int{len(value)}
		return nil
	}
	if err := json.Unmarshal(value, target); err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}

// decodeMessages notes where each message ends. Two requests that share their
// first messages share the bytes up to that end.
func (m *modelRequest) decodeMessages(d *jsontext.Decoder, body []byte) error {
	if _, err := d.ReadToken(); err != nil {
		return err
	}
	m.chat = true
	begin := int(d.InputOffset())
	for d.PeekKind() == jsontext.KindBeginObject {
		if err := d.SkipValue(); err != nil {
			return err
		}
		m.ends = append(m.ends, int(d.InputOffset())-begin)
	}
	m.prompt = body[begin:d.InputOffset()]
	if t, err := d.ReadToken(); err != nil || t.Kind() != jsontext.KindEndArray {
		return errors.Join(errNoMessages, err)
	}
	return nil
}

// parse reads the body and the headers, of which the headers count first.
func (c *call) parse(chat bool) (*modelRequest, *Refusal) {
	m := new(modelRequest)
	if err := m.decode(c.body); err != nil {
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "the body is not the JSON expected: %v", err)
	}
	switch {
	case m.Model == "":
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "field model is missing")
	case chat && (!m.chat || len(m.ends) == 0):
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "field messages is missing or empty")
	case !chat && (m.chat || len(m.ends) == 0):
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "field prompt is missing")
	case m.MaxTokens < 0 || m.MaxTokens > maxMaxTokens || m.MaxCompletionTokens < 0 || m.MaxCompletionTokens > maxMaxTokens:
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "field max_tokens must be from 0 to %d", maxMaxTokens)
	}
	if p := c.r.Header.Get(HeaderPriority); p != "" {
		m.Priority = p
	}
	ms, err := c.deadlineHeader()
	if err != nil || m.DeadlineMs < 0 {
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "%s must be a number of milliseconds above 0", HeaderDeadline)
	}
	if ms > 0 {
		m.DeadlineMs = ms
	}
	return m, nil
}

// Causes why a body is not read.
var (
	errNoObject   = errors.New("it must be one JSON object")
	errManyFields = errors.New("it has too many fields")
	errNoMessages = errors.New("field messages must be an array of objects")
)

var errDeadline = errors.New("gateway: deadline is not a number of milliseconds above 0")

// deadlineHeader returns the milliseconds the caller will wait, 0 if it does
// not say.
func (c *call) deadlineHeader() (int64, error) {
	text := c.r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errDeadline
	}
	return ms, nil
}

// milliseconds converts a deadline, of which overlong ones count as the longest
// the limits know.
func milliseconds(ms int64) time.Duration {
	const longest = int64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(ms, longest)) * time.Millisecond
}

// outputTokens returns how many tokens the request may generate.
func (m *modelRequest) outputTokens() int {
	if n := max(m.MaxTokens, m.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultMaxTokens
}

func estimateTokens(size int, bytesPerToken float64) int {
	if bytesPerToken <= 0 {
		bytesPerToken = defaultBytesPerToken
	}
	return int(float64(size)/bytesPerToken) + 1
}

// seedBytes is the most that addSeed puts in front of a body.
const seedBytes = len(`{"seed":4294967295,`)

// addSeed gives the body a seed for sampling.
//
// A stream that is resumed on another runner is generated anew from its prompt
// up to the resume position. Without a common seed the two runners sample
// different texts, and the caller would get two halves that do not belong
// together, with nothing to show it.
func (c *call) addSeed(m *modelRequest, seed uint32) {
	var field [seedBytes]byte
	f := append(field[:0], `{"seed":`...)
	f = strconv.AppendUint(f, uint64(seed), 10)
	f = append(f, ',')
	// The body was read with room in front, so that it need not be copied: the
	// field ends where the object's first brace was.
	begin := seedBytes + m.object + 1 - len(f)
	copy(c.buffer[begin:], f)
	c.body = c.buffer[begin:]
}
