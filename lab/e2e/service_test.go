package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
)

// memoryClaimer is a gateway.Claimer that keeps claims in memory instead of the
// log. The first call with a key runs; later ones get its stored answer, or
// gateway.ClaimUnknown while there is none.
type memoryClaimer struct {
	mu        sync.Mutex
	begun     map[string]bool
	stored    map[string]gateway.StoredAnswer
	abandoned int
}

func newMemoryClaimer() *memoryClaimer {
	return &memoryClaimer{begun: make(map[string]bool), stored: make(map[string]gateway.StoredAnswer)}
}

func (k *memoryClaimer) Claim(_ context.Context, r gateway.ClaimRequest) (gateway.Claim, error) {
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

func (tb *testbed) sideEffects() (total int) {
	for _, s := range tb.services {
		for _, n := range s.Effects() {
			total += n
		}
	}
	return total
}

// An endpoint runs a call that issues a receipt, and its connection breaks before
// the answer. The call must not be retried, for any method and headers and also on
// a reused idle connection, where the HTTP transport may retry by itself. The
// receipt must be issued once and the outcome must be "unknown".
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	tests := []struct {
		name, method, body string
		headers            []string
	}{
		{"POST", http.MethodPost, "deed 7", nil},
		{"POST with a key", http.MethodPost, "deed 7", []string{"Idempotency-Key", "k1"}},
		{"POST with a key and no body", http.MethodPost, "", []string{"Idempotency-Key", "k1"}},
		{"POST with header X-Idempotency-Key", http.MethodPost, "", []string{"X-Idempotency-Key", "k1"}},
		{"DELETE", http.MethodDelete, "", nil},
		{"OPTIONS", http.MethodOptions, "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInTestbed(t, testbedOptions{services: 2, claimer: newMemoryClaimer()}, func(tb *testbed) {
				// Leaves an idle connection to the first endpoint.
				tb.send(tb.newRequest(http.MethodGet, "/receipts/1", registreKey, ""))
				tb.services[0].InjectFaults(standin.Fault{Kind: standin.FaultAfterRun})
				a := tb.send(tb.newRequest(tt.method, "/receipts/2", registreKey, tt.body, tt.headers...))
				a.expectError(t, http.StatusBadGateway, gateway.CodeEndpointFailed, gateway.OutcomeUnknown)
				if n := tb.sideEffects(); n != 1 {
					t.Errorf("%d receipts were issued, want 1", n)
				}
			})
		})
	}
}

// A call that the manifest marks as idempotent fails at the first endpoint. It
// must be retried at the next one, and the caller must get a normal answer.
func TestRetriesIdempotentCall(t *testing.T) {
	for _, kind := range []standin.FaultKind{standin.FaultAfterRun, standin.FaultContentLength, standin.FaultWrongAttempt, standin.FaultEndlessHeader} {
		runInTestbed(t, testbedOptions{services: 2}, func(tb *testbed) {
			tb.services[0].InjectFaults(standin.Fault{Kind: kind})
			a := tb.send(tb.newRequest(http.MethodGet, "/receipts/1", registreKey, ""))
			if a.status != http.StatusOK || a.err != nil || tb.services[1].Calls() != 1 {
				t.Errorf("fault %d: got %d %s", kind, a.status, a.body)
			}
		})
	}
}

// The first endpoint drains and reports that it did not run the call. A retry is
// safe then, so the call must run at the next endpoint, exactly once.
func TestRetriesCallThatEndpointReportsNotRun(t *testing.T) {
	runInTestbed(t, testbedOptions{services: 2}, func(tb *testbed) {
		tb.services[0].SetDraining(true)
		a := tb.send(tb.newRequest(http.MethodPost, "/receipts/2", registreKey, "deed"))
		if a.status != http.StatusOK || tb.sideEffects() != 1 || tb.services[1].Calls() != 1 {
			t.Errorf("got %d %s, effects %d", a.status, a.body, tb.sideEffects())
		}
	})
}

// An answer with "not run" names no attempt or another one, so it may belong to
// another request. The call may have run and must not be retried.
func TestIgnoresNotRunOfAnotherAttempt(t *testing.T) {
	for _, echo := range []string{"", "another-request-1"} {
		runInTestbed(t, testbedOptions{}, func(tb *testbed) {
			calls := 0
			refuse := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				calls++
				rw.Header().Set(engine.HeaderNotRun, "true")
				if echo != "" {
					rw.Header().Set(engine.HeaderAttempt, echo)
				}
				rw.WriteHeader(http.StatusServiceUnavailable)
			})
			tb.addEndpoint("odd-1", "counter", "10.0.3.1:8000", refuse)
			tb.addEndpoint("odd-2", "counter", "10.0.3.2:8000", refuse)
			a := tb.send(tb.newRequest(http.MethodPost, "/receipts/2", registreKey, "deed"))
			if calls != 1 || a.header.Get(gateway.HeaderOutcome) == string(gateway.OutcomeNotRun) {
				t.Errorf("echo %q: %d calls, got %d %s", echo, calls, a.status, a.body)
			}
		})
	}
}

// A caller disconnects while its call runs and retries with the same idempotency
// key. The call must run once, and its answer must be stored for later retries;
// otherwise they would get "outcome unknown" forever.
func TestStoresAnswerAfterCallerDisconnects(t *testing.T) {
	runInTestbed(t, testbedOptions{services: 1, claimer: newMemoryClaimer()}, func(tb *testbed) {
		tb.services[0].Delay = 5 * time.Second
		ctx, cancel := context.WithTimeout(tb.t.Context(), time.Second)
		defer cancel()
		req := tb.newRequest(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1")
		if _, err := tb.client.Do(req.WithContext(ctx)); err == nil { //nolint:bodyclose // there is no answer
			t.Fatal("the caller got an answer before its timeout")
		}
		again := tb.send(tb.newRequest(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1"))
		again.expectError(t, http.StatusConflict, gateway.CodeOutcomeUnknown, gateway.OutcomeUnknown)
		time.Sleep(10 * time.Second) // virtual
		later := tb.send(tb.newRequest(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1"))
		want := `{"endpoint":"counter-1","number":1,"method":"POST","path":"/receipts/2","bytes":4}`
		if later.status != http.StatusOK || later.body != want || tb.sideEffects() != 1 {
			t.Errorf("got %d %s, effects %d", later.status, later.body, tb.sideEffects())
		}
	})
}

// No endpoint is reachable, so the call cannot have run. The claim must be
// abandoned, so that a later call with the same key can run.
func TestAbandonsClaimWhenNothingWasSent(t *testing.T) {
	claimer := newMemoryClaimer()
	runInTestbed(t, testbedOptions{claimer: claimer}, func(tb *testbed) {
		a := tb.send(tb.newRequest(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1"))
		a.expectError(t, http.StatusServiceUnavailable, gateway.CodeNoEndpoint, gateway.OutcomeNotRun)
		if claimer.abandoned != 1 || claimer.begun["k1"] {
			t.Errorf("claims abandoned: %d, want 1, with key k1 unclaimed", claimer.abandoned)
		}
	})
}

// Without a log that holds claims, calls with the same idempotency key might run
// at two daemons. They must be refused with the outcome "not run".
func TestRefusesIdempotencyKeyWithoutClaims(t *testing.T) {
	runInTestbed(t, testbedOptions{services: 1}, func(tb *testbed) {
		a := tb.send(tb.newRequest(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1"))
		a.expectError(t, http.StatusServiceUnavailable, gateway.CodeClaimUnavailable, gateway.OutcomeNotRun)
		if tb.sideEffects() != 0 {
			t.Error("the call ran")
		}
	})
}

// A path with dot segments may match an idempotent call, while a service that
// resolves the segments runs another one.
func TestRefusesPathWithDotSegments(t *testing.T) {
	runInTestbed(t, testbedOptions{services: 1}, func(tb *testbed) {
		for _, path := range []string{"/receipts/../admin", "/receipts/%2e%2e/admin", "/receipts//x"} {
			a := tb.send(tb.newRequest(http.MethodGet, path, registreKey, ""))
			a.expectError(t, http.StatusBadRequest, gateway.CodeInvalidRequest, gateway.OutcomeRefused)
		}
		if n := tb.services[0].Calls(); n != 0 {
			t.Errorf("the service received %d calls, want none", n)
		}
	})
}

// The connection of a service breaks after more of its answer was relayed than
// the gateway buffers. The caller's connection must break too, or the truncated
// answer would look complete.
func TestTruncatedLongAnswerBreaksConnection(t *testing.T) {
	runInTestbed(t, testbedOptions{limits: gateway.Limits{AnswerBufferBytes: 1000}}, func(tb *testbed) {
		var runs atomic.Int64
		for i, id := range []fleet.EndpointID{"long", "longer"} {
			tb.addEndpoint(id, "counter", fmt.Sprintf("10.0.3.%d:8000", i+1), http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				for range 10 {
					_, _ = rw.Write(make([]byte, 1000))
					_ = http.NewResponseController(rw).Flush()
				}
				panic(http.ErrAbortHandler)
			}))
		}
		a := tb.send(tb.newRequest(http.MethodGet, "/receipts/1", registreKey, ""))
		if a.status != http.StatusOK || a.err == nil || len(a.body) > 10_000 || runs.Load() != 1 {
			t.Errorf("got %d with %d bytes and error %v after %d runs, want one answer cut off", a.status, len(a.body), a.err, runs.Load())
		}
	})
}
