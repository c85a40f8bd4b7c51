package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/rollout"
)

// WeightStore is a stand-in for the rate-limited store of weights that runners
// share. Up to AtOnce concurrent loads take the time Load each; with more, a load
// that begins takes longer in proportion to their number.
type WeightStore struct {
	AtOnce int
	Refuse int // concurrent loads from which on it refuses another; 0: no limit
	Load   time.Duration

	mu           sync.Mutex // guards what follows
	openLoads    int
	maxOpenLoads int
}

// beginLoad starts a load and returns how long it takes, or false if the load is
// refused.
func (s *WeightStore) beginLoad() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Refuse > 0 && s.openLoads >= s.Refuse {
		return 0, false
	}
	s.openLoads++
	s.maxOpenLoads = max(s.maxOpenLoads, s.openLoads)
	slower := max(1, float64(s.openLoads)/float64(max(1, s.AtOnce)))
	return time.Duration(float64(s.Load) * slower), true
}

func (s *WeightStore) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openLoads--
}

// MaxConcurrentLoads returns the highest number of concurrent loads so far.
func (s *WeightStore) MaxConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxOpenLoads
}

// OrderOptions describe how a runner handles orders.
type OrderOptions struct {
	Store  *WeightStore
	Fences bool            // whether it refuses orders with an outdated fencing token
	Models []rollout.Model // loaded at the start
}

// loadingVersion is the weight version of a runner without loaded weights. No
// request asks for it, so that the runner refuses all requests as not run.
const loadingVersion = "(loading)"

// OrderedRunner is a runner that also executes rollout orders. Its own mu is
// locked before the Runner's.
type OrderedRunner struct {
	*Runner
	o OrderOptions

	mu            sync.Mutex // guards what follows
	status        rollout.Status
	fence         ports.Offset
	timer         *time.Timer
	executed      []rollout.Order
	answersToDrop int
	failLoads     bool
	servedVersion string // weight version last set in the Runner
}

// AcceptOrders returns a handler of both the runner's requests and of orders. It
// replaces the runner's weight version by that of o.Models.
func (r *Runner) AcceptOrders(o OrderOptions) *OrderedRunner {
	e := &OrderedRunner{Runner: r, o: o}
	e.status.Models = slices.Clone(o.Models)
	e.serveLoaded()
	return e
}

// DropAnswers drops the connection instead of answering each of the next n
// orders that are accepted; the orders still take effect.
func (e *OrderedRunner) DropAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersToDrop = n
}

// FailLoads sets whether loads fail when they end.
func (e *OrderedRunner) FailLoads(fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failLoads = fail
}

// ExecutedOrders returns the accepted orders, oldest first.
func (e *OrderedRunner) ExecutedOrders() []rollout.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.executed)
}

// Crash discards the loaded weights and a load in progress, and crashes the Runner.
func (e *OrderedRunner) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timer != nil && e.timer.Stop() {
		e.o.Store.endLoad()
	}
	e.status = rollout.Status{}
	e.serveLoaded()
	e.Runner.Crash()
}

// Status returns the loaded weights, the load in progress and the result of the
// last order. Its fencing token is 0 unless OrderOptions.Fences is set.
func (e *OrderedRunner) Status() rollout.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.status
	s.Incarnation = e.Incarnation()
	s.Models = slices.Clone(s.Models)
	if e.o.Fences {
		s.Fence = e.fence
	}
	return s
}

// ServeHTTP implements http.Handler.
func (e *OrderedRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != engine.PathOrder {
		e.Runner.ServeHTTP(w, req)
		return
	}
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	if req.Method == http.MethodGet {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.Status())
		return
	}
	e.serveOrder(w, req)
}

func (r *Runner) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (e *OrderedRunner) serveOrder(w http.ResponseWriter, req *http.Request) {
	text, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	var o rollout.Order
	if err != nil || json.Unmarshal(text, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(req.Header.Get(engine.HeaderFence), 10, 64)
	o.Fence = ports.Offset(fence)
	status, lost := e.execute(o)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "30")
	}
	if status >= http.StatusBadRequest {
		w.Header().Set(engine.HeaderNotRun, "true")
	}
	w.WriteHeader(status)
}

// execute starts an order unless it is refused, and returns the answer's HTTP status
// and whether the connection is to be dropped instead.
func (e *OrderedRunner) execute(o rollout.Order) (status int, lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.o.Fences && o.Fence < e.fence {
		return http.StatusPreconditionFailed, false
	}
	e.fence = max(e.fence, o.Fence)
	if o.Incarnation != e.Incarnation() || e.status.Loading != nil {
		return http.StatusConflict, false
	}
	status = e.begin(o)
	if status == http.StatusAccepted {
		e.executed = append(e.executed, o)
		lost = e.answersToDrop > 0
		e.answersToDrop--
	}
	return status, lost
}

// begin starts a load, or executes any other order at once, and returns the
// answer's HTTP status. The caller holds mu.
func (e *OrderedRunner) begin(o rollout.Order) int {
	switch o.Kind {
	case rollout.KindLoad, rollout.KindLoadAdapter:
		d, ok := e.o.Store.beginLoad()
		if !ok {
			return http.StatusTooManyRequests
		}
		e.status.Loading = &o
		if o.Kind == rollout.KindLoad {
			e.removeModel(o.Model)
		}
		incarnation := e.Incarnation()
		e.timer = time.AfterFunc(d, func() {
			e.o.Store.endLoad()
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.Incarnation() == incarnation && e.status.Loading != nil {
				e.finishLoad(o)
			}
		})
	case rollout.KindUnload:
		e.removeModel(o.Model)
	case rollout.KindRole:
		e.status.Role = o.Role
	case rollout.KindUnloadAdapter:
		e.setAdapter(o, false)
	default:
		return http.StatusUnprocessableEntity
	}
	if e.status.Loading == nil {
		e.status.Last = &rollout.Result{Order: o.ID, Done: true}
	}
	e.serveLoaded()
	return http.StatusAccepted
}

// finishLoad records the result of a load. The caller holds mu.
func (e *OrderedRunner) finishLoad(o rollout.Order) {
	e.status.Loading = nil
	e.status.Last = &rollout.Result{Order: o.ID, Done: !e.failLoads}
	switch {
	case e.failLoads:
		e.status.Last.Detail = "no space left for weights"
	case o.Kind == rollout.KindLoad:
		e.status.Models = append(slices.Clone(e.status.Models), rollout.Model{ID: o.Model, Version: o.Version})
	default:
		e.setAdapter(o, true)
	}
	e.serveLoaded()
}

func (e *OrderedRunner) removeModel(model string) {
	e.status.Models = slices.DeleteFunc(slices.Clone(e.status.Models), func(m rollout.Model) bool { return m.ID == model })
}

func (e *OrderedRunner) setAdapter(o rollout.Order, loaded bool) {
	models := slices.Clone(e.status.Models)
	for i := range models {
		if models[i].ID != o.Model {
			continue
		}
		as := slices.DeleteFunc(slices.Clone(models[i].Adapters), func(a rollout.Adapter) bool { return a.ID == o.Adapter })
		if loaded {
			as = append(as, rollout.Adapter{ID: o.Adapter, Version: o.Version})
		}
		models[i].Adapters = as
	}
	e.status.Models = models
}

// serveLoaded sets the Runner's weight version to the loaded one, or to
// loadingVersion if none is, and updates the weights in its load report. The
// caller holds mu.
func (e *OrderedRunner) serveLoaded() {
	version := loadingVersion
	var weights []fleet.Weights
	for _, m := range e.status.Models {
		version = m.Version
		weights = append(weights, fleet.Weights{Model: m.ID, Version: m.Version})
	}
	if l := e.status.Loading; l != nil && l.Kind == rollout.KindLoad {
		weights = append(weights, fleet.Weights{Model: l.Model})
	}
	if len(weights) == 0 {
		weights = []fleet.Weights{{}} // reports that no weights are ready; an empty list reports nothing
	}
	e.setWeights(weights)
	if version != e.servedVersion {
		e.servedVersion = version
		e.SetWeightVersion(version)
	}
}

// setWeights sets the weights in the runner's load report.
func (r *Runner) setWeights(weights []fleet.Weights) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weights = weights
}
