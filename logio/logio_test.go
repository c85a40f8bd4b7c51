package logio

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/ports"
)

// fakeLog fails appends with appendErrors in order and then accepts them. It
// refuses reads of more than three records as too long.
type fakeLog struct {
	appendErrors []error
	records      [][]byte
	first        ports.Offset // newest expired offset
}

func (f *fakeLog) Append(_ context.Context, _ ports.Stream, data []byte) (ports.Offset, error) {
	if len(f.appendErrors) > 0 {
		err := f.appendErrors[0]
		f.appendErrors = f.appendErrors[1:]
		if err != nil {
			return 0, err
		}
	}
	f.records = append(f.records, data)
	return ports.Offset(len(f.records)), nil
}

func (f *fakeLog) Read(_ context.Context, _ ports.Stream, from ports.Offset, limit int) (ports.Page, error) {
	if limit > 3 {
		return ports.Page{}, fmt.Errorf("%w: %w", ports.ErrUnavailable, ports.ErrTooLong)
	}
	if from <= f.first {
		return ports.Page{}, &ports.TruncatedError{From: from, First: f.first + 1}
	}
	p := ports.Page{First: f.first + 1, Next: ports.Offset(len(f.records) + 1)}
	for o := from; o < p.Next && len(p.Records) < limit; o++ {
		p.Records = append(p.Records, ports.Record{Offset: o, Data: f.records[o-1]})
	}
	return p, nil
}

func newBatcher(log ports.Log) *Batcher[int] {
	encode := func(list []int) ([]byte, error) { return json.Marshal(list) }
	return NewBatcher(BatchOptions[int]{Log: log, Encode: encode, MaxItems: 3, MaxQueued: 8})
}

func TestBatcherReportsOutcomeOfItems(t *testing.T) {
	// Appends to the log fail for a while. An item whose deadline passes meanwhile
	// gets an error that states whether it may be in the log; one without a deadline
	// is appended when the log works again.
	tests := []struct {
		name string
		due  error
		want error
	}{
		{"refused", ports.ErrNotAppended, ports.ErrNotAppended},
		{"answer lost", ports.ErrUnavailable, ports.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				log := &fakeLog{}
				for range 40 {
					log.appendErrors = append(log.appendErrors, tt.due)
				}
				b := newBatcher(log)
				brief, kept := make(chan error, 1), make(chan error, 1)
				_ = b.Add(Item[int]{Value: 1, Deadline: time.Now().Add(time.Second), Done: func(err error) { brief <- err }})
				_ = b.Add(Item[int]{Value: 2, Done: func(err error) { kept <- err }})
				go func() { _ = b.Run(ctx) }()
				if err := <-brief; !errors.Is(err, tt.want) {
					t.Fatalf("Done of the item with a deadline got %v", err)
				}
				if err := <-kept; err != nil || string(log.records[0]) != "[2]" {
					t.Fatalf("Done of the item without a deadline got %v, the log has %s", err, log.records)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestBatcherBoundsBatchesAndQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := &fakeLog{}
		b := newBatcher(log)
		for i := range 8 {
			if err := b.Add(Item[int]{Value: i, Done: func(error) {}}); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.Add(Item[int]{}); !errors.Is(err, ErrQueueFull) {
			t.Fatalf("Add to a full queue returned %v", err)
		}
		go func() { _ = b.Run(ctx) }()
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if len(log.records) != 3 || string(log.records[2]) != "[6,7]" {
			t.Fatalf("the log has %s", log.records)
		}
	})
}

// sink records what a Tail delivers.
type sink struct {
	next ports.Offset
	got  []ports.Offset
	gaps []ports.Offset
}

func (s *sink) Next() ports.Offset     { return s.next }
func (s *sink) CaughtUp(ports.Offset)  {}
func (s *sink) Gap(first ports.Offset) { s.gaps, s.next = append(s.gaps, first), first }
func (s *sink) Apply(r ports.Record)   { s.got, s.next = append(s.got, r.Offset), r.Offset+1 }

func TestTailReportsGapAndShortensPages(t *testing.T) {
	// The log's pages exceed the size limit, and its oldest records have expired.
	// The Tail must request fewer records until a page fits, and report a gap
	// before the first record that is left.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log, s := &fakeLog{first: 4, records: make([][]byte, 9)}, &sink{next: 1}
		tail := NewTail(TailOptions{Log: log, Sink: s})
		go func() { _ = tail.Run(ctx) }()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if fmt.Sprint(s.gaps) != "[5]" || fmt.Sprint(s.got) != "[5 6 7 8 9]" {
			t.Fatalf("gaps %v, delivered %v", s.gaps, s.got)
		}
	})
}
