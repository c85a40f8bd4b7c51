package placement

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// Two questions on a new document reach two daemons within a second. No answer or event
// shows the second daemon where the document is being computed; without an announcement it
// would be computed again elsewhere.
func TestAnnouncementSharesPlacementAcrossDaemons(t *testing.T) {
	first, second := testView(18), testView(18)
	d := place(t, first, epoch, promptRequest(1, "a", "sheet"))
	announcements := first.TakeAnnouncements(nil)
	if len(announcements) != 2 {
		t.Fatalf("announcements = %v, want preamble and sheet", announcements)
	}
	second.ReceiveAnnouncements(announcements)
	got := place(t, second, epoch.Add(100*time.Millisecond), promptRequest(2, "a", "sheet"))
	if got.Endpoint != d.Endpoint || got.Reason != ReasonHolder {
		t.Errorf("second question on %s by %v, want %s by holder", got.Endpoint, got.Reason, d.Endpoint)
	}
	if more := second.TakeAnnouncements(nil); len(more) != 0 {
		t.Errorf("the second daemon announces %v again", more)
	}
}

// An announcement is delayed while the endpoint crashes and restarts.
func TestAnnouncementOfOldIncarnationIsIgnored(t *testing.T) {
	v := testView(18)
	r := promptRequest(1, "a", "sheet")
	v.Answered(epoch, Answer{Endpoint: "runner-3", Incarnation: 2})
	v.ReceiveAnnouncements([]Announcement{{Key: r.Levels[1].Key, Endpoint: "runner-3", Incarnation: 1, At: epoch}})
	if d := place(t, v, epoch, r); d.Reason == ReasonHolder {
		t.Errorf("relies on an announcement of an old incarnation: %+v", d)
	}
}

func TestAnnouncementsAreBounded(t *testing.T) {
	v := testView(3)
	for id := range uint64(2 * MaxAnnouncements) {
		place(t, v, epoch, promptRequest(id, "a", string(rune('a'+id))))
	}
	if got := len(v.TakeAnnouncements(nil)); got != MaxAnnouncements {
		t.Errorf("announcements = %d, want the bound %d", got, MaxAnnouncements)
	}
}

// A runner crashes and restarts within a fraction of a second, before its next load report.
// Only one daemon has a request there; without an announcement the others rely on the lost
// cache and send long prompts there as if they were short.
func TestCacheLossIsAnnouncedOnce(t *testing.T) {
	one, other := testView(18), testView(18)
	r := promptRequest(1, "a", "sheet")
	d := place(t, one, epoch, r)
	for _, v := range []*View{one, other} {
		answer(v, epoch, r, d)
	}
	one.TakeAnnouncements(nil)
	one.Failed(epoch.Add(time.Second), Failure{ID: 2, Endpoint: d.Endpoint, ConnectionLost: true})
	one.Failed(epoch.Add(time.Second), Failure{ID: 3, Endpoint: d.Endpoint, ConnectionLost: true})
	announcements := one.TakeAnnouncements(nil)
	if len(announcements) != 1 || !announcements[0].CacheLost {
		t.Fatalf("announcements = %v, want the loss once", announcements)
	}
	other.ReceiveAnnouncements(announcements)
	if got := place(t, other, epoch.Add(2*time.Second), promptRequest(4, "a", "sheet")); got.Reason == ReasonHolder {
		t.Errorf("relies on the lost cache: %+v", got)
	}
}

// A runner's connection is lost, and its earlier cache events and another daemon's earlier
// announcement arrive afterwards. They name the known incarnation, since no message of the
// next one has arrived, and must not restore the lost cache.
func TestMessagesFromBeforeCacheLossAreIgnored(t *testing.T) {
	v := testView(18)
	r := promptRequest(1, "a", "sheet")
	d := place(t, v, epoch, r)
	answer(v, epoch, r, d)
	lost := epoch.Add(time.Second)
	v.Failed(lost, Failure{ID: 2, Endpoint: d.Endpoint, ConnectionLost: true})
	before := lost.Add(-100 * time.Millisecond)
	key := r.Levels[len(r.Levels)-2].Key
	v.CacheEvents(EventBatch{
		Endpoint: d.Endpoint, Incarnation: 1, Seq: 1, At: before, Events: []Event{{Kind: EventStored, Key: key}},
	})
	v.ReceiveAnnouncements([]Announcement{{Key: key, Endpoint: d.Endpoint, Incarnation: 1, At: before}})
	if got := place(t, v, lost.Add(time.Second), promptRequest(3, "a", "sheet")); got.Reason == ReasonHolder {
		t.Errorf("relies on the lost cache: %+v", got)
	}
}

// Another daemon has just sent a long prompt to an idle runner, and no load report shows it
// yet. A short request sent there would wait for all of it. The reservation must also end
// without an answer, since the answer to the other daemon's request does not arrive here;
// otherwise the runner would look busy for ever.
func TestPeerReservationEndsWithLoadReportOrExpiry(t *testing.T) {
	v := testView(1)
	announcement := Announcement{Endpoint: "runner-0", Tokens: 8000, Priority: contract.PriorityStandard, At: epoch}
	wait := func(now time.Time) time.Duration { return seconds(v.wait(now, 0, contract.PriorityStandard)) }
	v.ReceiveAnnouncements([]Announcement{announcement})
	if got := wait(epoch); got != time.Second {
		t.Fatalf("wait = %v, want the second that the other's prompt takes", got)
	}
	v.LoadReported("runner-0", fleet.Load{At: epoch.Add(100 * time.Millisecond)})
	if got := wait(epoch.Add(time.Second)); got != 0 {
		t.Errorf("wait = %v after a report that shows the work, want 0", got)
	}
	announcement.At = epoch.Add(time.Second)
	v.ReceiveAnnouncements([]Announcement{announcement})
	v.Expire(announcement.At.Add(DefaultReservationTTL))
	if got := wait(epoch.Add(time.Hour)); got != 0 {
		t.Errorf("wait = %v after the expiry, want 0", got)
	}
}
