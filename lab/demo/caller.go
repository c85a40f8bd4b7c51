package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/merlindock/merlindock/lab/world"
)

// prompt is one request of the demo's workload.
type prompt struct {
	organisation int
	levels       []string // messages, from the preamble to the question
	seed         int      // makes its answer unique
	tokens       int      // to generate
}

// reply is the answer that a caller received.
type reply struct {
	status     int
	header     http.Header
	tokens     []string
	complete   bool // whether the end marker was received
	firstToken time.Duration
	body       string // of an error, or of a call to a plain service
}

// text returns the concatenated tokens.
func (r *reply) text() string { return strings.Join(r.tokens, "") }

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Seed      int           `json:"seed"`
	Messages  []chatMessage `json:"messages"`
}

func (p *prompt) body() []byte {
	b := chatBody{Model: world.Model, Stream: true, MaxTokens: p.tokens, Seed: p.seed}
	for i, level := range p.levels {
		role := "system"
		if i == len(p.levels)-1 {
			role = "user"
		}
		b.Messages = append(b.Messages, chatMessage{Role: role, Content: level})
	}
	text, err := json.Marshal(b)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return text
}

// sendPrompt sends the prompt to a gateway and reads the answer to its end.
func sendPrompt(ctx context.Context, baseURL string, p *prompt) (*reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/chat/completions", bytes.NewReader(p.body()))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+world.APIKey(p.organisation))
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	r := &reply{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		text, err := io.ReadAll(resp.Body)
		r.body = string(text)
		return r, err
	}
	return r, r.read(resp.Body, began)
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (r *reply) read(body io.Reader, began time.Time) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.complete = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return fmt.Errorf("demo: event %q: %w", data, err)
		}
		if len(c.Choices) == 0 {
			r.body = data
			continue
		}
		if len(r.tokens) == 0 {
			r.firstToken = time.Since(began)
		}
		r.tokens = append(r.tokens, c.Choices[0].Delta.Content)
	}
	return lines.Err()
}

// book calls the plain service with an idempotency key, or without one if key is
// empty.
func book(ctx context.Context, baseURL, key, slot string) (*reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+world.ServicePath+"slots", strings.NewReader(slot))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+world.APIKey(0))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return &reply{status: resp.StatusCode, header: resp.Header, body: string(text)}, err
}
