// Package standin implements small stand-ins for the systems that merlindock works
// with in production: model runners, KV stores, weight stores and plain services.
// Runners, KV stores and services are http.Handlers into which a test or the demo
// injects faults.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"

	"github.com/merlindock/merlindock/internal/pause"
)

// Defaults of RunnerOptions.
const (
	DefaultBytesPerToken = 4
	DefaultPieceTokens   = 2000
	DefaultCachePieces   = 64
	DefaultAnswerTokens  = 16
	DefaultSlots         = 64

	maxBodyBytes = 16 << 20
)

// RunnerOptions describe a runner. Zero counts take the defaults; zero delays mean
// no delay.
type RunnerOptions struct {
	ID            fleet.EndpointID
	WeightVersion string        // loaded; empty: serves any version that a request names
	BytesPerToken int           // of a prompt
	PieceTokens   int           // tokens in one piece of its cache
	CachePieces   int           // pieces its cache holds
	AnswerTokens  int           // generated if a request has no max_tokens
	Slots         int           // concurrent requests; further ones wait
	Prefill       time.Duration // per prompt token that is not cached
	Decode        time.Duration // per token generated
	Store         string        // address of the KV store to export to; empty: none
	Dial          Dial          // to the KV store; nil: TCP
	Plain         bool          // does not support merlindock's headers
	IgnoresResume bool          // begins at the first token even when asked to resume
}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Runner is a stand-in for a model engine.
type Runner struct {
	o     RunnerOptions
	mux   *http.ServeMux
	slots chan struct{}

	transport *http.Transport // to the KV store
	exports   chan struct{}   // one element for each export in progress

	running atomic.Int64
	waiting atomic.Int64
	queued  atomic.Int64 // prompt tokens of requests that wait or prefill

	mu          sync.Mutex // guards what follows
	incarnation fleet.Incarnation
	alive       context.Context // cancelled by a crash
	kill        context.CancelFunc
	down        bool
	draining    bool
	version     string
	cache       *pieceCache
	faults      []Fault
	stats       RunnerStats
	weights     []fleet.Weights // for the load report, see AcceptOrders
	events      *eventLog
	eventFaults EventFaults
	eventRand   *rand.Rand
}

// RunnerStats counts what a runner has done since NewRunner, over all incarnations.
type RunnerStats struct {
	Requests        int // admitted, whether answered or not
	Refused         int // refused because the runner drains or has another weight version
	Cancelled       int // requests whose caller disconnected before the end
	PromptTokens    int
	CachedTokens    int // cached prompt tokens, including imported ones
	Imports         int // requests to the KV store
	ImportsVain     int // of these, those that gained no tokens
	ImportedTokens  int
	GeneratedTokens int
	Attempts        map[string]int // requests by attempt ID
}

// NewRunner returns a running runner with an empty cache.
func NewRunner(o RunnerOptions) *Runner {
	setDefault(&o.BytesPerToken, DefaultBytesPerToken)
	setDefault(&o.PieceTokens, DefaultPieceTokens)
	setDefault(&o.CachePieces, DefaultCachePieces)
	setDefault(&o.AnswerTokens, DefaultAnswerTokens)
	setDefault(&o.Slots, DefaultSlots)
	r := &Runner{o: o, slots: make(chan struct{}, o.Slots), version: o.WeightVersion}
	r.transport = &http.Transport{DialContext: o.Dial, DisableKeepAlives: true}
	r.exports = make(chan struct{}, maxConcurrentExports)
	r.stats.Attempts = make(map[string]int)
	r.startIncarnation()
	r.mux = http.NewServeMux()
	r.mux.HandleFunc("POST /v1/chat/completions", r.serveCompletion)
	r.mux.HandleFunc("POST /v1/completions", r.serveCompletion)
	r.mux.HandleFunc("GET "+engine.PathLoad, r.serveLoad)
	r.mux.HandleFunc("GET "+engine.PathEvents, r.serveEvents)
	return r
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	down := r.down
	r.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	r.mux.ServeHTTP(w, req)
}

func (r *Runner) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Load())
}

// job is one request handled by a runner.
type job struct {
	r           *Runner
	w           http.ResponseWriter
	req         *http.Request
	ctx         context.Context
	body        completionRequest
	prompt      []byte
	levels      []prefix.Level
	fault       Fault
	first       int // index of the first token to send
	last        int // index of the last token
	cached      int
	version     string
	incarnation fleet.Incarnation
	word        string // contained in every token, see contentWord
}

type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Seed      int64           `json:"seed"`
}

func (r *Runner) serveCompletion(w http.ResponseWriter, req *http.Request) {
	j := &job{r: r, w: w, req: req}
	if !j.parse() || !j.admit() {
		return
	}
	if j.fault.Kind == FaultBeforeFirstByte {
		panic(http.ErrAbortHandler)
	}
	stop := j.bindContext()
	defer stop()
	if !j.prefill() {
		r.countCancelled()
		return
	}
	if j.fault.writeRaw(w) {
		return
	}
	j.setHeaders()
	if j.body.Stream {
		j.streamTokens()
		return
	}
	j.sendCompletion()
}

// parse decodes the request. It answers a malformed body with an error and returns
// false.
func (j *job) parse() bool {
	raw, err := io.ReadAll(io.LimitReader(j.req.Body, maxBodyBytes))
	if err != nil || json.Unmarshal(raw, &j.body) != nil {
		http.Error(j.w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return false
	}
	// The daemon counts the same bytes, so that its prefix levels end at the same
	// positions.
	j.prompt = append(bytes.Trim(j.body.Messages, "[]"), j.body.Prompt...)
	if !j.r.o.Plain {
		j.levels, _ = prefix.Parse(j.req.Header.Get(engine.HeaderPrefix))
	}
	j.last = j.r.o.AnswerTokens - 1
	if j.body.MaxTokens > 0 {
		j.last = j.body.MaxTokens - 1
	}
	if text := j.req.Header.Get(engine.HeaderResumeFrom); text != "" && !j.r.o.Plain && !j.r.o.IgnoresResume {
		n, err := strconv.Atoi(text)
		if err == nil {
			j.first = n + 1
		}
	}
	return true
}

// admit counts the request, looks its prompt up in the cache and takes its fault. It
// refuses the request and returns false if the runner drains or has another weight
// version than the request names.
func (j *job) admit() bool {
	r := j.r
	r.mu.Lock()
	j.incarnation, j.version, j.ctx = r.incarnation, r.version, r.alive
	asked := j.req.Header.Get(engine.HeaderWeightVersion)
	if j.version == "" {
		j.version = asked
	}
	status := 0
	switch {
	case r.draining:
		status = http.StatusServiceUnavailable
	case !r.o.Plain && asked != "" && asked != j.version:
		status = http.StatusConflict
	}
	if status != 0 {
		r.stats.Refused++
	} else {
		j.fault = r.takeFault()
		r.stats.Requests++
		r.stats.Attempts[j.req.Header.Get(engine.HeaderAttempt)]++
		tokens := len(j.prompt)/r.o.BytesPerToken + 1
		pieces := j.pieceKeys()
		j.cached = r.cache.lookup(pieces) * r.o.PieceTokens
		for _, l := range j.levels {
			if n := l.Tokens / r.o.PieceTokens; n > 0 && n <= len(pieces) {
				r.cache.addLevelKey(pieces[n-1], l.Key)
			}
		}
		r.stats.PromptTokens += tokens
		r.stats.CachedTokens += j.cached
	}
	r.mu.Unlock()
	j.word = contentWord(j.prompt, j.version, j.body.Seed)
	if status != 0 {
		j.refuse(status)
	}
	return status == 0
}

func (j *job) refuse(status int) {
	j.setHeaders()
	j.w.Header().Set(engine.HeaderNotRun, "true")
	j.w.Header().Set("Content-Type", "application/json")
	j.w.WriteHeader(status)
	_, _ = io.WriteString(j.w, `{"error":{"message":"not taken"}}`)
}

// bindContext makes the job's context end when its caller disconnects or its runner
// crashes. The caller of bindContext must call stop.
func (j *job) bindContext() (stop func()) {
	alive := j.ctx
	ctx, cancel := context.WithCancel(j.req.Context())
	j.ctx = ctx
	release := context.AfterFunc(alive, cancel)
	return func() {
		release()
		cancel()
	}
}

// prefill waits for a slot, imports what the KV store has of the prompt, and takes
// the time to compute the tokens that are not cached. It returns false if the job's
// context ended.
func (j *job) prefill() bool {
	r := j.r
	missingTokens := int64(len(j.prompt)/r.o.BytesPerToken + 1 - j.cached)
	r.waiting.Add(1)
	r.queued.Add(missingTokens)
	defer r.queued.Add(-missingTokens)
	select {
	case r.slots <- struct{}{}:
		r.waiting.Add(-1)
	case <-j.ctx.Done():
		r.waiting.Add(-1)
		return false
	}
	r.running.Add(1)
	context.AfterFunc(j.ctx, func() {
		<-r.slots
		r.running.Add(-1)
	})
	j.importPrefix(missingTokens)
	missing := len(j.prompt)/r.o.BytesPerToken + 1 - j.cached
	if pause.For(j.ctx, time.Duration(missing)*r.o.Prefill) != nil {
		return false
	}
	if missing > r.o.PieceTokens {
		j.export()
	}
	return true
}

// setHeaders sets the answer's merlindock headers.
func (j *job) setHeaders() {
	if j.r.o.Plain {
		return
	}
	h := j.w.Header()
	load, _ := json.Marshal(j.r.Load())
	h.Set(engine.HeaderAttempt, j.req.Header.Get(engine.HeaderAttempt))
	h.Set(engine.HeaderIncarnation, strconv.FormatUint(uint64(j.incarnation), 10))
	h.Set(engine.HeaderCachedTokens, strconv.Itoa(j.cached))
	h.Set(engine.HeaderLoad, string(load))
	h.Set(engine.HeaderWeightVersion, j.version)
	if j.fault.Kind == FaultWrongAttempt {
		h.Set(engine.HeaderAttempt, "another-request-1")
	}
	if j.fault.Kind == FaultWrongWeightVersion {
		h.Set(engine.HeaderWeightVersion, j.version+"-old")
	}
}

func (r *Runner) countCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Cancelled++
}
