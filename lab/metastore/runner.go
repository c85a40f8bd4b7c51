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

// Runner is a stand-in for a model runner or a plain service of the platform.
// It records what it ran. Its fields may be changed between requests.
type Runner struct {
	ID     string
	Events int           // of a stream
	Pause  time.Duration // between events, or before an answer without any
	// Ends is called with the body of each request that runs, and tells whether it ends
	// the runner; nil: none does.
	Ends func(body []byte) bool

	mu        sync.Mutex
	version   int64
	orders    int64
	ran       []Run
	breakAt   int // event before which the next stream breaks off; 0: none
	turnAway  int // requests still to be turned away
	failNext  int // requests still to be answered with an error
	cancelled int
	noOrders  bool
}

// Run is one request that the runner worked on.
type Run struct {
	Attempt string
	Header  http.Header
	URI     string
}

// SetVersion sets the weights that the runner has.
func (r *Runner) SetVersion(v int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = v
}

// BreakNextStreamAt has the next stream break off before the event, if it starts at the
// first one.
func (r *Runner) BreakNextStreamAt(event int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakAt = event
}

// RejectNext has the next n requests turned away without running.
func (r *Runner) RejectNext(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnAway = n
}

// FailNext has the next n requests run and answered with an error.
func (r *Runner) FailNext(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failNext = n
}

// RefuseOrders has the runner refuse every order.
func (r *Runner) RefuseOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noOrders = true
}

// Runs returns what the runner worked on.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.ran...)
}

// CancelledStreams is the number of streams whose connection ended before they did.
func (r *Runner) CancelledStreams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

// Version is the weights that the runner has.
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
	answer(w, http.StatusOK, map[string]any{
		"models": []map[string]any{{"name": "m", "version": r.version}}, "busy": false, "seq": r.orders,
	})
}

func (r *Runner) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Version  int64 `json:"version"`
		Expected int64 `json:"expected"`
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.noOrders || o.Expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.version = o.Version
	w.WriteHeader(http.StatusAccepted)
}

// refused tells whether the request is turned away, and counts it as run if not.
func (r *Runner) refused(w http.ResponseWriter, req *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	if v := req.Header.Get("Expect-Version"); v != "" && v != strconv.FormatInt(r.version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	if r.turnAway > 0 {
		r.turnAway--
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	r.ran = append(r.ran, Run{req.Header.Get("Attempt-Id"), req.Header.Clone(), req.RequestURI})
	return false
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	// The end of the connection shows only once the body was read.
	body, _ := io.ReadAll(req.Body)
	if r.refused(w, req) {
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
			_, _ = fmt.Fprintf(w, "id: %d\ndata: half", i) // it stops in the middle of an event
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
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
