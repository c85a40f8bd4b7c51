package caches

import (
	"testing"

	"github.com/merlindock/merlindock/prefix"
)

const salt = "v3"

var (
	segments = []prefix.Segment{{ID: "law", Tokens: 345}, {ID: "file", Tokens: 260}, {ID: "question", Tokens: 2019}}
	prompt   = NewPrompt(salt, segments)
)

func stored(number int64, id string, tokens int) Event {
	return Event{Sequence: number, Segment: NewSegmentKey(salt, id), Tokens: tokens}
}

func newTestTable(events ...Event) *Table {
	t := New()
	t.Apply("e", 0, Batch{Incarnation: 1, Events: events})
	return t
}

func TestCachedTokensCountsLeadingSegments(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		want   int
	}{
		{"nothing", nil, 0},
		{"first segment", []Event{stored(1, "law", 345)}, 345},
		{"two leading segments", []Event{stored(1, "law", 345), stored(2, "file", 260)}, 605},
		{"preceding segment missing", []Event{stored(1, "file", 260)}, 0},
		{"partial last block missing", []Event{stored(1, "law", 336), stored(2, "file", 260)}, 596},
		{"half of a segment", []Event{stored(1, "law", 160), stored(2, "file", 260)}, 160},
		{"removed", []Event{stored(1, "law", 345), stored(2, "law", 0)}, 0},
		{"grown", []Event{stored(1, "law", 345), stored(2, "law", 361)}, 345},
	} {
		got, known := newTestTable(c.events...).CachedTokens("e", prompt)
		if got != c.want || !known {
			t.Errorf("%s: %d, %v; want %d", c.name, got, known, c.want)
		}
	}
	if _, known := New().CachedTokens("e", prompt); known {
		t.Error("a holder without events is known")
	}
	if got, _ := newTestTable(stored(1, "law", 345)).CachedTokens("e", NewPrompt("v4", segments)); got != 0 {
		t.Errorf("%d tokens under another salt, want 0", got)
	}
}

// An engine restarts at the same address with an empty cache. Its earlier segments
// must not count: prompts would queue there for a cache that is lost.
func TestRestartClearsHolder(t *testing.T) {
	table := newTestTable(stored(7, "law", 345))
	table.Apply("e", 0, Batch{Incarnation: 2})
	if got, known := table.CachedTokens("e", prompt); got != 0 || !known {
		t.Errorf("%d tokens, known %v; want 0, true", got, known)
	}
}

// An engine discarded events before they were read. The segments removed by them are
// unknown, so that only later events count.
func TestLostEventsClearHolder(t *testing.T) {
	table := newTestTable(stored(1, "law", 345))
	table.Apply("e", 0, Batch{Incarnation: 1, Lost: true, Events: []Event{stored(900, "file", 260)}})
	if got, _ := table.CachedTokens("e", prompt); got != 0 {
		t.Errorf("%d tokens, want 0", got)
	}
}

// The removal event of a segment is lost. Without a bound the segment would stay in
// the table for ever, and prompts would be sent to a holder that must prefill it
// again.
func TestOldestSegmentsAreEvictedAtCapacity(t *testing.T) {
	table := New()
	table.Apply("e", 1000, Batch{Incarnation: 1, Events: []Event{
		stored(1, "law", 345), stored(2, "a", 300), stored(3, "b", 300), stored(4, "law", 345), stored(5, "c", 300),
	}})
	if got := table.holders["e"].tokens; got > 1000 {
		t.Errorf("%d tokens tracked, capacity 1000", got)
	}
	if got, _ := table.CachedTokens("e", prompt); got != 345 {
		t.Errorf("%d tokens of the updated segment, want 345", got)
	}
	if got, _ := table.CachedTokens("e", NewPrompt(salt, []prefix.Segment{{ID: "a", Tokens: 300}})); got != 0 {
		t.Errorf("%d tokens of the oldest segment, want 0", got)
	}
}

func TestRemovedHolderIsNotTracked(t *testing.T) {
	table := newTestTable(stored(1, "law", 345))
	table.Remove("e")
	if _, known := table.CachedTokens("e", prompt); known || len(table.holders) != 0 {
		t.Error("a removed holder is still known")
	}
}

// An answer grows block by block, and each block updates its segment. The list of
// updates must not grow with it while an older segment stays cached.
func TestSupersededUpdatesAreCompacted(t *testing.T) {
	table := New()
	table.Apply("e", 1_000_000, Batch{Incarnation: 1, Events: []Event{stored(1, "law", 345)}})
	for i := range int64(10_000) {
		table.Apply("e", 1_000_000, Batch{Incarnation: 1, Events: []Event{stored(2+i, "answer", 16)}})
	}
	if n := len(table.holders["e"].updates); n > 2*minCompaction {
		t.Errorf("%d updates for two segments", n)
	}
}
