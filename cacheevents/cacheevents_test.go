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

// sink notes what it is told.
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

// got returns what came, and how often events were lost.
func (s *sink) got() ([]placement.EventBatch, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batches, s.lost
}

// bench is one endpoint in memory whose n-th stream is what serve writes.
type bench struct {
	sink     *sink
	follower *Follower
	mu       sync.Mutex
	asked    int
}

func (b *bench) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked
}

// inBench runs a test in virtual time.
func inBench(t *testing.T, limit int, serve func(n int, w http.ResponseWriter, r *http.Request), test func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{sink: &sink{}}
		l := bufconn.Listen(256 << 10)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.mu.Lock()
			b.asked++
			n := b.asked
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

func message(w io.Writer, seq, life int, events string) {
	fmt.Fprintf(w, "id: %d\ndata: {\"incarnation\":%d,\"events\":[%s]}\n\n", seq, life, events)
}

var stored = `{"kind":"stored","key":"` + strings.Repeat("ab", 16) + `"}`

// hold keeps a stream open until its reader leaves.
func hold(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// An engine of another release, or something between, writes what cannot be
// read. Half of it taken in would put daemons on caches that do not exist; a
// line without an end would fill the memory.
func TestUnreadableStreamIsGivenUp(t *testing.T) {
	tests := map[string]string{
		"no JSON":        "id: 1\ndata: {x}\n\n",
		"no object":      "id: 1\ndata: []\n\n",
		"no id":          `data: {"incarnation":1,"events":[]}` + "\n\n",
		"negative id":    `id: -4` + "\n" + `data: {"incarnation":1,"events":[]}` + "\n\n",
		"no life":        "id: 1\ndata: {\"events\":[" + stored + "]}\n\n",
		"unknown kind":   "id: 1\ndata: {\"incarnation\":1,\"events\":[" + stored + `,{"kind":"moved"}]}` + "\n\n",
		"short key":      "id: 1\ndata: {\"incarnation\":1,\"events\":[{\"kind\":\"stored\",\"key\":\"ab\"}]}\n\n",
		"too many":       "id: 1\ndata: {\"incarnation\":1,\"events\":[" + strings.Repeat(`{"kind":"cleared"},`, MaxEvents) + `{"kind":"cleared"}]}` + "\n\n",
		"end marker":     "data: [DONE]\n\n",
		"endless line":   "data: {" + strings.Repeat("x", 2*MaxMessageBytes),
		"endless fields": "id: 1\n" + strings.Repeat("data: {"+strings.Repeat("x", 4<<10)+"\n", 40),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			inBench(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, text)
				hold(w, r)
			}, func(b *bench) {
				time.Sleep(10 * time.Second) // virtual
				got, lost := b.sink.got()
				if len(got) != 0 {
					t.Errorf("taken in: %+v", got)
				}
				if n := b.count(); lost < 2 || n > 6 {
					t.Errorf("asked %d times in 10 s, lost %d times", n, lost)
				}
			})
		})
	}
}

// An engine crashes and is back empty under its address, with its sequence
// begun anew. Its stream must be followed again soon, under its new life.
func TestStreamIsFollowedAgainAfterACrash(t *testing.T) {
	inBench(t, 1, func(n int, w http.ResponseWriter, r *http.Request) {
		message(w, 100-98*(n-1), n, stored)
		if n == 1 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Second) // virtual
			panic(http.ErrAbortHandler)
		}
		hold(w, r)
	}, func(b *bench) {
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

// An engine's sequence goes back within one life. Placement takes what has an
// old number for a repetition, and would believe the old cache for long.
func TestSequenceThatGoesBackIsLost(t *testing.T) {
	inBench(t, 1, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			message(w, 500, 1, stored)
		}
		message(w, 3, 1, stored)
		hold(w, r)
	}, func(b *bench) {
		time.Sleep(5 * time.Second) // virtual
		if got, lost := b.sink.got(); len(got) != 2 || got[1].Seq != 3 || lost != 1 {
			t.Errorf("%+v, lost %d times", got, lost)
		}
	})
}

// Messages go missing on the way. The numbers show it, and it is counted.
func TestGapIsCounted(t *testing.T) {
	inBench(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		message(w, 1, 1, stored)
		message(w, 2, 1, stored)
		message(w, 9, 1, stored)
		hold(w, r)
	}, func(b *bench) {
		time.Sleep(time.Second) // virtual
		if s := b.follower.Stats(); s.Gaps != 1 || s.Events != 3 || s.Failures != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// Engines that know no events are many. Asked every second by each daemon they
// would answer 404 all day.
func TestEndpointWithoutEventsIsNotAskedAgainSoon(t *testing.T) {
	inBench(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) }, func(b *bench) {
		time.Sleep(DefaultUnsupportedWait/2 - time.Second) // virtual
		if n := b.count(); n != 1 {
			t.Errorf("asked %d times", n)
		}
	})
}

// A stream breaks at once each time. Daemons that came back without a growing
// wait would keep the engine busy with connections.
func TestWaitsGrow(t *testing.T) {
	inBench(t, 1, func(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, func(b *bench) {
		time.Sleep(5 * time.Minute) // virtual
		if n := b.count(); n < 8 || n > 30 {
			t.Errorf("asked %d times in 5 min", n)
		}
	})
}

// With more runners than the setting allows, a daemon would spend more on
// events than they are worth; with 0 it must not ask at all.
func TestLimitIsKept(t *testing.T) {
	inBench(t, 1, hold1, func(b *bench) {
		time.Sleep(time.Second) // virtual
		b.follower.SetEndpoints([]fleet.Endpoint{{ID: "a", Address: "10.0.1.1:8000"}, {ID: "b", Address: "10.0.1.2:8000"}})
		time.Sleep(time.Second) // virtual
		_, lost := b.sink.got()
		if s := b.follower.Stats(); s.Streams != 0 || lost != 1 {
			t.Errorf("%+v, lost %d times", s, lost)
		}
	})
	inBench(t, 0, hold1, func(b *bench) {
		time.Sleep(time.Minute) // virtual
		if n := b.count(); n != 0 {
			t.Errorf("asked %d times", n)
		}
	})
}

func hold1(_ int, w http.ResponseWriter, r *http.Request) { hold(w, r) }
