// Package trace reads and writes traces of requests as JSON Lines, and generates
// synthetic traces of the two workloads that merlindock is built for. docs/TRACES.md
// specifies the format.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/prefix"
)

// Format and limits of trace files.
const (
	Format       = "merlindock-trace"
	Version      = 1
	MaxLine      = 1 << 20 // bytes of one line
	MaxRequests  = 1 << 20 // of one trace
	MaxPartCount = 64      // parts of one prompt
)

// ErrFormat is the error for a file that is not a trace, or a line that is not a
// valid request.
var ErrFormat = errors.New("trace: malformed")

// Header is the first line of a trace.
type Header struct {
	Format        string         `json:"format"`
	Version       int            `json:"version"`
	Name          string         `json:"name"`
	Synthetic     bool           `json:"synthetic"`
	Seed          uint64         `json:"seed,omitempty"` // of the generator
	PieceTokens   int            `json:"piece_tokens"`
	Fleet         Fleet          `json:"fleet"`
	Organisations []Organisation `json:"organisations"`
}

// Fleet describes the fleet that the trace was recorded or generated for.
type Fleet struct {
	Runners     int     `json:"runners"`
	Zones       int     `json:"zones"`
	Daemons     int     `json:"daemons"`
	PrefillRate float64 `json:"prefill_rate"` // tokens/s of one runner
	TokenMS     float64 `json:"token_ms"`     // between two generated tokens
	Slots       int     `json:"slots"`        // requests in one batch
	CacheTokens int     `json:"cache_tokens"` // capacity of one runner's cache
	StoreTokens int     `json:"store_tokens"` // capacity of the KV store; 0: none
}

// Organisation is an organisation's ID and its share of the fleet.
type Organisation struct {
	ID    contract.OrganisationID `json:"id"`
	Share float64                 `json:"share"` // the shares sum to 1
}

// Part is one message of a prompt. Parts with equal IDs have equal text.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"t"`
}

// Request is one request, encoded as one line after the header.
type Request struct {
	AtMS         float64                 `json:"ms"` // since the beginning of the trace
	Organisation contract.OrganisationID `json:"org"`
	Model        string                  `json:"model"`
	Adapter      string                  `json:"adapter,omitempty"`
	Priority     string                  `json:"pri"`
	Parts        []Part                  `json:"parts"`
	Output       int                     `json:"out"` // tokens generated
}

// Trace is a header and its requests in the order of arrival.
type Trace struct {
	Header   Header
	Requests []Request
}

// Tokens returns the length of the prompt in tokens.
func (r *Request) Tokens() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// Levels returns the prefix levels of the prompt, computed by the splitter that the
// daemon uses too. The text of a part is derived from its ID, with one byte for each
// token.
func (r *Request) Levels(c *prefix.Splitter) []prefix.Level {
	c.Reset(prefix.Seed{Organisation: r.Organisation, Model: r.Model, Version: "1", Adapter: r.Adapter})
	var text [4096]byte
	for _, p := range r.Parts {
		n := copy(text[:], p.ID)
		clear(text[n:])
		for left := p.Tokens; left > 0; left -= len(text) {
			c.Write(text[:min(left, len(text))])
		}
		c.EndMessage()
	}
	return append([]prefix.Level(nil), c.Levels()...)
}

// NewSplitter returns a splitter for the trace's prompts.
func (t *Trace) NewSplitter() *prefix.Splitter {
	return prefix.NewSplitter(prefix.Options{PieceTokens: t.Header.PieceTokens, BytesPerToken: 1})
}

// Write writes the trace as JSON Lines.
func Write(w io.Writer, t *Trace) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	if err := enc.Encode(t.Header); err != nil {
		return err
	}
	for i := range t.Requests {
		if err := enc.Encode(&t.Requests[i]); err != nil {
			return err
		}
	}
	return b.Flush()
}

// Read reads a trace. Errors in the file's content match ErrFormat, and those of a
// request name its line; other errors come from the reader.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), MaxLine)
	t := &Trace{}
	if !lines.Scan() {
		return nil, errors.Join(fmt.Errorf("%w: no header", ErrFormat), lines.Err())
	}
	if err := json.Unmarshal(lines.Bytes(), &t.Header); err != nil {
		return nil, fmt.Errorf("%w: line 1: %w", ErrFormat, err)
	}
	if err := t.Header.check(); err != nil {
		return nil, err
	}
	for n := 2; lines.Scan(); n++ {
		var q Request
		if err := json.Unmarshal(lines.Bytes(), &q); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrFormat, n, err)
		}
		if err := t.add(q); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrFormat, n, err)
		}
	}
	return t, lines.Err()
}

func (h *Header) check() error {
	switch f := h.Fleet; {
	case h.Format != Format:
		return fmt.Errorf("%w: format %q, expected %q", ErrFormat, h.Format, Format)
	case h.Version != Version:
		return fmt.Errorf("%w: version %d, expected %d", ErrFormat, h.Version, Version)
	case f.Runners < 1 || f.Zones < 1 || f.Daemons < 1 || f.Slots < 1 || f.CacheTokens < 1:
		return fmt.Errorf("%w: fleet needs runners, zones, daemons, slots and cache_tokens of at least 1", ErrFormat)
	case f.PrefillRate <= 0 || f.TokenMS <= 0:
		return fmt.Errorf("%w: fleet needs prefill_rate and token_ms above 0", ErrFormat)
	}
	return nil
}

func (t *Trace) add(q Request) error {
	if len(t.Requests) == MaxRequests {
		return fmt.Errorf("more than %d requests", MaxRequests)
	}
	if len(q.Parts) == 0 || len(q.Parts) > MaxPartCount {
		return fmt.Errorf("%d parts, expected 1 to %d", len(q.Parts), MaxPartCount)
	}
	for _, p := range q.Parts {
		if p.Tokens < 1 || p.Tokens > MaxLine {
			return fmt.Errorf("part %q has %d tokens", p.ID, p.Tokens)
		}
	}
	if _, err := contract.ParsePriority(q.Priority); err != nil {
		return err
	}
	if n := len(t.Requests); n > 0 && q.AtMS < t.Requests[n-1].AtMS {
		return fmt.Errorf("arrives before the line above")
	}
	t.Requests = append(t.Requests, q)
	return nil
}
