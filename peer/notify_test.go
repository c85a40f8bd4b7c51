package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/merlindock/merlindock/peer/peerpb"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

func TestAnnouncementsRoundTrip(t *testing.T) {
	sent := time.Unix(1000, 0)
	notices := []placement.Announcement{
		{Key: prefix.Key{1, 2}, Endpoint: "r1", Incarnation: 7, Tokens: 9, Priority: 2, At: sent.Add(-30 * time.Millisecond)},
		{Endpoint: "r2", Incarnation: 8, CacheLost: true, At: sent},
	}
	got := announcementsFromWire(sent, announcementsToWire(sent, "d1", notices).GetNotices())
	if diff := cmp.Diff(notices, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against announcements with an incomplete key or from long ago, sent by a daemon
// of another release or a faulty one: requests would be placed on a cache that does not
// hold their prefix.
func TestInvalidAnnouncementsAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []*peerpb.Notice{
		{Endpoint: "r1", Key: []byte{1}},
		{Endpoint: "r1"},
		{Endpoint: "r1", Key: make([]byte, prefix.KeySize), AgeMs: 3_600_000},
		{Endpoint: string(make([]byte, 1000)), Lost: true},
	}
	if got := announcementsFromWire(now, list); len(got) != 0 {
		t.Errorf("taken: %+v", got)
	}
}
