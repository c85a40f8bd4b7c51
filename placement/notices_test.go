package placement

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// Two questions on a document that nobody had before reach two daemons within
// a second. The second daemon cannot know from any answer or event where the
// document is being computed, and without a word from the first it would have
// it computed again elsewhere.
func TestNoticeBringsTheSecondQuestionToTheSameEndpoint(t *testing.T) {
	first, second := testView(18), testView(18)
	d := place(t, first, epoch, ask(1, "a", "sheet"))
	notices := first.TakeAnnouncements(nil)
	if len(notices) != 2 {
		t.Fatalf("notices = %v, want preamble and sheet", notices)
	}
	second.ReceiveAnnouncements(notices)
	got := place(t, second, epoch.Add(100*time.Millisecond), ask(2, "a", "sheet"))
	if got.Endpoint != d.Endpoint || got.Reason != ReasonHolder {
		t.Errorf("second question on %s by %v, want %s by holder", got.Endpoint, got.Reason, d.Endpoint)
	}
	if more := second.TakeAnnouncements(nil); len(more) != 0 {
		t.Errorf("the second daemon sends %v again", more)
	}
}

// A notice was on its way while the endpoint crashed and came back.
func TestNoticeOfAnotherLifeIsIgnored(t *testing.T) {
	v := testView(18)
	r := ask(1, "a", "sheet")
	v.Answered(epoch, Answer{Endpoint: "runner-3", Incarnation: 2})
	v.ReceiveAnnouncements([]Announcement{{Key: r.Levels[1].Key, Endpoint: "runner-3", Incarnation: 1, At: epoch}})
	if d := place(t, v, epoch, r); d.Reason == ReasonHolder {
		t.Errorf("relies on a notice of the dead engine: %+v", d)
	}
}

func TestNoticesAreBounded(t *testing.T) {
	v := testView(3)
	for id := range uint64(2 * MaxAnnouncements) {
		place(t, v, epoch, ask(id, "a", string(rune('a'+id))))
	}
	if got := len(v.TakeAnnouncements(nil)); got != MaxAnnouncements {
		t.Errorf("notices = %d, want the bound %d", got, MaxAnnouncements)
	}
}

// A runner crashes and is back within a fraction of a second, before its next
// load report. Only one daemon had a request there; the others still count on
// its cache and send it long prompts as if they were short.
func TestNoticeOfALostCacheReachesTheOthers(t *testing.T) {
	one, other := testView(18), testView(18)
	r := ask(1, "a", "sheet")
	d := place(t, one, epoch, r)
	for _, v := range []*View{one, other} {
		answer(v, epoch, r, d)
	}
	one.TakeAnnouncements(nil)
	one.Failed(epoch.Add(time.Second), Failure{ID: 2, Endpoint: d.Endpoint, ConnectionLost: true})
	one.Failed(epoch.Add(time.Second), Failure{ID: 3, Endpoint: d.Endpoint, ConnectionLost: true})
	notices := one.TakeAnnouncements(nil)
	if len(notices) != 1 || !notices[0].CacheLost {
		t.Fatalf("notices = %v, want the loss once", notices)
	}
	other.ReceiveAnnouncements(notices)
	if got := place(t, other, epoch.Add(2*time.Second), ask(4, "a", "sheet")); got.Reason == ReasonHolder {
		t.Errorf("relies on the cache of the dead engine: %+v", got)
	}
}

// A runner's connection is lost, and only then do its cache events and another
// daemon's notice from before arrive. They name the life that is known, since
// nothing has been heard of the next one, and would bring the lost cache back.
func TestNewsFromBeforeTheLossIsIgnored(t *testing.T) {
	v := testView(18)
	r := ask(1, "a", "sheet")
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
	if got := place(t, v, lost.Add(time.Second), ask(3, "a", "sheet")); got.Reason == ReasonHolder {
		t.Errorf("relies on the lost cache: %+v", got)
	}
}

// Another daemon has just sent a long prompt to an idle runner, and no load
// report shows it yet. A phone request that went there as well would wait for
// all of it. If the reservation for it never ended, the runner would seem busy
// for ever, since no answer to the other daemon's request comes here.
func TestWorkOfOtherDaemonsIsReservedUntilAReport(t *testing.T) {
	v := testView(1)
	notice := Announcement{Endpoint: "runner-0", Tokens: 8000, Priority: contract.PriorityStandard, At: epoch}
	wait := func(now time.Time) time.Duration { return seconds(v.wait(now, 0, contract.PriorityStandard)) }
	v.ReceiveAnnouncements([]Announcement{notice})
	if got := wait(epoch); got != time.Second {
		t.Fatalf("wait = %v, want the second that the other's prompt takes", got)
	}
	v.LoadReported("runner-0", fleet.Load{At: epoch.Add(100 * time.Millisecond)})
	if got := wait(epoch.Add(time.Second)); got != 0 {
		t.Errorf("wait = %v after a report that shows the work, want 0", got)
	}
	notice.At = epoch.Add(time.Second)
	v.ReceiveAnnouncements([]Announcement{notice})
	v.Expire(notice.At.Add(DefaultReservationTTL))
	if got := wait(epoch.Add(time.Hour)); got != 0 {
		t.Errorf("wait = %v after the expiry, want 0", got)
	}
}
