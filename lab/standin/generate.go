package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/engine"

	"github.com/merlindock/merlindock/internal/pause"
)

// contentWord returns the word that every token of an answer contains. It is a
// hash of the prompt, the weight version and the seed, so that two runners with
// the same weights generate the same answer to the same request, and a test
// detects an answer that belongs to another request.
func contentWord(prompt []byte, version string, seed int64) string {
	d := xxhash.New()
	_, _ = d.Write(prompt)
	_, _ = d.WriteString("|" + version + "|" + strconv.FormatInt(seed, 10))
	return fmt.Sprintf("%08x", uint32(d.Sum64()))
}

// Token returns the text of the token with the given index, from 0, in an answer
// with the given content word.
func Token(word string, index int) string {
	return word + "." + strconv.Itoa(index) + " "
}

// streamTokens sends the tokens as server-sent events and injects the request's
// fault.
func (j *job) streamTokens() {
	j.w.Header().Set("Content-Type", "text/event-stream")
	j.w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(j.w)
	var frame []byte
	for i := j.first; i <= j.last; i++ {
		if pause.For(j.ctx, j.r.o.Decode) != nil {
			j.abort()
		}
		if j.fault.dueAt(i - j.first) {
			j.failMidStream(i)
		}
		if j.fault.Kind == FaultSkippedToken && i-j.first == j.fault.After {
			continue
		}
		frame = j.appendToken(frame[:0], i)
		if _, err := j.w.Write(frame); err != nil {
			j.abort()
		}
		if err := rc.Flush(); err != nil {
			j.abort()
		}
		j.countGenerated(1)
	}
	if j.fault.Kind == FaultBeforeEnd {
		panic(http.ErrAbortHandler)
	}
	if j.fault.Kind == FaultMissingEndMarker {
		return
	}
	end := "data: [DONE]\n\n"
	if !j.r.o.Plain {
		end = "id: " + strconv.Itoa(j.last+1) + "\n" + end
	}
	_, _ = io.WriteString(j.w, end)
}

// abort drops the connection after the caller disconnected or the runner crashed.
func (j *job) abort() {
	if j.req.Context().Err() != nil {
		j.r.countCancelled()
	}
	panic(http.ErrAbortHandler)
}

func (j *job) appendToken(b []byte, i int) []byte {
	if !j.r.o.Plain {
		b = append(b, "id: "...)
		b = strconv.AppendInt(b, int64(i), 10)
		b = append(b, '\n')
	}
	b = append(b, `data: {"id":"cmpl-`...)
	b = append(b, j.word...)
	b = append(b, `","object":"chat.completion.chunk","model":"`...)
	b = append(b, j.body.Model...)
	b = append(b, `","choices":[{"index":0,"delta":{"content":"`...)
	b = append(b, j.word...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, ` "},"finish_reason":`...)
	if i == j.last {
		b = append(b, `"stop"`...)
	} else {
		b = append(b, `null`...)
	}
	return append(b, "}]}\n\n"...)
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// sendCompletion sends all tokens in one JSON object.
func (j *job) sendCompletion() {
	var text strings.Builder
	for i := 0; i <= j.last; i++ {
		if pause.For(j.ctx, j.r.o.Decode) != nil {
			j.abort()
		}
		text.WriteString(Token(j.word, i))
	}
	j.countGenerated(j.last + 1)
	prompt := len(j.prompt)/j.r.o.BytesPerToken + 1
	body, _ := json.Marshal(completion{
		ID:     "cmpl-" + j.word,
		Object: "chat.completion",
		Model:  j.body.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: text.String()},
			FinishReason: "stop",
		}},
		Usage: usage{PromptTokens: prompt, CompletionTokens: j.last + 1, TotalTokens: prompt + j.last + 1},
	})
	j.w.Header().Set("Content-Type", "application/json")
	if j.fault.Kind == FaultAfterRun {
		panic(http.ErrAbortHandler)
	}
	if j.fault.Kind == FaultContentLength {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(body)+excessContentLength))
	}
	_, _ = j.w.Write(body)
}

func (j *job) countGenerated(tokens int) {
	j.r.mu.Lock()
	defer j.r.mu.Unlock()
	j.r.stats.GeneratedTokens += tokens
}

// pieceKeys returns the keys of the prompt's complete pieces. Each key depends on all
// pieces up to its own, and on the organisation, model, adapter and weight version,
// which share no cache entries with others.
func (j *job) pieceKeys() []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(j.req.Header.Get(engine.HeaderOrganisation) + "|" + j.body.Model + "|")
	_, _ = d.WriteString(j.req.Header.Get(engine.HeaderAdapter) + "|" + j.version + "|")
	size := j.r.o.PieceTokens * j.r.o.BytesPerToken
	keys := make([]uint64, 0, len(j.prompt)/size)
	for at := 0; at+size <= len(j.prompt); at += size {
		_, _ = d.Write(j.prompt[at : at+size])
		keys = append(keys, d.Sum64())
	}
	return keys
}
