package standin

import (
	"container/list"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"

	"github.com/merlindock/merlindock/internal/pause"
)

// Paths of a KV store's protocol with runners. Both take a POST whose
// engine.HeaderPrefix lists prefix levels. The answer to an import has the number of
// available tokens in engine.HeaderCachedTokens, and one line in its body for each
// level delivered.
const (
	StorePathImport = "/kv/import"
	StorePathExport = "/kv/export"
)

// DefaultStoreLevels is the default of StoreOptions.Levels.
const DefaultStoreLevels = 1 << 14

// StoreFault is a kind of fault that a store can inject.
type StoreFault int

// The faults of a store.
const (
	StoreNoFault    StoreFault = iota
	StoreDown                  // drops connections, including open ones
	StoreHangs                 // accepts requests and does not answer them
	StoreOverstates            // announces all requested levels and delivers half of them
)

// StoreOptions describe a KV store. Zero delays mean no delay.
type StoreOptions struct {
	Levels  int           // kept at most; 0: DefaultStoreLevels
	Latency time.Duration // before the first level of an import
	Rate    float64       // tokens/s of one import; 0: no limit
	Delay   time.Duration // from an export until its levels can be imported
}

// StoreStats counts what a store has done.
type StoreStats struct {
	Imports  int // requested
	Cut      int // imports that were not delivered completely
	Exports  int
	Tokens   int // delivered
	Levels   int // currently kept
	Unworthy int // imports for which the store had no level
}

// Store is a stand-in for a KV store that runners share.
type Store struct {
	o   StoreOptions
	mux *http.ServeMux

	mu    sync.Mutex // guards what follows
	fault StoreFault
	alive context.Context // cancelled by StoreDown
	kill  context.CancelFunc
	order *list.List // of *storedLevel, most recently used first
	index map[prefix.Key]*list.Element
	stats StoreStats
}

type storedLevel struct {
	key   prefix.Key
	ready time.Time
}

// NewStore returns an empty store.
func NewStore(o StoreOptions) *Store {
	setDefault(&o.Levels, DefaultStoreLevels)
	s := &Store{o: o, mux: http.NewServeMux(), order: list.New(), index: make(map[prefix.Key]*list.Element)}
	s.alive, s.kill = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST "+StorePathImport, s.serveImport)
	s.mux.HandleFunc("POST "+StorePathExport, s.serveExport)
	s.mux.HandleFunc("GET "+engine.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(fleet.Load{At: time.Now(), Incarnation: 1})
	})
	return s
}

// SetFault sets the store's fault from now on. StoreDown also drops open
// connections.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f == StoreDown {
		s.kill()
		s.alive, s.kill = context.WithCancel(context.Background())
	}
}

// Stats returns a copy of the store's counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Levels = s.order.Len()
	return stats
}

func (s *Store) state() (StoreFault, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.alive
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, _ := s.state()
	switch fault {
	case StoreDown:
		panic(http.ErrAbortHandler)
	case StoreHangs:
		<-r.Context().Done()
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Store) serveExport(w http.ResponseWriter, r *http.Request) {
	levels, err := prefix.Parse(r.Header.Get(engine.HeaderPrefix))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Exports++
	for i := len(levels) - 1; i >= 0; i-- {
		s.insert(levels[i].Key)
	}
}

// insert adds a level, or marks it as used, and evicts the least recently used ones
// beyond the limit. The caller holds mu.
func (s *Store) insert(k prefix.Key) {
	if e := s.index[k]; e != nil {
		s.order.MoveToFront(e)
		return
	}
	s.index[k] = s.order.PushFront(&storedLevel{key: k, ready: time.Now().Add(s.o.Delay)})
	for s.order.Len() > s.o.Levels {
		delete(s.index, s.order.Remove(s.order.Back()).(*storedLevel).key)
	}
}

// lookup counts an import and returns the leading levels up to the deepest one that
// the store has ready.
func (s *Store) lookup(levels []prefix.Level) []prefix.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Imports++
	for i := len(levels) - 1; i >= 0; i-- {
		e := s.index[levels[i].Key]
		if e != nil && !time.Now().Before(e.Value.(*storedLevel).ready) {
			s.order.MoveToFront(e)
			return levels[:i+1]
		}
	}
	s.stats.Unworthy++
	return nil
}

func (s *Store) serveImport(w http.ResponseWriter, r *http.Request) {
	levels, err := prefix.Parse(r.Header.Get(engine.HeaderPrefix))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, alive := s.state()
	available := s.lookup(levels)
	announced, deliver := available, available
	if fault == StoreOverstates {
		announced, deliver = levels, levels[:len(levels)/2]
	}
	w.Header().Set(engine.HeaderCachedTokens, strconv.Itoa(totalTokens(announced)))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(alive, cancel)()
	if !s.deliver(ctx, w, deliver) {
		s.mu.Lock()
		s.stats.Cut++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// deliver sends the levels at the store's rate. It returns false if it could not
// send all of them.
func (s *Store) deliver(ctx context.Context, w http.ResponseWriter, levels []prefix.Level) bool {
	if pause.For(ctx, s.o.Latency) != nil {
		return false
	}
	sent := 0
	for _, l := range levels {
		if s.o.Rate > 0 && pause.For(ctx, time.Duration(float64(l.Tokens-sent)/s.o.Rate*float64(time.Second))) != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "%s:%d\n", l.Key, l.Tokens); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
		s.mu.Lock()
		s.stats.Tokens += l.Tokens - sent
		s.mu.Unlock()
		sent = l.Tokens
	}
	return true
}

func totalTokens(levels []prefix.Level) int {
	if len(levels) == 0 {
		return 0
	}
	return levels[len(levels)-1].Tokens
}
