package feed

import (
	"testing"
	"time"
)

func TestOffsetsHoldTheGeneration(t *testing.T) {
	last := int64(-1)
	for _, c := range [][2]int64{{0, 0}, {0, 7}, {1, 0}, {1, 5}, {2, 0}, {2, 1 << 39}, {MaxGeneration, 3}} {
		offset := OffsetIn(c[0], c[1])
		if Generation(offset) != c[0] || Position(offset) != c[1] || offset <= last {
			t.Errorf("offset %d of generation %d and position %d", offset, c[0], c[1])
		}
		last = offset
	}
}

// Guards against a daemon that has read nothing and is sent to the store, or gets another
// generation's records, because it does not know the present generation.
func TestReadFromBeginningOfGeneration(t *testing.T) {
	f := New(false)
	first := OffsetIn(3, 0)
	f.Add(Batch{From: first, Records: []Record{record(first), record(first + 1)}, Next: first + 2, Complete: true, Confirmed: time.Second})
	got, ok := read(f, t.Context(), fixedClock(time.Second), Query{})
	if !ok || len(got.Records) != 2 || got.Next != first+2 {
		t.Errorf("%+v, %v", got, ok)
	}
	if got, ok := read(f, t.Context(), fixedClock(time.Second), Query{From: OffsetIn(2, 1)}); ok {
		t.Errorf("a daemon in the generation before gets %+v", got)
	}
}

// Guards against a daemon in the generation before that gets changes only, and so misses
// what was written between the copy and its offset.
func TestReaderOfOlderGenerationGetsSnapshot(t *testing.T) {
	f := New(true)
	f.Add(Batch{Snapshot: true, Records: []Record{record(OffsetIn(1, 5))}, Next: OffsetIn(1, 9), Complete: true, Confirmed: time.Second})
	f.Add(Batch{Snapshot: true, Records: []Record{record(OffsetIn(2, 2))}, Next: OffsetIn(2, 3), Complete: true, Confirmed: 2 * time.Second})
	got, ok := read(f, t.Context(), fixedClock(2*time.Second), Query{From: OffsetIn(1, 9)})
	if !ok || !got.Snapshot || got.Next != OffsetIn(2, 3) || len(got.Records) != 1 {
		t.Errorf("%+v, %v", got, ok)
	}
}
