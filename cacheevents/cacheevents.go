// Package cacheevents follows what engines tell of their caches and hands it to
// placement.
//
// Each endpoint is followed by one goroutine with one connection, so their
// number is bounded by Options.Limit; with more endpoints none is followed and
// the daemon learns from answers alone. A stream that ends, stalls, goes back in
// its sequence or cannot be read is given up: placement is told that events are
// lost, and the endpoint is asked again after a growing, jittered wait.
//
// The Follower's mutex is not held while the Sink is called.
package cacheevents

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"

	"github.com/merlindock/merlindock/internal/pause"
)

// Bounds of a stream and of the waits between two.
const (
	MaxMessageBytes = 64 << 10 // one message of an endpoint
	MaxEvents       = 1024     // in one message

	DefaultMinWait         = 500 * time.Millisecond
	DefaultMaxWait         = 30 * time.Second
	DefaultUnsupportedWait = 5 * time.Minute  // before one that knows no events is asked again
	HeaderTimeout          = 2 * time.Second  // until an endpoint begins to answer
	StallTimeout           = 30 * time.Second // without a message; one is due every ten seconds
	steadyAfter            = 5 * time.Second  // a stream that lasted so long counts as working
	messageFrameBytes      = len("id: \ndata: \n\n")
)

// Sender sends attempts to endpoints; *engine.Client is one.
type Sender interface {
	Send(ctx context.Context, a *engine.Attempt) (*engine.Answer, error)
}

// Sink takes what was learnt; *placement.SharedView is one. It is called from
// several goroutines.
type Sink interface {
	CacheEvents(b placement.EventBatch)
	EventsLost(id fleet.EndpointID)
}

// Options are what a Follower needs.
type Options struct {
	Client       Sender // its bounds should be those of this package
	Sink         Sink
	MaxEndpoints int              // endpoints followed at most; with more, none is
	Seed         uint64           // of the jitter
	Now          func() time.Time // nil: time.Now
	// Waits between two streams; zero values take the defaults.
	MinWait, MaxWait, UnsupportedWait time.Duration
}

// Follower follows the events of a changing set of endpoints.
type Follower struct {
	o        Options
	bytes    atomic.Int64
	events   atomic.Int64
	gaps     atomic.Int64
	failures atomic.Int64
	streams  atomic.Int64

	mu     sync.Mutex // guards what follows
	closed bool
	open   map[fleet.EndpointID]*follow
	rng    *rand.Rand
	group  sync.WaitGroup
}

// follow is one endpoint that is followed.
type follow struct {
	endpoint fleet.Endpoint
	cancel   context.CancelFunc
	seen     bool
}

// New returns a Follower of no endpoints. Close must be called.
func New(o Options) *Follower {
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.MinWait, DefaultMinWait)
	setDefault(&o.MaxWait, DefaultMaxWait)
	setDefault(&o.UnsupportedWait, DefaultUnsupportedWait)
	return &Follower{
		o:    o,
		open: make(map[fleet.EndpointID]*follow),
		rng:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

func setDefault(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}

// SetEndpoints says which endpoints to follow from now on. It does not wait.
func (f *Follower) SetEndpoints(endpoints []fleet.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	if len(endpoints) > f.o.MaxEndpoints {
		endpoints = nil
	}
	for _, e := range endpoints {
		o := f.open[e.ID]
		if o != nil && o.endpoint.Address != e.Address {
			o.cancel()
			o = nil
		}
		if o == nil {
			o = f.start(e)
		}
		o.seen = true
	}
	for id, o := range f.open {
		if !o.seen {
			o.cancel()
			delete(f.open, id)
		}
		o.seen = false
	}
}

// start begins to follow an endpoint. The caller holds mu.
func (f *Follower) start(e fleet.Endpoint) *follow {
	ctx, cancel := context.WithCancel(context.Background())
	o := &follow{endpoint: e, cancel: cancel}
	f.open[e.ID] = o
	f.group.Go(func() { f.run(ctx, e) })
	return o
}

// Close ends all streams and waits for their goroutines.
func (f *Follower) Close() {
	f.mu.Lock()
	f.closed = true
	for id, o := range f.open {
		o.cancel()
		delete(f.open, id)
	}
	f.mu.Unlock()
	f.group.Wait()
}

// Stats counts since the Follower was made; Streams are those open now.
type Stats struct {
	Bytes    int64 `json:"bytes"` // of messages read
	Events   int64 `json:"events"`
	Gaps     int64 `json:"gaps"`     // holes in sequences
	Failures int64 `json:"failures"` // streams that could not be had or ended
	Streams  int64 `json:"streams"`
}

// Stats returns the counts.
func (f *Follower) Stats() Stats {
	return Stats{
		Bytes:    f.bytes.Load(),
		Events:   f.events.Load(),
		Gaps:     f.gaps.Load(),
		Failures: f.failures.Load(),
		Streams:  f.streams.Load(),
	}
}

// run follows one endpoint until ctx ends.
func (f *Follower) run(ctx context.Context, e fleet.Endpoint) {
	wait := f.o.MinWait
	for {
		began := f.o.Now()
		known := f.stream(ctx, e)
		f.o.Sink.EventsLost(e.ID)
		if ctx.Err() != nil {
			return
		}
		f.failures.Add(1)
		if f.o.Now().Sub(began) >= steadyAfter {
			wait = f.o.MinWait
		}
		pause := f.o.UnsupportedWait
		if known {
			pause = wait
			wait = min(2*wait, f.o.MaxWait)
		}
		if !f.rest(ctx, pause) {
			return
		}
	}
}

// rest waits between half and one and a half of d, so that daemons whose
// streams broke together do not come back together. It returns false when ctx
// has ended.
func (f *Follower) rest(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	d = d/2 + time.Duration(f.rng.Int64N(int64(d)))
	f.mu.Unlock()
	return pause.For(ctx, d) == nil
}
