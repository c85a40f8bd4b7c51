package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestHandlerExposesCountersAndHistograms(t *testing.T) {
	m := New("d1", "zone-a")
	m.Scope.Counter("requests").Inc(3)
	m.Scope.Histogram("first_token", DurationBuckets()).RecordDuration(40 * time.Millisecond)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	m.Handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	page := rec.Body.String()
	for _, want := range []string{`merlindock_requests`, `daemon="d1"`, `le="0.052"`} {
		if !strings.Contains(page, want) {
			t.Errorf("page does not contain %s", want)
		}
	}
}
