package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/response/responsetest"
	"github.com/merlindock/merlindock/routes"
)

// answerLines are header lines of answers that callers get.
const answerLines = "Attempt-Id: a1\r\nResponse-Signature: s\r\n"

// postUpload sends a request with a body of the given size, and reads its answer. The error is
// that of an answer which is cut.
func postUpload(t *testing.T, s *httptest.Server, bytes int) (status int, body string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/x", strings.NewReader(strings.Repeat("u", bytes)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Attempt-Id", "a1")
	resp, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(all), err
}

// Guards against an answer with a broken head that reaches a caller, or that a caller waits for
// until its deadline.
func TestBrokenHeadsDoNotReachCallers(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe, routes.Stream} {
		for _, a := range responsetest.BrokenAnswers(answerLines) {
			t.Run(fmt.Sprintf("%v/%s", kind, a.Name), func(t *testing.T) {
				t.Parallel()
				broken := Target{Key: "b@1", ID: "b", Address: responsetest.Answering(t, a.Text)}
				s, reports := serveEndpoints(t, kind, broken)
				began := time.Now()
				status, body, err := postUpload(t, s, 1)
				if status != http.StatusBadGateway || err != nil || strings.Contains(body, "ok") || time.Since(began) > cutOffWithin {
					t.Errorf("status %d, body %q, %v after %v", status, body, err, time.Since(began))
				}
				if r := awaitReports(t, reports)[0].Attempts[0]; r.Lost != lossMalformed {
					t.Errorf("reported as %+v", r)
				}
			})
		}
	}
}

// Guards against a safe request that fails, or an unsafe one that runs twice, after an answer
// with a broken head. A refusal with a broken head says nothing.
func TestRequestsAfterBrokenHeads(t *testing.T) {
	const refusal = "Not-Executed: 1\r\n"
	for kind, want := range map[routes.Kind]int{routes.Safe: http.StatusOK, routes.Unsafe: http.StatusBadGateway} {
		for _, a := range responsetest.BrokenAnswers("Attempt-Id: a1\r\n" + refusal) {
			t.Run(fmt.Sprintf("%v/%s", kind, a.Name), func(t *testing.T) {
				t.Parallel()
				broken := Target{Key: "b@1", ID: "b", Address: responsetest.Answering(t, a.Text)}
				sound, _ := endpoint(t, "HTTP/1.1 200 OK\r\n"+answerLines+"Content-Length: 5\r\n\r\nsound")
				s, _ := serveEndpoints(t, kind, broken, sound)
				if status, body, err := postUpload(t, s, 1); status != want || err != nil || (status == http.StatusOK && body != "sound") {
					t.Errorf("status %d, body %q, %v, want %d", status, body, err, want)
				}
			})
		}
	}
}

// Guards against a sound answer that is taken for a broken one, since it is unusual.
func TestUnusualAnswersReachCallers(t *testing.T) {
	for _, a := range responsetest.SoundAnswers(answerLines) {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			s, _ := serveEndpoints(t, routes.Unsafe, Target{Key: "e@1", ID: "e", Address: responsetest.Answering(t, a.Text)})
			if status, body, err := postUpload(t, s, 1); status < http.StatusOK || body != "ok" || err != nil {
				t.Errorf("status %d, body %q, %v", status, body, err)
			}
		})
	}
}

// Guards against a head that stops at any place and is passed on with a short body.
func TestHeadsThatStopDoNotReachCallers(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\n" + answerLines + "Content-Length: 2\r\n\r\nok"
	for _, how := range []string{"end", "reset"} {
		for at := range len(whole) {
			t.Run(fmt.Sprintf("%s/%d", how, at), func(t *testing.T) {
				t.Parallel()
				s, _ := serveEndpoints(t, routes.Unsafe, brokenEndpoint(t, whole[:at], how))
				if status, body, err := postUpload(t, s, 1); status != http.StatusBadGateway {
					t.Errorf("status %d, body %q, %v", status, body, err)
				}
			})
		}
	}
}

const (
	// uploadBytes is the largest body, more than the sockets and an Early take of a request.
	uploadBytes = defaultBodyBytes
	earlyRuns   = 25
)

// earlyAnswers are answers to uploads that are cut off. The stream has whole events.
var earlyAnswers = map[routes.Kind]string{
	routes.Safe: "part of an answer", routes.Unsafe: "part of an answer", routes.Stream: "id: 0\ndata: one\n\n",
}

// Guards against an answer without a length that is passed on as whole although its connection
// was reset while the request was written.
func TestEarlyAnswersThatAreResetAreNotWhole(t *testing.T) {
	for kind, part := range earlyAnswers {
		for _, how := range []string{responsetest.EndsByReset, responsetest.EndsByResetFIN} {
			t.Run(fmt.Sprintf("%v/%s", kind, how), func(t *testing.T) {
				t.Parallel()
				for range earlyRuns {
					e := responsetest.NewEarly(t, "HTTP/1.1 200 OK\r\n"+answerLines+"\r\n"+part, how)
					s, reports := serveEndpoints(t, kind, Target{Key: "e@1", ID: "e", Address: e.Address})
					status, body, err := postUpload(t, s, uploadBytes)
					if status == http.StatusOK && err == nil {
						t.Errorf("%q looks whole: %+v", body, awaitReports(t, reports)[0])
					}
					s.Close()
				}
			})
		}
	}
}

// Guards against a safe request that fails, or an unsafe one that runs twice, after an early
// answer that was cut.
func TestRequestsAfterEarlyAnswers(t *testing.T) {
	for kind, want := range map[routes.Kind]int{routes.Safe: http.StatusOK, routes.Unsafe: http.StatusBadGateway} {
		e := responsetest.NewEarly(t, "HTTP/1.1 200 OK\r\n"+answerLines+"\r\npart", responsetest.EndsByReset)
		sound, _ := endpoint(t, "HTTP/1.1 200 OK\r\n"+answerLines+"Content-Length: 5\r\n\r\nsound")
		s, _ := serveEndpoints(t, kind, Target{Key: "e@1", ID: "e", Address: e.Address}, sound)
		if status, body, err := postUpload(t, s, uploadBytes); status != want || err != nil || (status == http.StatusOK && body != "sound") {
			t.Errorf("%v: status %d, body %q, %v, want %d", kind, status, body, err, want)
		}
	}
}

// Guards against an early answer with a stated end that is taken for a broken one, and against
// one without that is, although its endpoint has read the whole request.
func TestSoundEarlyAnswersReachCallers(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nearly", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
		"connection": "\r\nearly",
	} {
		for _, bytes := range []int{maxInlineBody + 1, uploadBytes} {
			t.Run(fmt.Sprintf("%s/%d", name, bytes), func(t *testing.T) {
				t.Parallel()
				for range earlyRuns {
					address := responsetest.Serve(t, func(c net.Conn) {
						responsetest.AnswerEarly(c, "HTTP/1.1 200 OK\r\n"+answerLines+head)
					})
					s, _ := serveEndpoints(t, routes.Unsafe, Target{Key: "e@1", ID: "e", Address: address})
					if status, body, err := postUpload(t, s, bytes); status != http.StatusOK || body != "early" || err != nil {
						t.Errorf("status %d, body %q, %v", status, body, err)
					}
					s.Close()
				}
			})
		}
	}
}
