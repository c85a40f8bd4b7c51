package metastore

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Runner is a stand-in for a model runner or a plain service. It records the requests
// that it has run. Its fields may be changed between requests.
type Runner struct {
	ID     string
	Events int           // number of events of a stream; 0: answers are not streams
	Pause  time.Duration // after each event, or before an answer that is not a stream
	Build  string        // software version, which ends each event's data; empty: it does not
	Born   int64         // start of the process that its report states; 0: none
	Room   *Room         // nil: it runs any number of requests at once
	// Ends is called with the body of each request that runs and returns whether the
	// runner crashes. A nil Ends is the same as one that returns false.
	Ends func(body []byte) bool

	mu           sync.Mutex
	version      int64
	orders       int64
	runs         []Run
	breakAt      int // event at which the next stream breaks; 0: none
	rejectNext   int // number of requests to reject
	failNext     int // number of requests to answer with an error
	cancelled    int
	refuseOrders bool
	leaving      bool
	tokens       []int64 // fencing tokens of the orders received
	retryAfter   string  // of rejections; empty: requests are not rejected
	rejections   []time.Time
}

// Run is a request that the runner has accepted and run.
type Run struct {
	Attempt string
	Header  http.Header
	URI     string
}

// SetVersion sets the weight version of the runner.
func (r *Runner) SetVersion(v int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = v
}

// BreakNextStreamAt makes the next stream break in the middle of the event, if the stream
// starts at the first event.
func (r *Runner) BreakNextStreamAt(event int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakAt = event
}

// RejectNext makes the runner reject the next n requests without running them.
func (r *Runner) RejectNext(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejectNext = n
}

// FailNext makes the runner run the next n requests and answer them with status 500.
func (r *Runner) FailNext(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failNext = n
}

// RefuseOrders makes the runner refuse all orders.
func (r *Runner) RefuseOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuseOrders = true
}

// SetLeaving makes all answers of the runner announce its shutdown, or ends that, as its
// next incarnation does. It serves on.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// RejectAll makes the runner reject all requests with the Retry-After value; empty: it
// serves again.
func (r *Runner) RejectAll(retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAfter = retryAfter
}

// Rejections returns the times of rejections with Retry-After.
func (r *Runner) Rejections() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.rejections...)
}

// Runs returns the requests that the runner has run.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// CancelledStreams returns the number of streams whose caller disconnected before their
// end.
func (r *Runner) CancelledStreams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

// FencingTokens returns the fencing tokens of the orders that the runner received.
func (r *Runner) FencingTokens() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int64(nil), r.tokens...)
}

// Version returns the weight version of the runner.
func (r *Runner) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("Expect-Instance"); id != "" && id != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	switch req.URL.Path {
	case "/v1/report":
		r.report(w)
	case "/v1/order":
		r.order(w, req)
	default:
		r.serve(w, req)
	}
}

func (r *Runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := map[string]any{
		"models": []map[string]any{{"name": "m", "version": r.version}}, "busy": false, "seq": r.orders,
	}
	if r.Born != 0 {
		report["born"] = r.Born
	}
	writeJSON(w, http.StatusOK, report)
}

func (r *Runner) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Version  int64 `json:"version"`
		Expected int64 `json:"expected"`
		Token    int64 `json:"fencingToken"`
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, o.Token)
	if r.refuseOrders || o.Expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.version = o.Version
	w.WriteHeader(http.StatusAccepted)
}

// rejectOrRecord answers a request that the runner rejects and returns true. It records
// any other request as run and returns false.
func (r *Runner) rejectOrRecord(w http.ResponseWriter, req *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	if v := req.Header.Get("Expect-Version"); v != "" && v != strconv.FormatInt(r.version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	if r.retryAfter != "" {
		r.rejections = append(r.rejections, time.Now())
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", r.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if r.rejectNext > 0 {
		r.rejectNext--
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	r.runs = append(r.runs, Run{req.Header.Get("Attempt-Id"), req.Header.Clone(), req.RequestURI})
	return false
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	// The server notices a closed connection only after the body was read.
	body, _ := io.ReadAll(req.Body)
	if m := r.Room; m != nil {
		entered := m.enter()
		m.setHeader(w.Header())
		if !entered {
			w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer m.leave()
	}
	if r.rejectOrRecord(w, req) {
		return
	}
	if r.Ends != nil && r.Ends(body) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", "signed-"+r.ID)
	r.mu.Lock()
	fail, breakAt := r.failNext > 0, r.breakAt
	if fail {
		r.failNext--
	}
	r.breakAt = 0
	r.mu.Unlock()
	switch {
	case fail:
		w.WriteHeader(http.StatusInternalServerError)
	case r.Events == 0:
		<-time.After(r.Pause)
		_, _ = w.Write([]byte("whole answer of " + r.ID))
	default:
		r.stream(w, req, breakAt)
	}
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, breakAt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	for i := from; i < r.Events; i++ {
		if breakAt > 0 && i == breakAt && from == 0 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: half", i) // the event is incomplete
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		data := fmt.Sprint("piece ", i)
		if r.Build != "" {
			data += " " + r.Build
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
			break
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(r.Pause):
		case <-req.Context().Done():
			r.mu.Lock()
			r.cancelled++
			r.mu.Unlock()
			return
		}
	}
}
