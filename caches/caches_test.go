package caches

import (
	"testing"

	"github.com/merlindock/merlindock/prefix"
)

const salt = "v3"

var (
	parts  = []prefix.Segment{{ID: "law", Tokens: 345}, {ID: "file", Tokens: 260}, {ID: "question", Tokens: 2019}}
	prompt = NewPrompt(salt, parts)
)

func stored(number int64, id string, tokens int) Event {
	return Event{Sequence: number, Segment: NewSegmentKey(salt, id), Tokens: tokens}
}

func tableOf(events ...Event) *Table {
	t := New()
	t.Apply("e", 0, Batch{Incarnation: 1, Events: events})
	return t
}

func TestHeldCountsLeadingParts(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		want   int
	}{
		{"nothing", nil, 0},
		{"the first part", []Event{stored(1, "law", 345)}, 345},
		{"both shared parts", []Event{stored(1, "law", 345), stored(2, "file", 260)}, 605},
		{"the part before is missing", []Event{stored(1, "file", 260)}, 0},
		{"the end of a part fills no block", []Event{stored(1, "law", 336), stored(2, "file", 260)}, 596},
		{"half of a part", []Event{stored(1, "law", 160), stored(2, "file", 260)}, 160},
		{"removed again", []Event{stored(1, "law", 345), stored(2, "law", 0)}, 0},
		{"it has grown", []Event{stored(1, "law", 345), stored(2, "law", 361)}, 345},
	} {
		got, known := tableOf(c.events...).CachedTokens("e", prompt)
		if got != c.want || !known {
			t.Errorf("%s: %d, %v; want %d", c.name, got, known, c.want)
		}
	}
	if _, known := New().CachedTokens("e", prompt); known {
		t.Error("a holder that is not followed counts as known")
	}
	if got, _ := tableOf(stored(1, "law", 345)).CachedTokens("e", NewPrompt("v4", parts)); got != 0 {
		t.Errorf("%d tokens of other weights", got)
	}
}

// An engine crashes and starts again under its address, empty. What it held before
// must not count: prompts would queue there for a cache that is gone.
func TestRestartEmptiesAHolder(t *testing.T) {
	table := tableOf(stored(7, "law", 345))
	table.Apply("e", 0, Batch{Incarnation: 2})
	if got, known := table.CachedTokens("e", prompt); got != 0 || !known {
		t.Errorf("%d tokens, known %v", got, known)
	}
}

// An engine's events outran what it keeps of them. Whatever was removed in between
// is not known, so that only what comes after counts.
func TestLostEventsEmptyTheBelief(t *testing.T) {
	table := tableOf(stored(1, "law", 345))
	table.Apply("e", 0, Batch{Incarnation: 1, Lost: true, Events: []Event{stored(900, "file", 260)}})
	if got, _ := table.CachedTokens("e", prompt); got != 0 {
		t.Errorf("%d tokens", got)
	}
}

// The removal of a part never comes. Without a bound the daemon would believe in
// the part for ever and send prompts to where they are read again.
func TestNothingIsBelievedPastTheCapacity(t *testing.T) {
	table := New()
	table.Apply("e", 1000, Batch{Incarnation: 1, Events: []Event{
		stored(1, "law", 345), stored(2, "a", 300), stored(3, "b", 300), stored(4, "law", 345), stored(5, "c", 300),
	}})
	if got := table.holders["e"].tokens; got > 1000 {
		t.Errorf("%d tokens of 1000", got)
	}
	if got, _ := table.CachedTokens("e", prompt); got != 345 {
		t.Errorf("%d tokens of the part that was renewed", got)
	}
	if got, _ := table.CachedTokens("e", NewPrompt(salt, []prefix.Segment{{ID: "a", Tokens: 300}})); got != 0 {
		t.Errorf("%d tokens of the oldest part", got)
	}
}

func TestForgottenHolderIsNotKnown(t *testing.T) {
	table := tableOf(stored(1, "law", 345))
	table.Remove("e")
	if _, known := table.CachedTokens("e", prompt); known || len(table.holders) != 0 {
		t.Error("still known")
	}
}

// An answer grows block by block, and each block renews its part. The list of
// arrivals must not grow with it for as long as an old part stays.
func TestRenewalsDoNotPileUp(t *testing.T) {
	table := New()
	table.Apply("e", 1_000_000, Batch{Incarnation: 1, Events: []Event{stored(1, "law", 345)}})
	for i := range int64(10_000) {
		table.Apply("e", 1_000_000, Batch{Incarnation: 1, Events: []Event{stored(2+i, "answer", 16)}})
	}
	if n := len(table.holders["e"].order); n > 2*leastTidy {
		t.Errorf("%d arrivals of two parts", n)
	}
}
