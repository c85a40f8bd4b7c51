package forward

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/response"
)

// A stream arrives in pieces of any size. Only complete events may be passed on,
// each once and in order, even if the endpoint that resumes the stream starts with
// events that the caller has.
func TestEventSplitterPassesCompleteNewEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "events")
		had := rapid.IntRange(-1, n).Draw(t, "had")
		var all, want strings.Builder
		for i := range n {
			event := "weight-versions: 2\nid: " + strings.Repeat("0", i%3) + itoa(i) + "\ndata: x\n\n"
			all.WriteString(event)
			if i > had {
				want.WriteString(event)
			}
		}
		torn := "id: 99\ndata: ha"
		e := eventSplitter{last: int64(had)}
		var got strings.Builder
		rest := all.String() + torn
		for len(rest) > 0 {
			k := rapid.IntRange(1, min(len(rest), 40)).Draw(t, "piece")
			out, err := e.add([]byte(rest[:k]))
			if err != nil {
				t.Fatal(err)
			}
			got.Write(out)
			rest = rest[k:]
		}
		if got.String() != want.String() || string(e.incomplete()) != torn {
			t.Fatalf("passed %q, rest %q", got.String(), e.incomplete())
		}
	})
}

// An endpoint repeats an event in the middle of a stream. Passing it on or dropping
// it would hide that the stream is out of order.
func TestEventSplitterRefusesEarlierEvent(t *testing.T) {
	e := eventSplitter{last: NoEvent}
	if _, err := e.add([]byte("id: 5\n\nid: 4\n\n")); err == nil {
		t.Error("no error for an earlier event id")
	}
}

// Guards against an incomplete event that is not counted, and against its bytes that stay counted
// after it or its stream has ended.
func TestIncompleteEventIsHeld(t *testing.T) {
	limits := response.NewLimits(1<<20, nil)
	piece := []byte(strings.Repeat("x", 50<<10))
	e := eventSplitter{last: NoEvent}
	add := func(b []byte, held bool) {
		t.Helper()
		if _, err := e.add(b); err != nil || (limits.Held() > 0) != held {
			t.Errorf("%d bytes are held, %v", limits.Held(), err)
		}
	}
	e.begin(limits)
	add(piece, true)
	add([]byte("\n\nid: 1"), false)
	add(piece, true)
	e.end()
	if n := limits.Held(); n != 0 {
		t.Errorf("%d bytes are held after the stream", n)
	}
	e.begin(limits)
	var exceeded *response.Error
	var err error
	for err == nil {
		_, err = e.add(piece)
	}
	if !errors.As(err, &exceeded) || exceeded.Bound != response.BoundBudget {
		t.Errorf("error %v", err)
	}
	e.end()
}

func itoa(i int) string { return string(rune('0'+i/10)) + string(rune('0'+i%10)) }

// An event without end is refused after its limit; the time until then grows with its length.
func BenchmarkEventWithoutEnd(b *testing.B) {
	piece := []byte(strings.Repeat("x", relayBufferBytes))
	for b.Loop() {
		var e eventSplitter
		for {
			if _, err := e.add(piece); err != nil {
				break
			}
		}
	}
}

func BenchmarkEvent(b *testing.B) {
	limits := response.NewLimits(1<<20, nil)
	event := []byte("id: 7\ndata: a token\n\n")
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		var e eventSplitter
		e.last = NoEvent
		e.begin(limits)
		for p.Next() {
			e.last = NoEvent
			if _, err := e.add(event); err != nil {
				b.Fatal(err)
			}
		}
	})
}
