package routed

import (
	"net/http"
	"strconv"
	"testing"
)

// An organisation's limit allows a few long prompts. Guards against a further one that is
// served, or refused without Retry-After, and against a limit that stays in force after it
// was raised.
func TestRateLimitOfAnOrganisation(t *testing.T) {
	w := newTestbed(t)
	w.limit = map[string]any{"ratePerS": 1, "burst": 7000, "unit": "tokens", "plainTokens": 200}
	w.configure("key-a")
	var refused reply
	w.waitUntil("a request is refused", func() bool {
		refused = w.sendModelRequest("/talk/x")
		return refused.status == http.StatusTooManyRequests
	})
	if after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64); err != nil || after <= 0 {
		t.Errorf("Retry-After %q", refused.header.Get("Retry-After"))
	}
	if runs := w.runsOf(refused.id); len(runs) > 0 {
		t.Errorf("the refused request ran: %v", runs)
	}
	w.limit = map[string]any{"ratePerS": 1e6, "burst": 1e6, "unit": "tokens", "plainTokens": 200}
	w.configure("key-a")
	w.waitUntil("requests are served again", func() bool { return w.sendModelRequest("/talk/x").status == http.StatusOK })
	w.waitUntil("a plain request is served", func() bool { return w.send(http.MethodGet, "/look/a", "key-a", nil).status == http.StatusOK })
}
