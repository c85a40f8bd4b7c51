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

// Bounds of a model request, and estimates for values that neither the request
// nor the manifest gives.
const (
	defaultOutputTokens  = 512
	maxOutputTokens      = 1 << 20
	maxBodyFields        = 64 // of the JSON object
	defaultBytesPerToken = 4.0
)

// modelRequest holds the fields that the gateway reads from the body of a model
// request. The body is sent to the endpoint unchanged except for an added seed.
type modelRequest struct {
	Model               string
	Stream              bool
	MaxTokens           int
	MaxCompletionTokens int
	Priority            string
	DeadlineMs          int64
	Seed                *int64

	prompt      []byte // slice of the body: the messages, or the prompt
	levelEnds   []int  // end offsets in prompt: of each message, or of the complete prompt
	hasMessages bool   // the field messages is present
	objectStart int    // offset of the opening brace in the body
}

// fieldTarget returns the destination for a field's value, nil if the field is not
// read.
func (m *modelRequest) fieldTarget(name string) any {
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

// decode reads the body, one JSON object. It scans the prompt once and does not
// copy it, since it may be hundreds of kilobytes long.
//
// Field names that are equal, or equal but for case, are refused. JSON decoders
// differ in which of two fields "model", or of "model" and "Model", they take:
// the gateway could check the organisation's permission for one value while the
// endpoint serves the other, such as another organisation's adapter. The JSON
// decoder refuses duplicates, and decodeField refuses other spellings.
func (m *modelRequest) decode(body []byte) error {
	// jsontext reads a bytes.Buffer without copying it.
	d := jsontext.NewDecoder(bytes.NewBuffer(body))
	t, err := d.ReadToken()
	if err != nil || t.Kind() != jsontext.KindBeginObject {
		return errors.Join(errNotOneObject, err)
	}
	m.objectStart = int(d.InputOffset()) - 1
	for fields := 0; d.PeekKind() == jsontext.KindString; fields++ {
		t, err := d.ReadToken()
		if err != nil {
			return err
		}
		if err := m.decodeField(d, body, t.String()); err != nil {
			return err
		}
		if fields == maxBodyFields {
			return errTooManyFields
		}
	}
	if _, err := d.ReadToken(); err != nil {
		return err
	}
	if _, err := d.ReadToken(); !errors.Is(err, io.EOF) {
		return errors.Join(errNotOneObject, err)
	}
	return nil
}

func (m *modelRequest) decodeField(d *jsontext.Decoder, body []byte, name string) error {
	target := m.fieldTarget(name)
	if target == nil && m.fieldTarget(strings.ToLower(name)) != nil {
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
		return errMessagesType
	case name == fieldPrompt:
		end := int(d.InputOffset())
		m.prompt, m.levelEnds = body[end-len(value):end], []int{len(value)}
		return nil
	}
	if err := json.Unmarshal(value, target); err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}

// decodeMessages records the end offset of each message. Requests with the same
// first messages have the same bytes up to that offset.
func (m *modelRequest) decodeMessages(d *jsontext.Decoder, body []byte) error {
	if _, err := d.ReadToken(); err != nil {
		return err
	}
	m.hasMessages = true
	begin := int(d.InputOffset())
	for d.PeekKind() == jsontext.KindBeginObject {
		if err := d.SkipValue(); err != nil {
			return err
		}
		m.levelEnds = append(m.levelEnds, int(d.InputOffset())-begin)
	}
	m.prompt = body[begin:d.InputOffset()]
	if t, err := d.ReadToken(); err != nil || t.Kind() != jsontext.KindEndArray {
		return errors.Join(errMessagesType, err)
	}
	return nil
}

// parseModelRequest decodes and validates the body. Priority and deadline in headers
// override the fields of the body.
func (c *call) parseModelRequest(chat bool) (*modelRequest, *Refusal) {
	m := new(modelRequest)
	if err := m.decode(c.body); err != nil {
		return nil, refusedf(http.StatusBadRequest, CodeInvalidRequest, "the body is not the JSON expected: %v", err)
	}
	switch {
	case m.Model == "":
		return nil, refusedf(http.StatusBadRequest, CodeInvalidRequest, "field model is missing")
	case chat && (!m.hasMessages || len(m.levelEnds) == 0):
		return nil, refusedf(http.StatusBadRequest, CodeInvalidRequest, "field messages is missing or empty")
	case !chat && (m.hasMessages || len(m.levelEnds) == 0):
		return nil, refusedf(http.StatusBadRequest, CodeInvalidRequest, "field prompt is missing")
	case m.MaxTokens < 0 || m.MaxTokens > maxOutputTokens || m.MaxCompletionTokens < 0 || m.MaxCompletionTokens > maxOutputTokens:
		return nil, refusedf(http.StatusBadRequest, CodeInvalidRequest, "field max_tokens must be from 0 to %d", maxOutputTokens)
	}
	if p := c.r.Header.Get(HeaderPriority); p != "" {
		m.Priority = p
	}
	ms, err := c.deadlineHeader()
	if err != nil || m.DeadlineMs < 0 {
		return nil, refusedf(http.StatusBadRequest, CodeInvalidRequest, "%s must be a number of milliseconds above 0", HeaderDeadline)
	}
	if ms > 0 {
		m.DeadlineMs = ms
	}
	return m, nil
}

// Errors of decoding a body.
var (
	errNotOneObject  = errors.New("it must be one JSON object")
	errTooManyFields = errors.New("it has too many fields")
	errMessagesType  = errors.New("field messages must be an array of objects")
)

var errDeadline = errors.New("gateway: deadline is not a number of milliseconds above 0")

// deadlineHeader returns the value of HeaderDeadline in milliseconds, 0 if the
// header is missing.
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

// milliseconds converts a deadline, capped at 24 hours so that it cannot
// overflow a Duration.
func milliseconds(ms int64) time.Duration {
	const maxMilliseconds = int64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond
}

// outputTokens returns the maximum number of tokens to generate.
func (m *modelRequest) outputTokens() int {
	if n := max(m.MaxTokens, m.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultOutputTokens
}

func estimateTokens(size int, bytesPerToken float64) int {
	if bytesPerToken <= 0 {
		bytesPerToken = defaultBytesPerToken
	}
	return int(float64(size)/bytesPerToken) + 1
}

// maxSeedFieldBytes is the maximum length that addSeed adds to a body.
const maxSeedFieldBytes = len(`{"seed":4294967295,`)

// addSeed adds a sampling seed to the body.
//
// A runner that resumes a stream generates it again from the prompt up to the
// resume position. Without a common seed the two runners would sample different
// texts, and the caller would get two parts that do not fit together, without
// noticing it.
func (c *call) addSeed(m *modelRequest, seed uint32) {
	var field [maxSeedFieldBytes]byte
	f := append(field[:0], `{"seed":`...)
	f = strconv.AppendUint(f, uint64(seed), 10)
	f = append(f, ',')
	// The buffer has free space before the body, so the body need not be copied:
	// the new field ends where the opening brace was.
	begin := maxSeedFieldBytes + m.objectStart + 1 - len(f)
	copy(c.bodyBuffer[begin:], f)
	c.body = c.bodyBuffer[begin:]
}
