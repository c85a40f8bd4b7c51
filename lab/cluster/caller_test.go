package cluster

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/ports"
)

// withCluster runs a test in virtual time on a new cluster. On every node, a manifest
// with weight version v1 is in force.
func withCluster(t *testing.T, o Options, test func(t *testing.T, c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.publish(t, 0, "v1")
		for i := range c.Nodes {
			c.waitReady(t, i, 5*time.Second)
		}
		test(t, c)
	})
}

func (c *Cluster) publish(t *testing.T, base ports.Offset, version string) {
	t.Helper()
	r, err := c.Publish(t.Context(), 0, base, c.Manifest(version))
	if err != nil || r.Outcome != "accepted" {
		t.Fatalf("publication: %+v, %v", r, err)
	}
}

// waitReady waits until the node is ready and returns how long that took. It fails
// the test if the node is not ready within the given time.
func (c *Cluster) waitReady(t *testing.T, i int, within time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for !c.Ready(i) {
		if time.Since(began) > within {
			t.Fatalf("%s is not ready after %s", c.Nodes[i].ID, within)
		}
		time.Sleep(50 * time.Millisecond) // virtual
	}
	return time.Since(began)
}

// answer is the answer that a caller received.
type answer struct {
	status    int
	outcome   gateway.Outcome
	header    http.Header
	body      string
	tokens    []string
	endMarker bool
}

// post sends a request to a node and reads the complete answer. The headers are names
// and values in turn.
func (c *Cluster) post(t *testing.T, node int, path, body string, header ...string) *answer {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, c.Nodes[node].URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return &answer{body: err.Error()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := &answer{
		status:  resp.StatusCode,
		outcome: gateway.Outcome(resp.Header.Get(gateway.HeaderOutcome)),
		header:  resp.Header,
		body:    string(text),
	}
	if err != nil {
		a.body += " " + err.Error()
	}
	return a
}

// ask sends a streaming request with a fixed preamble and the given question.
func (c *Cluster) ask(t *testing.T, node int, question string, tokens int) *answer {
	t.Helper()
	return c.askOn(t, node, strings.Repeat("preamble ", 20), question, tokens)
}

// askOn sends a streaming request with the given document and question.
func (c *Cluster) askOn(t *testing.T, node int, document, question string, tokens int) *answer {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"seed":1,"max_tokens":%d,"messages":[`+
		`{"role":"system","content":%q},{"role":"user","content":%q}]}`,
		Model, tokens, document, question)
	a := c.post(t, node, "/v1/chat/completions", body)
	for line := range strings.SplitSeq(a.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.endMarker = true
			continue
		}
		_, rest, ok := strings.Cut(data, `"delta":{"content":"`)
		if !ok {
			continue
		}
		token, _, _ := strings.Cut(rest, `"`)
		a.tokens = append(a.tokens, token)
	}
	return a
}

// isComplete reports whether the answer is one complete stream: all tokens have the
// same content word, each index occurs once and in order, and the end marker follows.
func (a *answer) isComplete(tokens int) bool {
	if a.status != http.StatusOK || !a.endMarker || len(a.tokens) != tokens {
		return false
	}
	word, _, _ := strings.Cut(a.tokens[0], ".")
	for i, token := range a.tokens {
		if token != fmt.Sprintf("%s.%d ", word, i) {
			return false
		}
	}
	return true
}

func (a *answer) String() string {
	return fmt.Sprintf("status %d, outcome %q, %d tokens, ended %v: %.200s", a.status, a.outcome, len(a.tokens), a.endMarker, a.body)
}
