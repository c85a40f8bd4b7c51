package routed

import (
	"net/http"
	"strconv"
	"testing"
)

// An operator limits an organisation to a few long prompts. The next one must be refused
// with a time to come back and reach no runner, and plain requests count as the operator
// says. Once the limit is raised, requests are served again.
func TestRateLimitOfAnOrganisation(t *testing.T) {
	w := newWorld(t)
	w.limit = map[string]any{"ratePerS": 1, "burst": 7000, "unit": "tokens", "plainTokens": 200}
	w.configure("key-a")
	var refused reply
	w.until("a request is refused", func() bool {
		refused = w.talk("/talk/x")
		return refused.status == http.StatusTooManyRequests
	})
	if after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64); err != nil || after <= 0 {
		t.Errorf("Retry-After %q", refused.header.Get("Retry-After"))
	}
	if runs := w.ran(refused.id); len(runs) > 0 {
		t.Errorf("the refused request ran: %v", runs)
	}
	w.limit = map[string]any{"ratePerS": 1e6, "burst": 1e6, "unit": "tokens", "plainTokens": 200}
	w.configure("key-a")
	w.until("requests are served again", func() bool { return w.talk("/talk/x").status == http.StatusOK })
	w.until("a plain request is served", func() bool { return w.send(http.MethodGet, "/look/a", "key-a", nil).status == http.StatusOK })
}
