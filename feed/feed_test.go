package feed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func record(offset int64) Record { return Record{Key: "k", Value: []byte("v"), Offset: offset} }

// fixedClock returns a clock that always reads d.
func fixedClock(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// read runs a query; ok is false if the feed cannot answer it.
func read(f *Feed, ctx context.Context, clock func() time.Duration, q Query) (got Answer, ok bool) {
	got, err := f.Read(ctx, clock, q)
	return got, err == nil
}

// Guards against an age that starts at zero with each daemon in between: a neighbour
// passes on what it read four seconds ago, and a client that accepts keys for five
// seconds would serve a revoked key for nearly twice that.
func TestAnswerAgeCountsFromConfirmation(t *testing.T) {
	f := New(true)
	f.Add(Batch{Snapshot: true, Records: []Record{record(0)}, Next: 1, Complete: true, Confirmed: 10 * time.Second})
	got, ok := read(f, t.Context(), fixedClock(14*time.Second), Query{From: -1})
	if !ok || !got.Snapshot || len(got.Records) != 1 || got.Next != 1 || got.Age != 4*time.Second {
		t.Errorf("%+v, %v", got, ok)
	}
}

// Guards against a confirmation by a batch that is not the last: readers would take a
// key for valid although the record that revokes it comes with the next batch.
func TestIncompleteBatchDoesNotConfirm(t *testing.T) {
	f := New(true)
	f.Add(Batch{Snapshot: true, Records: []Record{record(0)}, Next: 1, Complete: true, Confirmed: time.Second})
	f.Add(Batch{From: 1, Records: []Record{record(1)}, Next: 2, Confirmed: 5 * time.Second})
	if got, ok := read(f, t.Context(), fixedClock(5*time.Second), Query{From: 1}); !ok || got.Age != 4*time.Second || len(got.Records) != 1 {
		t.Errorf("%+v, %v", got, ok)
	}
}

// Guards against readers that miss records, such as a configuration, because they are
// behind the kept history. Readers that are ahead of the feed must be served too: if
// they were sent to the store, all readers of a daemon would turn there as soon as a
// record reached them by another path.
func TestReadNeverSkipsRecords(t *testing.T) {
	const most = maxKeptRecords + maxKeptRecords/trimSlackDivisor // records kept before a trim
	part := func(from, next int64) Batch {
		b := Batch{From: from, Next: next, Complete: true}
		for i := from; i < next; i++ {
			b.Records = append(b.Records, record(i))
		}
		return b
	}
	for _, keyed := range []bool{false, true} {
		f := New(keyed)
		if _, ok := read(f, t.Context(), fixedClock(0), Query{}); ok {
			t.Error("an empty feed answers")
		}
		f.Add(part(5, 6))
		for from, want := range map[int64]bool{4: keyed, 5: true, 6: true, 7: true} {
			got, ok := read(f, t.Context(), fixedClock(0), Query{From: from})
			if ok != want || ok && (got.Next < from || got.Snapshot != (from == 4) || len(got.Records) != int(max(0, 6-max(from, 5)))) {
				t.Errorf("keyed %v, from %d: %+v, %v", keyed, from, got, ok)
			}
		}
		f.Add(part(9, 10))
		if got, ok := read(f, t.Context(), fixedClock(0), Query{From: 6}); ok != keyed || got.Snapshot != keyed {
			t.Error("a gap was read over")
		}
		for i := int64(10); i < most+50; i++ {
			f.Add(part(i, i+1))
		}
		if got, ok := read(f, t.Context(), fixedClock(0), Query{From: 9}); ok != keyed || got.Snapshot != keyed {
			t.Error("records that were dropped are passed over")
		}
		// Two reads that overlap add each record once.
		f.Add(part(most, most+51))
		if got, ok := read(f, t.Context(), fixedClock(0), Query{From: most + 48}); !ok || len(got.Records) != 3 {
			t.Errorf("%d records after an overlap", len(got.Records))
		}
	}
}

func TestAddWakesWaitingReaders(t *testing.T) {
	for name, b := range map[string]Batch{
		"a record":       {From: 3, Records: []Record{record(3)}, Next: 4},
		"a confirmation": {From: 3, Next: 3, Complete: true, Confirmed: 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := New(true)
			f.Add(Batch{Next: 3, Complete: true, Confirmed: 1})
			began := time.Now()
			go func() {
				time.Sleep(100 * time.Millisecond) // virtual
				f.Add(b)
			}()
			got, ok := read(f, context.Background(), fixedClock(2), Query{From: 3, MaxWait: time.Second, Stamp: 1})
			if !ok || len(got.Records) != len(b.Records) || time.Since(began) != 100*time.Millisecond {
				t.Errorf("%s: %+v, %v after %v", name, got, ok, time.Since(began))
			}
		})
	}
}

// withKeys returns a feed with the given number of keys, each with a value of size bytes.
func withKeys(keys, size int) *Feed {
	f := New(true)
	b := Batch{Snapshot: true, Next: int64(keys), Complete: true, Confirmed: time.Second}
	for i := range keys {
		b.Records = append(b.Records, Record{Key: fmt.Sprintf("k%06d", i), Value: make([]byte, size), Offset: int64(i)})
	}
	f.Add(b)
	return f
}

// readPages reads a snapshot page by page, calls at after each page but the last, and returns
// the records by key and the number of pages.
func readPages(t *testing.T, f *Feed, at func(page int)) (keys map[string]Record, n int) {
	t.Helper()
	keys = map[string]Record{}
	for after := ""; ; n++ {
		got, err := f.Read(t.Context(), fixedClock(time.Second), Query{From: -1, After: after})
		if err != nil || !got.Snapshot {
			t.Fatalf("page %d: %+v, %v", n, got, err)
		}
		for _, r := range got.Records {
			keys[r.Key] = r
			after = r.Key
		}
		if !got.More {
			return keys, n + 1
		}
		at(n)
	}
}

// Guards against a snapshot in a single answer: with ten thousand endpoints it took longer
// over a link of 20 Mbit/s than the timeout of an answer, and each retry began anew.
func TestSnapshotIsPaged(t *testing.T) {
	const keys, size = 10_003, 270
	f := withKeys(keys, size)
	got, n := readPages(t, f, func(int) {})
	if len(got) != keys || n < keys*size/maxPageBytes || n > 2*keys*size/maxPageBytes {
		t.Errorf("%d keys in %d pages", len(got), n)
	}
	large, n := readPages(t, withKeys(3, 4*maxPageBytes), func(int) {})
	if len(large) != 3 || n != 3 {
		t.Errorf("%d keys in %d pages that each have a record over the size of a page", len(large), n)
	}
}

// Guards against keys that are added or removed between two pages and that the reader
// then misses, or keeps.
func TestChangesBetweenPagesAreReadFromNext(t *testing.T) {
	f := withKeys(5000, 100)
	next := int64(5000)
	change := func(key, value string) {
		f.Add(Batch{From: next, Records: []Record{{Key: key, Value: []byte(value), Offset: next}}, Next: next + 1, Complete: true, Confirmed: time.Second})
		next++
	}
	first, err := f.Read(t.Context(), fixedClock(time.Second), Query{From: -1})
	if err != nil || !first.More {
		t.Fatalf("%+v, %v", first, err)
	}
	got, _ := readPages(t, f, func(n int) {
		if n == 0 {
			change("k000000", "")      // on a page already read
			change("k000000a", "come") // sorts into a page already read
			change("k004999", "")      // on a page still to be read
		}
	})
	after, err := f.Read(t.Context(), fixedClock(time.Second), Query{From: first.Next})
	if err != nil || after.Snapshot {
		t.Fatalf("%+v, %v", after, err)
	}
	for _, r := range after.Records {
		got[r.Key] = r
		if len(r.Value) == 0 {
			delete(got, r.Key)
		}
	}
	if _, there := got["k000000"]; there || string(got["k000000a"].Value) != "come" || len(got) != 4999 {
		t.Errorf("%d keys", len(got))
	}
}

// Guards against a single answer with thousands of changes, which would block a slow link.
func TestManyChangesAreSplit(t *testing.T) {
	f := New(true)
	f.Add(Batch{Snapshot: true, Complete: true, Confirmed: time.Second})
	b := Batch{Complete: true, Confirmed: 2 * time.Second}
	for i := range int64(1000) {
		b.Records = append(b.Records, Record{Key: fmt.Sprint("k", i), Value: make([]byte, 270), Offset: i})
	}
	b.Next = 1000
	f.Add(b)
	n := 0
	for from := int64(0); ; {
		got, err := f.Read(t.Context(), fixedClock(2*time.Second), Query{From: from, Stamp: int64(time.Second)})
		if err != nil || got.Snapshot || len(got.Records) == 0 || got.Records[0].Offset != from {
			t.Fatalf("from %d: %+v, %v", from, got, err)
		}
		n += len(got.Records)
		from = got.Next
		if !got.More {
			break
		}
	}
	if n != 1000 {
		t.Errorf("%d records", n)
	}
}

// Guards against a daemon that turns to the store while the daemon that it reads through is
// still reading the topic: the error has to report the progress made.
func TestUnknownErrorReportsProgress(t *testing.T) {
	f := New(true)
	f.RecordProgress(3 * time.Second)
	var unknown *UnknownError
	if _, err := f.Read(t.Context(), fixedClock(5*time.Second), Query{From: -1}); !errors.As(err, &unknown) || unknown.SinceProgress != 2*time.Second {
		t.Errorf("%v", err)
	}
}

func TestAnswerRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) Record {
			return Record{
				Key: rapid.String().Draw(t, "key"), Value: rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "value"),
				Offset: rapid.Int64Range(0, 1<<50).Draw(t, "offset"),
			}
		})
		a := Answer{
			Records: rapid.SliceOfN(record, 0, 20).Draw(t, "records"), Snapshot: rapid.Bool().Draw(t, "all"), More: rapid.Bool().Draw(t, "more"), Detached: rapid.Bool().Draw(t, "detached"),
			Next: rapid.Int64().Draw(t, "next"), Age: time.Duration(rapid.Int64().Draw(t, "age")),
			Waited: time.Duration(rapid.Int64().Draw(t, "held")), Stamp: rapid.Int64().Draw(t, "stamp"),
		}
		got, err := Decode(a.Append(nil))
		if err != nil || fmt.Sprint(got) != fmt.Sprint(a) {
			t.Fatalf("%+v came as %+v, %v", a, got, err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	a := Answer{Records: []Record{record(3), {Key: "x", Offset: 9}}, Snapshot: true, Next: 10, Stamp: 4}
	f.Add(a.Append(nil))
	long := Answer{Records: []Record{{Key: "y", Value: make([]byte, 2*minCompressedBytes)}}}
	f.Add(long.Append(nil))
	f.Add([]byte{formatVersion, flagCompressed, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Decode(data)
		if err != nil {
			return
		}
		if again, err := Decode(got.Append(nil)); err != nil || fmt.Sprint(again) != fmt.Sprint(got) {
			t.Errorf("%+v came as %+v, %v", got, again, err)
		}
	})
}

func BenchmarkPageEncoding(b *testing.B) {
	f := New(true)
	all := Batch{Snapshot: true, Complete: true, Confirmed: time.Second}
	for i := range 10_003 {
		value := fmt.Sprintf(`{"service":"models","address":"10.%d.%d.%d:8265","zone":"zone-%d","version":1,"slots":12,"state":"ready","coldLeftMs":0,"seq":%d,"models":[{"name":"m0","version":1}],"born":%d}`,
			i%5, i/250, i%250, i%5, i*7, 1_800_000_000_000+i*31)
		all.Records = append(all.Records, Record{Key: fmt.Sprintf("i-%010x", i*977), Value: []byte(value), Offset: int64(i)})
	}
	f.Add(all)
	b.ReportAllocs()
	bytes, n := 0, 0
	for b.Loop() {
		after := ""
		for more := true; more; n++ {
			got := f.page(after)
			data := got.Append(nil)
			back, err := Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
			after, more = back.Records[len(back.Records)-1].Key, back.More
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/list")
	b.ReportMetric(float64(n)/float64(b.N), "pages/list")
}

// Guards against two daemons that wait for each other's updates: one that has lost the
// store reads from those that read through it, and must answer them at once.
func TestDetachedFeedAnswersWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(true)
		f.Add(Batch{Next: 3, Complete: true, Confirmed: time.Second})
		f.SetDetached(true)
		began := time.Now()
		ask := func(anything bool) (Answer, time.Duration) {
			got, err := f.Read(t.Context(), fixedClock(time.Second), Query{From: 3, MaxWait: time.Minute, Stamp: int64(time.Second), AcceptDetached: anything})
			if err != nil {
				t.Fatal(err)
			}
			return got, time.Since(began)
		}
		if got, waited := ask(false); !got.Detached || waited > 0 {
			t.Errorf("%+v after %v", got, waited)
		}
		if got, waited := ask(true); !got.Detached || waited != time.Minute {
			t.Errorf("%+v after %v for a daemon that has no other", got, waited)
		}
	})
}
