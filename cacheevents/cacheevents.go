// Package cacheevents follows the streams of cache events of engines and passes the
// events to placement.
//
// Each endpoint is followed by one goroutine with one connection, so their
// number is bounded by Options.MaxEndpoints; with more endpoints none is followed
// and placement observes caches from answers alone. A stream that ends, stalls, goes
// back in its sequence or is malformed is closed: placement is notified of lost
// events, and the endpoint is requested again after a growing, jittered wait.
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

// Bounds of a stream and of the waits between two streams of an endpoint.
const (
	MaxMessageBytes = 64 << 10 // of one message of an endpoint
	MaxEvents       = 1024     // in one message

	DefaultMinWait         = 500 * time.Millisecond
	DefaultMaxWait         = 30 * time.Second
	DefaultUnsupportedWait = 5 * time.Minute  // until an endpoint without event streams is requested again
	HeaderTimeout          = 2 * time.Second  // until the headers of an answer
	StallTimeout           = 30 * time.Second // without a message; endpoints send one every ten seconds
	stableAfter            = 5 * time.Second  // a stream that lasted so long resets the wait
	messageFramingBytes    = len("id: \ndata: \n\n")
)

// Sender sends requests to endpoints; *engine.Client implements it.
type Sender interface {
	Send(ctx context.Context, a *engine.Attempt) (*engine.Answer, error)
}

// Sink receives the events; *placement.SharedView implements it. It is called from
// several goroutines.
type Sink interface {
	CacheEvents(b placement.EventBatch)
	EventsLost(id fleet.EndpointID)
}

// Options configures a Follower.
type Options struct {
	Client       Sender // should use the bounds and timeouts of this package
	Sink         Sink
	MaxEndpoints int              // with more endpoints than this, none is followed
	Seed         uint64           // of the jitter
	Now          func() time.Time // nil: time.Now
	// Waits between two streams of an endpoint; zero values mean the defaults.
	MinWait, MaxWait, UnsupportedWait time.Duration
}

// Follower follows the cache events of a changing set of endpoints.
type Follower struct {
	opts     Options
	bytes    atomic.Int64
	events   atomic.Int64
	gaps     atomic.Int64
	failures atomic.Int64
	streams  atomic.Int64

	mu            sync.Mutex // guards the fields below
	closed        bool
	subscriptions map[fleet.EndpointID]*subscription
	rng           *rand.Rand
	group         sync.WaitGroup
}

// subscription is the stream of one followed endpoint.
type subscription struct {
	endpoint fleet.Endpoint
	cancel   context.CancelFunc
	wanted   bool
}

// New returns a Follower without endpoints. Close must be called to end it.
func New(o Options) *Follower {
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.MinWait, DefaultMinWait)
	setDefault(&o.MaxWait, DefaultMaxWait)
	setDefault(&o.UnsupportedWait, DefaultUnsupportedWait)
	return &Follower{
		opts:          o,
		subscriptions: make(map[fleet.EndpointID]*subscription),
		rng:           rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

func setDefault(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}

// SetEndpoints replaces the set of followed endpoints. It does not wait for streams
// to open or close. After Close it does nothing.
func (f *Follower) SetEndpoints(endpoints []fleet.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	if len(endpoints) > f.opts.MaxEndpoints {
		endpoints = nil
	}
	for _, e := range endpoints {
		sub := f.subscriptions[e.ID]
		if sub != nil && sub.endpoint.Address != e.Address {
			sub.cancel()
			sub = nil
		}
		if sub == nil {
			sub = f.start(e)
		}
		sub.wanted = true
	}
	for id, sub := range f.subscriptions {
		if !sub.wanted {
			sub.cancel()
			delete(f.subscriptions, id)
		}
		sub.wanted = false
	}
}

// start starts the goroutine that follows an endpoint. The caller holds mu.
func (f *Follower) start(e fleet.Endpoint) *subscription {
	ctx, cancel := context.WithCancel(context.Background())
	sub := &subscription{endpoint: e, cancel: cancel}
	f.subscriptions[e.ID] = sub
	f.group.Go(func() { f.run(ctx, e) })
	return sub
}

// Close closes all streams and waits for their goroutines.
func (f *Follower) Close() {
	f.mu.Lock()
	f.closed = true
	for id, sub := range f.subscriptions {
		sub.cancel()
		delete(f.subscriptions, id)
	}
	f.mu.Unlock()
	f.group.Wait()
}

// Stats holds counts since the Follower was created; Streams is the number of
// currently open streams.
type Stats struct {
	Bytes    int64 `json:"bytes"` // of messages read
	Events   int64 `json:"events"`
	Gaps     int64 `json:"gaps"`     // in sequence numbers
	Failures int64 `json:"failures"` // streams that failed to open or ended
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
	wait := f.opts.MinWait
	for {
		began := f.opts.Now()
		supported := f.stream(ctx, e)
		f.opts.Sink.EventsLost(e.ID)
		if ctx.Err() != nil {
			return
		}
		f.failures.Add(1)
		if f.opts.Now().Sub(began) >= stableAfter {
			wait = f.opts.MinWait
		}
		delay := f.opts.UnsupportedWait
		if supported {
			delay = wait
			wait = min(2*wait, f.opts.MaxWait)
		}
		if !f.waitJittered(ctx, delay) {
			return
		}
	}
}

// waitJittered waits between 0.5 and 1.5 times d, so that daemons whose streams
// broke at the same time do not reconnect at the same time. It returns false when
// ctx has ended.
func (f *Follower) waitJittered(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	d = d/2 + time.Duration(f.rng.Int64N(int64(d)))
	f.mu.Unlock()
	return pause.For(ctx, d) == nil
}
