package routed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// stopWithin is the time in which the daemons of these tests end, see settingsText.
	stopWithin = 6 * time.Second
	// lateCallers are callers whose streams were begun before the daemon is stopped.
	lateCallers = 48
	lateEvents  = 40 // of a stream
	latePause   = 100 * time.Millisecond
	bookSuffix  = "-book" // of the id of the request behind a stream
)

// Guards against requests that come late in a planned stop, are passed on and then cut without an
// answer, as the process ends. They come behind streams, which keep their connections open.
func TestLateRequestsOfAPlannedStopAreAnswered(t *testing.T) {
	w := newTestbed(t)
	const spread = 1500 * time.Millisecond // of the streams' begins
	for _, id := range []string{"llm-1", "llm-2"} {
		w.runners[id].Events, w.runners[id].Pause = lateEvents, latePause
	}
	for _, id := range []string{"app-1", "app-2"} {
		w.runners[id].Pause = stopWithin // beyond the end of the daemon
	}
	stop := time.Now().Add(spread)
	time.AfterFunc(spread, w.stop)
	var all sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range lateCallers {
		all.Go(func() {
			<-time.After(spread * time.Duration(i) / lateCallers)
			// The deadlines lie around the end of the process.
			left := 250*time.Millisecond + time.Duration(i%24)*20*time.Millisecond
			id := fmt.Sprint("late-", i)
			status, err := w.callBehindStream(id, stop.Add(stopWithin-left))
			// A connection may be closed before its next request was read.
			if taken := strings.Contains(w.log(), id+bookSuffix) || len(w.runsOf(id+bookSuffix)) > 0; err != nil && taken {
				t.Errorf("a request whose deadline is %v before the end of the grace was taken: %v", left, err)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	all.Wait()
	w.waitUntil("the daemon has stopped", func() bool { return strings.Contains(w.log(), "Stopped.") })
	if !strings.Contains(w.log(), `"requests_cut":0`) {
		t.Error("the process ends while requests have no answer")
	}
	if statuses[http.StatusServiceUnavailable] == 0 || statuses[http.StatusGatewayTimeout] == 0 {
		t.Errorf("statuses %v, want requests that were refused, and some that were passed on", statuses)
	}
}

// callBehindStream reads a stream and sends a request behind it, on the same connection, that must
// not be repeated and ends at the given time. It returns the status of its answer. The request is
// sent before the last event, as an idle connection may be closed at any time.
func (w *testbed) callBehindStream(id string, end time.Time) (int, error) {
	c, err := net.Dial("tcp", w.front)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	const fields = " HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-a\r\nContent-Length: 1\r\n"
	_, _ = io.WriteString(c, "POST /talk/x"+fields+"Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: aa:10\r\nDeadline-Ms: 5000\r\nAttempt-Id: "+id+"\r\n\r\nq")
	r := bufio.NewReader(c)
	stream, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, fmt.Errorf("stream: %w", err)
	}
	defer stream.Body.Close()
	lines := bufio.NewScanner(stream.Body)
	for lines.Scan() {
		if lines.Text() == fmt.Sprint("id: ", lateEvents-2) {
			_, _ = fmt.Fprintf(c, "POST /book/x%sDeadline-Ms: %d\r\nAttempt-Id: %s\r\n\r\nq", fields, (time.Until(end) - latePause).Milliseconds(), id+bookSuffix)
		}
	}
	if err := lines.Err(); err != nil || stream.StatusCode != http.StatusOK {
		return stream.StatusCode, fmt.Errorf("stream: status %d, %w", stream.StatusCode, err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
