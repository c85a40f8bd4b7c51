package response_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
)

// readAnswer reads the response to a request behind interim ones, with a Reader.
func readAnswer(from io.Reader) (int, string, error) {
	r := response.NewReader(from)
	r.Begin(nil)
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

// Guards against a body that is taken for whole although its trailer is broken.
func TestReadersRejectBrokenTrailers(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for _, trailer := range []string{"a b: c", "a : b", "a(b): c", "a\x01: b", "a: \x00", "ab", "a: b", ""} {
		text := chunks + trailer + "\r\n\r\n"
		if trailer == "" {
			text = chunks + "\r\n"
		}
		sound := trailer == "" || trailer == "a: b"
		if _, body, err := readAnswer(strings.NewReader(text)); (err == nil) != sound || sound && body != "ok" {
			t.Errorf("%q, Reader: body %q, %v", trailer, body, err)
		}
		transport := response.NewTransport(&http.Transport{}, response.MaxControlHeadBytes)
		if body, err := post(t, transport, responsetest.Answering(t, text)); (err == nil) != sound || sound && body != "ok" {
			t.Errorf("%q, Transport: body %q, %v", trailer, body, err)
		}
		transport.CloseIdleConnections()
	}
}

// upload sends a request with a body of the given size, and reads the response. A stated length
// is known before the body is read.
func upload(t *testing.T, address string, bytes int, stated bool) (string, error) {
	t.Helper()
	dialer := net.Dialer{}
	transport := response.NewTransport(&http.Transport{DialContext: dialer.DialContext}, response.MaxControlHeadBytes)
	defer transport.CloseIdleConnections()
	var body io.Reader = strings.NewReader(strings.Repeat("u", bytes))
	if !stated {
		body = io.MultiReader(body)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	return string(all), err
}

const (
	uploadBytes = 16 << 20 // more than the sockets and an Early take
	earlyRuns   = 25
)

// Guards against an answer without a length that a client of net/http takes for whole although
// its connection was reset while the request was written.
func TestTransportRejectsEarlyAnswersThatAreReset(t *testing.T) {
	for _, how := range []string{responsetest.EndsByReset, responsetest.EndsByResetFIN} {
		for _, stated := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%t", how, stated), func(t *testing.T) {
				t.Parallel()
				for range earlyRuns {
					e := responsetest.NewEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", how)
					if body, err := upload(t, e.Address, uploadBytes, stated); err == nil {
						t.Errorf("%q looks whole", body)
					}
				}
			})
		}
	}
}

// Guards against an answer without a length that a client of net/http takes for broken although
// the whole request was read, and against early ones with a stated end.
func TestTransportAcceptsEarlyAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nearly", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n", "connection": "\r\nearly",
	} {
		for _, bytes := range []int{0, 1, 8 << 10, uploadBytes} {
			for _, stated := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/%t", name, bytes, stated), func(t *testing.T) {
					t.Parallel()
					for range earlyRuns {
						address := responsetest.Serve(t, func(c net.Conn) { responsetest.AnswerEarly(c, "HTTP/1.1 200 OK\r\n"+head) })
						if body, err := upload(t, address, bytes, stated); err != nil || body != "early" {
							t.Errorf("%q, %v", body, err)
						}
					}
				})
			}
		}
	}
}

// Guards against an end that waits for the write of a request which its endpoint does not read.
func TestEndOfAnEarlyAnswerDoesNotWait(t *testing.T) {
	address := responsetest.Serve(t, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	})
	began := time.Now()
	if body, err := upload(t, address, 64<<20, true); ruleOf(err) != string(response.RuleEarlyEnd) || time.Since(began) > 5*time.Second {
		t.Errorf("%q, %v after %v", body, err, time.Since(began))
	}
}

func BenchmarkHead(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 05:00:00 GMT\r\nAttempt-Id: 0123456789abcdef\r\n" +
		"Keep-Alive: timeout=5\r\nLoad: 3\r\nContent-Length: 2\r\n\r\nok"
	r := response.NewReader(&repeatingReader{text: text})
	b.ReportAllocs()
	for b.Loop() {
		r.Begin(nil)
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
