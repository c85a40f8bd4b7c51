package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
)

// A caller's key was withdrawn, or mistyped. The caller sees at once that the
// key is the trouble, and that nothing ran.
func TestUnknownKeyIsRefused(t *testing.T) {
	inWorld(t, worldOptions{runners: 1}, func(w *world) {
		a := w.do(w.request(http.MethodPost, "/v1/chat/completions", "nobody", chatBody))
		a.expect(t, http.StatusUnauthorized, gateway.CodeInvalidKey, gateway.OutcomeRefused)
		if n := w.runners[0].Stats().Requests; n != 0 {
			t.Errorf("the runner took %d requests", n)
		}
	})
}

// An organisation asks for an adapter trained on another's records, by the
// model's name or by header. It must not get a single token from it.
func TestOtherOrganisationsAdapterIsRefused(t *testing.T) {
	inWorld(t, worldOptions{runners: 1}, func(w *world) {
		named := strings.Replace(chatBody, `"codes"`, `"codes:tags"`, 1)
		byName := w.do(w.request(http.MethodPost, "/v1/chat/completions", tsukushiKey, named))
		byName.expect(t, http.StatusForbidden, gateway.CodeNotPermitted, gateway.OutcomeRefused)
		byHeader := w.do(w.request(http.MethodPost, "/v1/chat/completions", tsukushiKey, chatBody, gateway.HeaderAdapter, "tags"))
		byHeader.expect(t, http.StatusForbidden, gateway.CodeNotPermitted, gateway.OutcomeRefused)
		if n := w.runners[0].Stats().Requests; n != 0 {
			t.Errorf("the runner took %d requests", n)
		}
		_, s := w.stream(named)
		s.whole(t)
	})
}

// A request names what is not there, is not JSON, or is larger than a daemon
// will hold. The caller is told which, and repeating it will not help.
func TestUnusableRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{"no such model", "/v1/chat/completions", `{"model":"x","messages":[{}]}`, nil, 404, gateway.CodeModelNotFound},
		{"no such path", "/v1/embeddings", `{}`, nil, 404, gateway.CodeUnknownPath},
		{"not JSON", "/v1/chat/completions", `{"model"`, nil, 400, gateway.CodeInvalidRequest},
		{"no messages", "/v1/chat/completions", `{"model":"codes"}`, nil, 400, gateway.CodeInvalidRequest},
		{"no prompt", "/v1/completions", `{"model":"codes"}`, nil, 400, gateway.CodeInvalidRequest},
		{"odd priority", "/v1/chat/completions", chatBody, []string{gateway.HeaderPriority, "first"}, 400, gateway.CodeInvalidRequest},
		{"odd deadline", "/v1/chat/completions", chatBody, []string{gateway.HeaderDeadline, "soon"}, 400, gateway.CodeInvalidRequest},
		{"too large", "/v1/chat/completions", strings.Repeat("x", 2000), nil, 413, gateway.CodeTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, worldOptions{runners: 1, limits: gateway.Limits{BodyBytes: 1000}}, func(w *world) {
				a := w.do(w.request(http.MethodPost, tt.path, registreKey, tt.body, tt.headers...))
				a.expect(t, tt.status, tt.code, gateway.OutcomeRefused)
			})
		})
	}
}

// All runners are leaving and refuse new work. The caller learns that nothing
// ran and when to come back.
func TestRefusalByAllEndpointsIsNotRun(t *testing.T) {
	inWorld(t, worldOptions{runners: 2}, func(w *world) {
		for _, r := range w.runners {
			r.SetDraining(true)
		}
		a, _ := w.stream(chatBody)
		a.expect(t, http.StatusServiceUnavailable, gateway.CodeNoEndpoint, gateway.OutcomeNotRun)
		if a.header.Get("Retry-After") != "1" {
			t.Errorf("Retry-After is %q", a.header.Get("Retry-After"))
		}
	})
}

// One runner took the request and died, and the other refuses new work. The
// first may have run it, so the caller must not read "not run".
func TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun(t *testing.T) {
	inWorld(t, worldOptions{runners: 2}, func(w *world) {
		w.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultBeforeFirstByte})
		w.runners[1].SetDraining(true)
		a, _ := w.stream(chatBody)
		a.expect(t, http.StatusBadGateway, gateway.CodeEndpointFailed, gateway.OutcomeUnknown)
	})
}
