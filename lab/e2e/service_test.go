package e2e

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
)

// keyRing stands for the claims kept in the log: the first call with a key
// runs, a later one gets its answer or learns that nobody knows.
type keyRing struct {
	mu        sync.Mutex
	begun     map[string]bool
	stored    map[string]gateway.StoredAnswer
	abandoned int
}

func newKeyRing() *keyRing {
	return &keyRing{begun: make(map[string]bool), stored: make(map[string]gateway.StoredAnswer)}
}

func (k *keyRing) Claim(_ context.Context, r gateway.ClaimRequest) (gateway.Claim, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a, ok := k.stored[r.Key]; ok {
		return gateway.Claim{Decision: gateway.ClaimStored, Stored: a}, nil
	}
	if k.begun[r.Key] {
		return gateway.Claim{Decision: gateway.ClaimUnknown}, nil
	}
	k.begun[r.Key] = true
	return gateway.Claim{
		Decision: gateway.ClaimRun,
		Complete: func(_ context.Context, a gateway.StoredAnswer) error {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.stored[r.Key] = a
			return nil
		},
		Abandon: func(context.Context) error {
			k.mu.Lock()
			defer k.mu.Unlock()
			delete(k.begun, r.Key)
			k.abandoned++
			return nil
		},
	}, nil
}

func (w *world) effects() (total int) {
	for _, s := range w.services {
		for _, n := range s.Effects() {
			total += n
		}
	}
	return total
}

// A counter runner takes a call, issues the receipt, and its connection breaks
// before the answer. Whatever the method and headers, on a fresh connection or
// one that was idle, the receipt must not be issued twice, and the caller must
// not read "not run".
func TestCallThatMayNotBeRepeatedIsSentOnce(t *testing.T) {
	tests := []struct {
		name, method, body string
		headers            []string
	}{
		{"POST", http.MethodPost, "deed 7", nil},
		{"POST with a key", http.MethodPost, "deed 7", []string{"Idempotency-Key", "k1"}},
		{"POST with a key and no body", http.MethodPost, "", []string{"Idempotency-Key", "k1"}},
		{"POST with the other key header", http.MethodPost, "", []string{"X-Idempotency-Key", "k1"}},
		{"DELETE", http.MethodDelete, "", nil},
		{"OPTIONS", http.MethodOptions, "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, worldOptions{services: 2, claimer: newKeyRing()}, func(w *world) {
				// Leaves an idle connection to the first runner.
				w.do(w.request(http.MethodGet, "/receipts/1", registreKey, ""))
				w.services[0].InjectFaults(standin.Fault{Kind: standin.FaultAfterRun})
				a := w.do(w.request(tt.method, "/receipts/2", registreKey, tt.body, tt.headers...))
				a.expect(t, http.StatusBadGateway, gateway.CodeEndpointFailed, gateway.OutcomeUnknown)
				if n := w.effects(); n != 1 {
					t.Errorf("the effect happened %d times", n)
				}
			})
		})
	}
}

// A call that the manifest lets be repeated meets a counter runner that dies.
// The caller gets its answer from the next one and notices nothing.
func TestIdempotentCallIsSentAgain(t *testing.T) {
	for _, kind := range []standin.FaultKind{standin.FaultAfterRun, standin.FaultContentLength, standin.FaultWrongAttempt, standin.FaultEndlessHeader} {
		inWorld(t, worldOptions{services: 2}, func(w *world) {
			w.services[0].InjectFaults(standin.Fault{Kind: kind})
			a := w.do(w.request(http.MethodGet, "/receipts/1", registreKey, ""))
			if a.status != http.StatusOK || a.err != nil || w.services[1].Calls() != 1 {
				t.Errorf("fault %d: got %d %s", kind, a.status, a.body)
			}
		})
	}
}

// The first counter runner is leaving and says that it did not run the call.
// That is known, so the call goes to the next, once.
func TestCallGoesOnWhenTheEndpointSaysNotRun(t *testing.T) {
	inWorld(t, worldOptions{services: 2}, func(w *world) {
		w.services[0].SetDraining(true)
		a := w.do(w.request(http.MethodPost, "/receipts/2", registreKey, "deed"))
		if a.status != http.StatusOK || w.effects() != 1 || w.services[1].Calls() != 1 {
			t.Errorf("got %d %s, effects %d", a.status, a.body, w.effects())
		}
	})
}

// An answer says "not run" and names no attempt, or another one: it may be
// somebody else's. The call may have run, so it is not sent again.
func TestNotRunOfAnotherAttemptIsNotBelieved(t *testing.T) {
	for _, echo := range []string{"", "another-request-1"} {
		inWorld(t, worldOptions{}, func(w *world) {
			calls := 0
			refuse := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				calls++
				rw.Header().Set(engine.HeaderNotRun, "true")
				if echo != "" {
					rw.Header().Set(engine.HeaderAttempt, echo)
				}
				rw.WriteHeader(http.StatusServiceUnavailable)
			})
			w.endpoint("odd-1", "counter", "10.0.3.1:8000", refuse)
			w.endpoint("odd-2", "counter", "10.0.3.2:8000", refuse)
			a := w.do(w.request(http.MethodPost, "/receipts/2", registreKey, "deed"))
			if calls != 1 || a.header.Get(gateway.HeaderOutcome) == string(gateway.OutcomeNotRun) {
				t.Errorf("echo %q: %d calls, got %d %s", echo, calls, a.status, a.body)
			}
		})
	}
}

// A clerk's browser gives up while the booking runs and tries again with the
// same key. The booking must stand once, and the second try must get the
// answer of the first instead of "outcome unknown" for good.
func TestAnswerIsKeptForACallerThatLeft(t *testing.T) {
	inWorld(t, worldOptions{services: 1, claimer: newKeyRing()}, func(w *world) {
		w.services[0].Delay = 5 * time.Second
		ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
		defer cancel()
		req := w.request(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1")
		if _, err := w.client.Do(req.WithContext(ctx)); err == nil { //nolint:bodyclose // there is no answer
			t.Fatal("the caller did not leave")
		}
		again := w.do(w.request(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1"))
		again.expect(t, http.StatusConflict, gateway.CodeOutcomeUnknown, gateway.OutcomeUnknown)
		time.Sleep(10 * time.Second) // virtual
		later := w.do(w.request(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1"))
		want := `{"endpoint":"counter-1","number":1,"method":"POST","path":"/receipts/2","bytes":4}`
		if later.status != http.StatusOK || later.body != want || w.effects() != 1 {
			t.Errorf("got %d %s, effects %d", later.status, later.body, w.effects())
		}
	})
}

// No counter runner can be reached. The call certainly did not run, so its key
// is given back, and the same key runs it once they are there again.
func TestKeyIsGivenBackWhenNothingWasSent(t *testing.T) {
	ring := newKeyRing()
	inWorld(t, worldOptions{claimer: ring}, func(w *world) {
		a := w.do(w.request(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1"))
		a.expect(t, http.StatusServiceUnavailable, gateway.CodeNoEndpoint, gateway.OutcomeNotRun)
		if ring.abandoned != 1 || ring.begun["k1"] {
			t.Errorf("the key was given back %d times", ring.abandoned)
		}
	})
}

// Without a log to claim keys in, a keyed call might run twice over two
// daemons. It is refused as not run instead.
func TestKeyedCallIsRefusedWithoutClaims(t *testing.T) {
	inWorld(t, worldOptions{services: 1}, func(w *world) {
		a := w.do(w.request(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1"))
		a.expect(t, http.StatusServiceUnavailable, gateway.CodeClaimUnavailable, gateway.OutcomeNotRun)
		if w.effects() != 0 {
			t.Error("the call ran")
		}
	})
}

// A path with dot segments looks like a call that may be repeated and reaches
// another one at a service that resolves them.
func TestPathWithDotSegmentsIsRefused(t *testing.T) {
	inWorld(t, worldOptions{services: 1}, func(w *world) {
		for _, path := range []string{"/receipts/../admin", "/receipts/%2e%2e/admin", "/receipts//x"} {
			a := w.do(w.request(http.MethodGet, path, registreKey, ""))
			a.expect(t, http.StatusBadRequest, gateway.CodeInvalidRequest, gateway.OutcomeRefused)
		}
		if n := w.services[0].Calls(); n != 0 {
			t.Errorf("the service took %d calls", n)
		}
	})
}

// A service announces a long answer, and its connection breaks after more than
// a daemon holds has gone out. The caller must see its answer broken off, not a
// short one that looks whole.
func TestLongAnswerThatBreaksIsSeenAsBroken(t *testing.T) {
	inWorld(t, worldOptions{limits: gateway.Limits{AnswerBufferBytes: 1000}}, func(w *world) {
		w.endpoint("long", "counter", "10.0.3.1:8000", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			for range 10 {
				_, _ = rw.Write(make([]byte, 1000))
				_ = http.NewResponseController(rw).Flush()
			}
			panic(http.ErrAbortHandler)
		}))
		a := w.do(w.request(http.MethodGet, "/receipts/1", registreKey, ""))
		if a.status != http.StatusOK || a.err == nil {
			t.Errorf("got %d with %d bytes and no error", a.status, len(a.body))
		}
	})
}
