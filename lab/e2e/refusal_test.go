package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
)

// A request with a revoked or mistyped key must be refused with an error that
// names the key, before anything runs.
func TestRefusesUnknownKey(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 1}, func(tb *testbed) {
		a := tb.send(tb.newRequest(http.MethodPost, "/v1/chat/completions", "nobody", chatBody))
		a.expectError(t, http.StatusUnauthorized, gateway.CodeInvalidKey, gateway.OutcomeRefused)
		if n := tb.runners[0].Stats().Requests; n != 0 {
			t.Errorf("the runner received %d requests, want none", n)
		}
	})
}

// Guards against access to an adapter that was trained on another organisation's
// records, through the model name or the header.
func TestRefusesAdapterOfAnotherOrganisation(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 1}, func(tb *testbed) {
		named := strings.Replace(chatBody, `"codes"`, `"codes:tags"`, 1)
		byName := tb.send(tb.newRequest(http.MethodPost, "/v1/chat/completions", tsukushiKey, named))
		byName.expectError(t, http.StatusForbidden, gateway.CodeNotPermitted, gateway.OutcomeRefused)
		byHeader := tb.send(tb.newRequest(http.MethodPost, "/v1/chat/completions", tsukushiKey, chatBody, gateway.HeaderAdapter, "tags"))
		byHeader.expectError(t, http.StatusForbidden, gateway.CodeNotPermitted, gateway.OutcomeRefused)
		if n := tb.runners[0].Stats().Requests; n != 0 {
			t.Errorf("the runner received %d requests, want none", n)
		}
		_, s := tb.streamChat(named)
		s.expectComplete(t)
	})
}

// Invalid requests must be refused with the status and code of their fault. These
// codes are final: a retry of the same request cannot succeed.
func TestRefusesInvalidRequests(t *testing.T) {
	tests := []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{"unknown model", "/v1/chat/completions", `{"model":"x","messages":[{}]}`, nil, 404, gateway.CodeModelNotFound},
		{"unknown path", "/v1/embeddings", `{}`, nil, 404, gateway.CodeUnknownPath},
		{"not JSON", "/v1/chat/completions", `{"model"`, nil, 400, gateway.CodeInvalidRequest},
		{"no messages", "/v1/chat/completions", `{"model":"codes"}`, nil, 400, gateway.CodeInvalidRequest},
		{"no prompt", "/v1/completions", `{"model":"codes"}`, nil, 400, gateway.CodeInvalidRequest},
		{"unknown priority", "/v1/chat/completions", chatBody, []string{gateway.HeaderPriority, "first"}, 400, gateway.CodeInvalidRequest},
		{"malformed deadline", "/v1/chat/completions", chatBody, []string{gateway.HeaderDeadline, "soon"}, 400, gateway.CodeInvalidRequest},
		{"too large", "/v1/chat/completions", strings.Repeat("x", 2000), nil, 413, gateway.CodeTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInTestbed(t, testbedOptions{runners: 1, limits: gateway.Limits{BodyBytes: 1000}}, func(tb *testbed) {
				a := tb.send(tb.newRequest(http.MethodPost, tt.path, registreKey, tt.body, tt.headers...))
				a.expectError(t, tt.status, tt.code, gateway.OutcomeRefused)
			})
		})
	}
}

// When all runners drain and refuse new requests, the caller must get the
// outcome "not run" and a Retry-After header.
func TestOutcomeNotRunWhenAllEndpointsDrain(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 2}, func(tb *testbed) {
		for _, r := range tb.runners {
			r.SetDraining(true)
		}
		a, _ := tb.streamChat(chatBody)
		a.expectError(t, http.StatusServiceUnavailable, gateway.CodeNoEndpoint, gateway.OutcomeNotRun)
		if a.header.Get("Retry-After") != "1" {
			t.Errorf("Retry-After is %q", a.header.Get("Retry-After"))
		}
	})
}

// One runner crashes after it accepted the request, and the other drains and
// refuses it. The first may have run the request, so the outcome must be
// "unknown" and not the "not run" of the last attempt.
func TestOutcomeUnknownAfterAttemptThatMayHaveRun(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 2}, func(tb *testbed) {
		tb.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultBeforeFirstByte})
		tb.runners[1].SetDraining(true)
		a, _ := tb.streamChat(chatBody)
		a.expectError(t, http.StatusBadGateway, gateway.CodeEndpointFailed, gateway.OutcomeUnknown)
	})
}
