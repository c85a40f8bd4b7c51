package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/response/responsetest"
	"github.com/merlindock/merlindock/routes"
)

// brokenEndpoint starts a server that answers each request with the given bytes, and then ends
// the connection in the given way: "end", "reset" or "silence".
func brokenEndpoint(t *testing.T, answer, how string) Target {
	t.Helper()
	address := responsetest.Serve(t, func(c net.Conn) {
		request := make([]byte, 64<<10)
		if _, err := c.Read(request); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		switch how {
		case "reset":
			time.Sleep(100 * time.Millisecond) // else the reset overtakes the answer
			_ = c.(*net.TCPConn).SetLinger(0)
		case "silence":
			_, _ = c.Read(request)
		}
	})
	return Target{Key: "broken@1", ID: "broken", Address: address}
}

// answerOf returns an answer with a body, whole or cut off.
func answerOf(status int, body string, chunked bool, stated int) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n", status)
	if chunked {
		text := head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		if len(body) == stated {
			text += "0\r\n\r\n"
		}
		return text
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", stated, body)
}

// Guards against an answer that is put together from a part of one endpoint's answer and
// another endpoint's, and ends as complete.
func TestBrokenAnswersAreNotJoined(t *testing.T) {
	const stated = 1 << 20
	for _, kind := range []routes.Kind{routes.Safe, routes.Stream} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusNotFound} {
			if kind == routes.Stream && status == http.StatusOK {
				continue // its events are continued, see the next test
			}
			for _, sent := range []int{100, maxBufferedAnswer, maxBufferedAnswer + 1, 700 << 10, stated - 1} {
				for _, chunked := range []bool{false, true} {
					for _, how := range []string{"end", "reset", "silence"} {
						name := fmt.Sprintf("kind %d, %d, %d bytes, chunked %t, %s", kind, status, sent, chunked, how)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							part, whole := strings.Repeat("#", sent), strings.Repeat("%", stated)
							broken := brokenEndpoint(t, answerOf(status, part, chunked, stated), how)
							sound, runs := endpoint(t, answerOf(http.StatusOK, whole, chunked, stated))
							s, reports := serveWithin(t, kind, false, time.Second, broken, sound)
							resp, err := exchange(t, s, http.MethodPost)
							if err != nil {
								t.Fatal(err) // the head was sent
							}
							defer resp.Body.Close()
							body, err := io.ReadAll(resp.Body)
							text := string(body)
							switch {
							case err != nil && (!strings.HasPrefix(part, text) || len(runs) != 0):
								t.Errorf("cut after %d bytes, sent again %d times: %v", len(text), len(runs), reports())
							case err == nil && strings.ContainsAny(text, "#%") && text != whole:
								t.Errorf("status %d, complete with %d bytes, of which %d of the broken answer", resp.StatusCode, len(text), strings.Count(text, "#"))
							case sent > maxBufferedAnswer && !chunked && resp.ContentLength != stated:
								t.Errorf("length %d, want %d", resp.ContentLength, stated)
							}
						})
					}
				}
			}
		}
	}
}

// Guards against events that come twice, or error answers that are written into a stream,
// where another endpoint can't continue it.
func TestBrokenStreamsAreNotJoined(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n\r\n"
	for name, c := range map[string]struct {
		first, second string
		want          string // complete; empty: the stream is cut off
	}{
		"numbered":                {head + "id: 0\ndata: a\n\nid: 1\nda", head + "id: 1\ndata: b\n\n", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"},
		"a comment between":       {head + "id: 0\ndata: a\n\n: ping\n\nid: 1\nda", head + "id: 1\ndata: b\n\n", "id: 0\ndata: a\n\n: ping\n\nid: 1\ndata: b\n\n"},
		"without numbers":         {head + "data: a\n\nda", head + "data: a\n\ndata: b\n\n", ""},
		"one without a number":    {head + "id: 0\ndata: a\n\ndata: b\n\n", head + "id: 0\ndata: a\n\ndata: b\n\nid: 1\ndata: c\n\n", ""},
		"a short error follows":   {head + "id: 0\ndata: a\n\nid", answerOf(http.StatusInternalServerError, "no", false, 2), ""},
		"a long error follows":    {head + "id: 0\ndata: a\n\nid", answerOf(http.StatusInternalServerError, strings.Repeat("y", 700<<10), false, 700<<10), ""},
		"a long refusal follows":  {head + "id: 0\ndata: a\n\nid", answerOf(http.StatusNotFound, strings.Repeat("y", 700<<10), true, 700<<10), ""},
		"a short refusal follows": {head + "id: 0\ndata: a\n\nid", answerOf(http.StatusNotFound, "no", true, 2), ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			second, _ := endpoint(t, c.second)
			if strings.HasSuffix(c.second, "\n\n") {
				second = brokenEndpoint(t, c.second, "end") // which is how a stream without a length ends
				second.Key = "second@1"
			}
			s, reports := serveWithin(t, routes.Stream, true, 2*time.Second, brokenEndpoint(t, c.first, "reset"), second)
			resp, err := exchange(t, s, http.MethodPost)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			switch {
			case c.want != "" && (err != nil || string(body) != c.want):
				t.Errorf("%q, %v, reports %+v", body, err, reports())
			case c.want == "" && (err == nil || !strings.HasPrefix(c.first, head+string(body))):
				t.Errorf("%.100q, %v, reports %+v", body, err, reports())
			case c.want == "" && (awaitReports(t, reports)[0].Code == "" || reports()[0].Status != http.StatusOK || reports()[0].SentBytes != int64(len(body))):
				t.Errorf("%d bytes, reports %+v", len(body), reports())
			}
		})
	}
}

// Guards against a long answer that ends with the endpoint's connection and is passed on with no
// end mark of its own, so that its caller can't tell that it was cut off here.
func TestLongAnswerWithoutLengthHasAnEndMark(t *testing.T) {
	body := strings.Repeat("#", maxBufferedAnswer+1)
	for how, whole := range map[string]bool{"end": true, "reset": false, "silence": false} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			e := brokenEndpoint(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n\r\n"+body, how)
			s, reports := serveWithin(t, routes.Safe, false, time.Second, e)
			resp, err := exchange(t, s, http.MethodPost)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			if (err == nil) != whole || !strings.HasPrefix(body, string(got)) || whole && string(got) != body || !slices.Equal(resp.TransferEncoding, []string{"chunked"}) {
				t.Errorf("%d bytes, %v, encoding %v, reports %+v", len(got), err, resp.TransferEncoding, reports())
			}
		})
	}
}

// Guards against a caller that doesn't read and occupies its endpoint beyond the request's
// deadline, and against an endpoint that is taken for lost because of its caller.
func TestSlowCallerOfALongAnswerIsCutOff(t *testing.T) {
	e, done := endpoint(t, answerOf(http.StatusOK, strings.Repeat("x", 64<<20), false, 64<<20))
	p := &listPlacer{places: []Placement{{Target: e}, {Target: e}}}
	s, reports := servePlaces(t, routes.Safe, false, 500*time.Millisecond, p)
	resp, err := exchange(t, s, http.MethodPost)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	<-done
	awaitReports(t, reports)
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("the answer is complete")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if got := reports()[0]; len(got.Attempts) != 1 || got.SentBytes == 0 || p.ends[0].Lost {
		t.Errorf("report %+v, ends %+v", got, p.ends)
	}
}

// awaitReports waits for the report of the first request.
func awaitReports(t *testing.T, reports func() []Report) []Report {
	t.Helper()
	for end := time.Now().Add(cutOffWithin); len(reports()) == 0; time.Sleep(time.Millisecond) { // sockets need the real clock
		if time.Now().After(end) {
			t.Fatal("the request has not ended")
		}
	}
	return reports()
}
