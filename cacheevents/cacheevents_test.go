package cacheevents

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/test/bufconn"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
)

// sink records the events and the number of EventsLost calls.
type sink struct {
	mu      sync.Mutex
	batches []placement.EventBatch
	lost    int
}

func (s *sink) CacheEvents(b placement.EventBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batches = append(s.batches, b)
}

func (s *sink) EventsLost(fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
}

// got returns the received batches and how often events were lost.
func (s *sink) got() ([]placement.EventBatch, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batches, s.lost
}

// harness is a Follower with one in-memory endpoint.
type harness struct {
	sink     *sink
	follower *Follower
	mu       sync.Mutex
	requests int
}

func (b *harness) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// runHarness runs a test in virtual time. The handler serve answers the n-th request
// to the endpoint.
func runHarness(t *testing.T, limit int, serve func(n int, w http.ResponseWriter, r *http.Request), test func(b *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &harness{sink: &sink{}}
		l := bufconn.Listen(256 << 10)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.mu.Lock()
			b.requests++
			n := b.requests
			b.mu.Unlock()
			serve(n, w, r)
			_ = http.NewResponseController(w).Flush()
		})}
		go func() { _ = srv.Serve(l) }()
		client := engine.New(engine.Options{
			DialContext:   func(ctx context.Context, _, _ string) (net.Conn, error) { return l.DialContext(ctx) },
			MaxEventBytes: MaxMessageBytes,
			HeaderTimeout: HeaderTimeout,
			StallTimeout:  StallTimeout,
		})
		b.follower = New(Options{Client: client, Sink: b.sink, MaxEndpoints: limit, Seed: 1})
		b.follower.SetEndpoints([]fleet.Endpoint{{ID: "runner-1", Address: "10.0.1.1:8000"}})
		test(b)
		b.follower.Close()
		client.CloseIdle()
		_ = srv.Close()
		_ = l.Close()
	})
}

func message(w io.Writer, seq, incarnation int, events string) {
	fmt.Fprintf(w, "id: %d\ndata: {\"incarnation\":%d,\"events\":[%s]}\n\n", seq, incarnation, events)
}

var stored = `{"kind":"stored","key":"` + strings.Repeat("ab", 16) + `"}`

// holdOpen keeps a stream open until the client closes it.
func holdOpen(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// An engine of another release, or a proxy in between, sends malformed messages.
// Applying part of one would send prompts to caches that do not exist, and a line
// without an end would exhaust the memory.
func TestClosesStreamWithInvalidMessage(t *testing.T) {
	tests := map[string]string{
		"no JSON":        "id: 1\ndata: {x}\n\n",
		"no object":      "id: 1\ndata: []\n\n",
		"no id":          `data: {"incarnation":1,"events":[]}` + "\n\n",
		"negative id":    `id: -4` + "\n" + `data: {"incarnation":1,"events":[]}` + "\n\n",
		"no incarnation": "id: 1\ndata: {\"events\":[" + stored + "]}\n\n",
		"unknown kind":   "id: 1\ndata: {\"incarnation\":1,\"events\":[" + stored + `,{"kind":"moved"}]}` + "\n\n",
		"short key":      "id: 1\ndata: {\"incarnation\":1,\"events\":[{\"kind\":\"stored\",\"key\":\"ab\"}]}\n\n",
		"too many":       "id: 1\ndata: {\"incarnation\":1,\"events\":[" + strings.Repeat(`{"kind":"cleared"},`, MaxEvents) + `{"kind":"cleared"}]}` + "\n\n",
		"end marker":     "data: [DONE]\n\n",
		"endless line":   "data: {" + strings.Repeat("x", 2*MaxMessageBytes),
		"endless fields": "id: 1\n" + strings.Repeat("data: {"+strings.Repeat("x", 4<<10)+"\n", 40),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			runHarness(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, text)
				holdOpen(w, r)
			}, func(b *harness) {
				time.Sleep(10 * time.Second) // virtual
				got, lost := b.sink.got()
				if len(got) != 0 {
					t.Errorf("the sink got %+v, want nothing", got)
				}
				if n := b.count(); lost < 2 || n > 6 {
					t.Errorf("%d requests in 10 s, events lost %d times", n, lost)
				}
			})
		})
	}
}

// An engine crashes and restarts at the same address, with an empty cache and a new
// sequence. Its stream must be followed again soon, under the new incarnation.
func TestReconnectsAfterEngineRestart(t *testing.T) {
	runHarness(t, 1, func(n int, w http.ResponseWriter, r *http.Request) {
		message(w, 100-98*(n-1), n, stored)
		if n == 1 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Second) // virtual
			panic(http.ErrAbortHandler)
		}
		holdOpen(w, r)
	}, func(b *harness) {
		time.Sleep(22 * time.Second) // virtual
		got, lost := b.sink.got()
		if len(got) != 2 || got[0].Incarnation != 1 || got[0].Seq != 100 || got[1].Incarnation != 2 || got[1].Seq != 2 {
			t.Errorf("%+v", got)
		}
		if lost != 1 || b.follower.Stats().Streams != 1 {
			t.Errorf("lost %d times, %+v", lost, b.follower.Stats())
		}
	})
}

// An engine's sequence goes back within one incarnation. Placement ignores events
// with old numbers as duplicates, and its view of the cache would stay out of date.
func TestSequenceResetReportsLostEvents(t *testing.T) {
	runHarness(t, 1, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			message(w, 500, 1, stored)
		}
		message(w, 3, 1, stored)
		holdOpen(w, r)
	}, func(b *harness) {
		time.Sleep(5 * time.Second) // virtual
		if got, lost := b.sink.got(); len(got) != 2 || got[1].Seq != 3 || lost != 1 {
			t.Errorf("%+v, lost %d times", got, lost)
		}
	})
}

// Messages are lost on the way. The sequence numbers show the gap, which is counted.
func TestGapIsCounted(t *testing.T) {
	runHarness(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		message(w, 1, 1, stored)
		message(w, 2, 1, stored)
		message(w, 9, 1, stored)
		holdOpen(w, r)
	}, func(b *harness) {
		time.Sleep(time.Second) // virtual
		if s := b.follower.Stats(); s.Gaps != 1 || s.Events != 3 || s.Failures != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// Engines without event streams answer 404. Daemons must not request them every
// second.
func TestWaitsLongerForUnsupportedEndpoint(t *testing.T) {
	runHarness(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) }, func(b *harness) {
		time.Sleep(DefaultUnsupportedWait/2 - time.Second) // virtual
		if n := b.count(); n != 1 {
			t.Errorf("%d requests, want 1", n)
		}
	})
}

// Each stream breaks immediately. Without a growing wait, daemons would keep the
// engine busy with connections.
func TestReconnectWaitGrows(t *testing.T) {
	runHarness(t, 1, func(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, func(b *harness) {
		time.Sleep(5 * time.Minute) // virtual
		if n := b.count(); n < 8 || n > 30 {
			t.Errorf("%d requests in 5 min, want 8 to 30", n)
		}
	})
}

// With more endpoints than the setting allows, events would cost a daemon more than
// they save, so none is followed; with 0 none is requested at all.
func TestMaxEndpoints(t *testing.T) {
	runHarness(t, 1, holdOpenAlways, func(b *harness) {
		time.Sleep(time.Second) // virtual
		b.follower.SetEndpoints([]fleet.Endpoint{{ID: "a", Address: "10.0.1.1:8000"}, {ID: "b", Address: "10.0.1.2:8000"}})
		time.Sleep(time.Second) // virtual
		_, lost := b.sink.got()
		if s := b.follower.Stats(); s.Streams != 0 || lost != 1 {
			t.Errorf("%+v, lost %d times", s, lost)
		}
	})
	runHarness(t, 0, holdOpenAlways, func(b *harness) {
		time.Sleep(time.Minute) // virtual
		if n := b.count(); n != 0 {
			t.Errorf("%d requests, want 0", n)
		}
	})
}

func holdOpenAlways(_ int, w http.ResponseWriter, r *http.Request) { holdOpen(w, r) }
