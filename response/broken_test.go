package response_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
)

// readAnswer reads the response to a request behind interim ones, with a Reader.
func readAnswer(from io.Reader) (int, string, error) {
	r := response.NewReader(from)
	r.Begin()
	for {
		resp, err := r.Next(http.MethodPost)
		if err != nil {
			return 0, "", err
		}
		if resp.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(resp.Body)
			return resp.StatusCode, string(body), errors.Join(err, resp.Body.Close())
		}
		_ = resp.Body.Close()
	}
}

// ruleOf returns the rule that an error names; empty: none.
func ruleOf(err error) string {
	var e *response.Error
	if errors.As(err, &e) && e.Bound == response.BoundSyntax {
		return string(e.Rule)
	}
	return ""
}

// Guards against a broken answer that one of the readers accepts, and against two readers that
// go by different rules.
func TestReadersRejectBrokenAnswers(t *testing.T) {
	for _, a := range responsetest.BrokenAnswers("Sum: 1\r\n") {
		for pieces, from := range map[string]io.Reader{"whole": strings.NewReader(a.Text), "bytes": iotest.OneByteReader(strings.NewReader(a.Text))} {
			if status, body, err := readAnswer(from); ruleOf(err) != a.Rule {
				t.Errorf("%s, Reader, %s: status %d, body %q, %v, want rule %s", a.Name, pieces, status, body, err, a.Rule)
			}
		}
		transport := response.NewTransport(&http.Transport{}, response.MaxControlHeadBytes)
		if body, err := post(t, transport, responsetest.Answering(t, a.Text)); ruleOf(err) != a.Rule {
			t.Errorf("%s, Transport: body %q, %v, want rule %s", a.Name, body, err, a.Rule)
		}
		transport.CloseIdleConnections()
	}
}

// Guards against a sound answer that one of the readers rejects, since it is unusual.
func TestReadersAcceptUnusualAnswers(t *testing.T) {
	for _, a := range responsetest.SoundAnswers("Sum: 1\r\n") {
		if status, body, err := readAnswer(iotest.OneByteReader(strings.NewReader(a.Text))); body != "ok" || err != nil {
			t.Errorf("%s, Reader: status %d, body %q, %v", a.Name, status, body, err)
		}
		transport := response.NewTransport(&http.Transport{}, response.MaxControlHeadBytes)
		if body, err := post(t, transport, responsetest.Answering(t, a.Text)); body != "ok" || err != nil {
			t.Errorf("%s, Transport: body %q, %v", a.Name, body, err)
		}
		transport.CloseIdleConnections()
	}
}

func BenchmarkHead(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 05:00:00 GMT\r\nAttempt-Id: 0123456789abcdef\r\n" +
		"Keep-Alive: timeout=5\r\nLoad: 3\r\nContent-Length: 2\r\n\r\nok"
	r := response.NewReader(&repeatingReader{text: text})
	b.ReportAllocs()
	for b.Loop() {
		r.Begin()
		resp, err := r.Next(http.MethodPost)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

// repeatingReader yields a text again and again, once a Read.
type repeatingReader struct{ text string }

func (r *repeatingReader) Read(b []byte) (int, error) { return copy(b, r.text), nil }
