package placement

import (
	"testing"
	"time"
)

// An endpoint's event stream breaks, so that no later message reveals lost events. Requests
// must not rely on prefixes that may have been evicted since; events count again once the
// stream is back, with a lower sequence number.
func TestEventsLostMakesHoldersUncertain(t *testing.T) {
	v := testView(18)
	stored := EventBatch{Endpoint: "runner-3", Incarnation: 1, Seq: 500, At: epoch}
	for _, l := range promptRequest(1, "a", "sheet").Levels {
		stored.Events = append(stored.Events, Event{Kind: EventStored, Key: l.Key})
	}
	v.CacheEvents(stored)
	v.EventsLost("runner-3")
	v.EventsLost("runner-99") // unknown
	later := epoch.Add(40 * time.Second)
	if d := place(t, v, later, promptRequest(2, "a", "sheet")); d.ExpectedCached > 4000 && d.Endpoint == "runner-3" {
		t.Errorf("after the stream broke: %+v", d)
	}
	v.Finished(later, 2)
	stored.Seq, stored.At = 2, later
	v.CacheEvents(stored)
	if d := place(t, v, later.Add(40*time.Second), promptRequest(3, "a", "sheet")); d.Endpoint != "runner-3" || d.ExpectedCached < 7500 {
		t.Errorf("after the stream came back: %+v", d)
	}
}
