package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
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
	Messages            []message
	Prompt              json.RawMessage
	MaxTokens           int
	MaxCompletionTokens int
	Priority            string
	DeadlineMs          int64
	Seed                *int64
}

// field returns where the value of a field goes, nil for one that is not read.
func (m *modelRequest) field(name string) any {
	switch name {
	case "model":
		return &m.Model
	case "stream":
		return &m.Stream
	case "messages":
		return &m.Messages
	case "prompt":
		return &m.Prompt
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
	default:
		return nil
	}
}

// UnmarshalJSON reads an object whose fields are unlike each other, also when
// case is not looked at.
//
// Decoders differ in which of two fields "model", or of "model" and "Model",
// they take. The gateway would check the organisation's right to one and the
// endpoint would serve the other: another organisation's adapter.
func (m *modelRequest) UnmarshalJSON(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return errNoObject
	}
	seen := make(map[string]bool, maxFields)
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		folded := strings.ToLower(name)
		if seen[folded] || len(seen) == maxFields {
			return fmt.Errorf("field %q stands twice, or there are more than %d fields", name, maxFields)
		}
		seen[folded] = true
		if err := m.decodeField(d, name); err != nil {
			return err
		}
	}
	return nil
}

func (m *modelRequest) decodeField(d *json.Decoder, name string) error {
	target := m.field(name)
	if target == nil {
		target = new(json.RawMessage)
	}
	if err := d.Decode(target); err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parse reads the body and the headers, of which the headers count first.
func (c *call) parse(chat bool) (*modelRequest, *Refusal) {
	m := new(modelRequest)
	if err := json.Unmarshal(c.body, m); err != nil {
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "the body is not the JSON expected: %v", err)
	}
	switch {
	case m.Model == "":
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "field model is missing")
	case chat && len(m.Messages) == 0:
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "field messages is missing or empty")
	case !chat && len(m.Prompt) == 0:
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

var errNoObject = errors.New("gateway: body is not a JSON object")

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

// levels returns the prompt's text, and where each of its levels ends: one per
// message, or the whole prompt. Two requests that share their first messages
// share the bytes up to that level's end.
func (m *modelRequest) levels() (prompt []byte, ends []int) {
	if len(m.Messages) == 0 {
		return m.Prompt, []int{len(m.Prompt)}
	}
	size := 0
	for i := range m.Messages {
		size += len(m.Messages[i].Role) + len(m.Messages[i].Content) + 2
	}
	prompt = make([]byte, 0, size)
	ends = make([]int, 0, len(m.Messages))
	for i := range m.Messages {
		msg := &m.Messages[i]
		prompt = append(prompt, msg.Role...)
		prompt = append(prompt, '\n')
		prompt = append(prompt, msg.Content...)
		prompt = append(prompt, '\n')
		ends = append(ends, len(prompt))
	}
	return prompt, ends
}

func estimateTokens(size int, bytesPerToken float64) int {
	if bytesPerToken <= 0 {
		bytesPerToken = defaultBytesPerToken
	}
	return int(float64(size)/bytesPerToken) + 1
}

// withSeed returns the body with a seed for sampling added to it.
//
// A stream that is resumed on another runner is generated anew from its prompt
// up to the resume position. Without a common seed the two runners sample
// different texts, and the caller would get two halves that do not belong
// together, with nothing to show it.
func withSeed(body []byte, seed uint32) []byte {
	open := bytes.IndexByte(body, '{') + 1
	out := make([]byte, 0, len(body)+len(`"seed":4294967295,`))
	out = append(out, body[:open]...)
	out = append(out, `"seed":`...)
	out = strconv.AppendUint(out, uint64(seed), 10)
	out = append(out, ',')
	return append(out, body[open:]...)
}
