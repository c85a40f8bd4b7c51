package quarantineguard

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quarantine"
)

// newGuard returns a running Guard of the only daemon. dial replaces the connections
// to all endpoints.
func newGuard(t *testing.T, dial func() (net.Conn, error)) *Guard {
	t.Helper()
	began := time.Now()
	g := New(Options{
		Self: gossip.Peer{Name: "a"}, Rand: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope,
		Clock: func() time.Duration { return time.Hour + time.Since(began) },
		Dial:  func(context.Context, string, string) (net.Conn, error) { return dial() },
		Log:   logging.Discard().For(logging.ComponentRouter), Send: func(string, []byte) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g
}

var (
	crashing  = quarantine.FingerprintOf("org", "POST", "h", "/x", []byte("deadly"))
	request   = &quarantine.Identity{Request: crashing}
	endpoints = []fleet.EndpointID{"i-1@0", "i-2@0", "i-3@0"}
)

func loseAtAll(g *Guard) {
	for _, e := range endpoints {
		g.Lost(request, 0, quarantine.Endpoint{Key: e, Address: "10.0.0.1:1"})
	}
	time.Sleep(time.Second) // virtual
}

func refuseConnection() (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// A broken connection alone, or a failure in this daemon such as a lack of file
// descriptors, must not count as a crash of an endpoint.
func TestCountsOnlyUnreachableEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		dial func() (net.Conn, error)
		held bool
	}{
		"refuses":     {refuseConnection, true},
		"is silent":   {func() (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT} }, true},
		"takes":       {func() (net.Conn, error) { near, _ := net.Pipe(); return near, nil }, false},
		"no more fds": {func() (net.Conn, error) { return nil, &net.OpError{Op: "socket", Err: syscall.EMFILE} }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGuard(t, c.dial)
				loseAtAll(g)
				if _, held := g.Held(request); held != c.held {
					t.Errorf("held: %v", held)
				}
			})
		})
	}
}

// Operators must be able to list held requests and lift a hold.
func TestListAndLiftHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(t, refuseConnection)
		mux := http.NewServeMux()
		g.RegisterHandlers(mux)
		ask := func(method, path string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, nil))
			return w
		}
		if w := ask(http.MethodGet, "/quarantine"); w.Code != http.StatusOK || w.Body.String() != "[]\n" {
			t.Errorf("nothing is held: %d %q", w.Code, w.Body)
		}
		loseAtAll(g)
		var list []heldRequest
		if err := json.Unmarshal(ask(http.MethodGet, "/quarantine").Body.Bytes(), &list); err != nil {
			t.Fatal(err)
		}
		if len(list) != 1 || list[0].Fingerprint != crashing.String() || list[0].LeftSeconds < 590 || list[0].Ends != 3 {
			t.Errorf("list %+v", list)
		}
		for path, want := range map[string]int{
			"/quarantine/xyz": http.StatusBadRequest,
			"/quarantine/00000000000000000000000000000000": http.StatusNotFound,
			"/quarantine/" + crashing.String():             http.StatusNoContent,
		} {
			if w := ask(http.MethodDelete, path); w.Code != want {
				t.Errorf("%s: %d", path, w.Code)
			}
		}
		if _, held := g.Held(request); held {
			t.Error("it is still held")
		}
	})
}

// Guards against an answer that ended with its connection and acquits the request although
// the endpoint crashed, or that counts as a crash of an endpoint that runs.
func TestChecksEndpointsWhoseAnswersEndWithTheirConnection(t *testing.T) {
	for name, crashed := range map[string]bool{"runs": false, "crashed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var refusing atomic.Bool
				refusing.Store(true)
				g := newGuard(t, func() (net.Conn, error) {
					if refusing.Load() {
						return refuseConnection()
					}
					near, _ := net.Pipe()
					return near, nil
				})
				loseAtAll(g)
				refusing.Store(crashed)
				time.Sleep(2 * checkResultTTL)
				g.Ended(request, 0, quarantine.Endpoint{Key: "i-4@0", Address: "10.0.0.1:1"})
				time.Sleep(time.Second)
				if _, held := g.Held(request); held != crashed {
					t.Errorf("held: %v", held)
				}
			})
		})
	}
}
