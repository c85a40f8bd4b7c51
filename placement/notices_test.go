package placement

import (
	"testing"
	"time"
)

// Two questions on a document that nobody had before reach two daemons within
// a second. The second daemon cannot know from any answer or event where the
// document is being computed, and without a word from the first it would have
// it computed again elsewhere.
func TestNoticeBringsTheSecondQuestionToTheSameEndpoint(t *testing.T) {
	first, second := testView(18), testView(18)
	d := place(t, first, epoch, ask(1, "a", "sheet"))
	notices := first.Notices(nil)
	if len(notices) != 2 {
		t.Fatalf("notices = %v, want preamble and sheet", notices)
	}
	second.Heard(notices)
	got := place(t, second, epoch.Add(100*time.Millisecond), ask(2, "a", "sheet"))
	if got.Endpoint != d.Endpoint || got.Reason != ReasonHolder {
		t.Errorf("second question on %s by %v, want %s by holder", got.Endpoint, got.Reason, d.Endpoint)
	}
	if more := second.Notices(nil); len(more) != 0 {
		t.Errorf("the second daemon sends %v again", more)
	}
}

// A notice was on its way while the endpoint crashed and came back.
func TestNoticeOfAnotherLifeIsIgnored(t *testing.T) {
	v := testView(18)
	r := ask(1, "a", "sheet")
	v.Answered(epoch, Answer{Endpoint: "runner-3", Incarnation: 2})
	v.Heard([]Notice{{Key: r.Levels[1].Key, Endpoint: "runner-3", Incarnation: 1, At: epoch}})
	if d := place(t, v, epoch, r); d.Reason == ReasonHolder {
		t.Errorf("relies on a notice of the dead engine: %+v", d)
	}
}

func TestNoticesAreBounded(t *testing.T) {
	v := testView(3)
	for id := range uint64(2 * MaxNotices) {
		place(t, v, epoch, ask(id, "a", string(rune('a'+id))))
	}
	if got := len(v.Notices(nil)); got != MaxNotices {
		t.Errorf("notices = %d, want the bound %d", got, MaxNotices)
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
	one.Notices(nil)
	one.Failed(epoch.Add(time.Second), Failure{ID: 2, Endpoint: d.Endpoint, Dead: true})
	one.Failed(epoch.Add(time.Second), Failure{ID: 3, Endpoint: d.Endpoint, Dead: true})
	notices := one.Notices(nil)
	if len(notices) != 1 || !notices[0].Lost {
		t.Fatalf("notices = %v, want the loss once", notices)
	}
	other.Heard(notices)
	if got := place(t, other, epoch.Add(2*time.Second), ask(4, "a", "sheet")); got.Reason == ReasonHolder {
		t.Errorf("relies on the cache of the dead engine: %+v", got)
	}
}
