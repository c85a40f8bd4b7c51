package bytebudget

import (
	"context"
	"errors"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const testSize = 1 << 20

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261206")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// ended is a context with which nothing waits for room.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// holder is a holding of a test.
type holder struct {
	*Holding
	given    bool // it was asked to give way
	finished bool
	progress time.Time
}

// Guards against bytes beyond the budget or lost to it, and against a request that has to give
// way although it is whole or makes progress, in any order of what requests do.
func TestBudgetHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := New(testSize, func() time.Time { return now })
		var all []*holder
		waiter := b.Request("late", func() {})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				h := &holder{}
				h.Holding = b.Request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"), func() {
					if h.finished || now.Sub(h.progress) < StallAfter {
						t.Fatalf("gives way though finished %t, %v after its progress", h.finished, now.Sub(h.progress))
					}
					h.given = true
				})
				all = append(all, h)
			}
			h := rapid.SampledFrom(all).Draw(t, "holding")
			switch rapid.SampledFrom([]string{"grow", "progress", "finish", "release", "time", "press"}).Draw(t, "step") {
			case "grow":
				if err := h.Grow(ended(), h.Bytes()+int64(rapid.IntRange(0, testSize/4).Draw(t, "more"))); err == nil {
					h.progress = now
				} else if h.given != errors.Is(err, ErrShed) {
					t.Fatalf("given %t, %v", h.given, err)
				}
			case "progress":
				h.Progress()
				h.progress = now
			case "finish":
				if err := h.Finish(h.Bytes() / 2); (err != nil) != h.given {
					t.Fatalf("given %t, %v", h.given, err)
				}
				h.finished = !h.given
			case "release":
				h.Release()
				all = without(all, h)
			case "time":
				now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			case "press":
				_ = waiter.Grow(ended(), testSize/2)
				_ = waiter.Grow(ended(), 0)
			}
			sum := waiter.Bytes()
			for _, h := range all {
				sum += h.Bytes()
			}
			if held := b.Held(Requests); held != sum || held > b.Share() && len(all) > 1 && held > largest(all) {
				t.Fatalf("%d bytes are held, %d by all, %d allowed", held, sum, b.Share())
			}
		}
		for _, h := range all {
			h.Release()
			h.Release()
		}
		waiter.Release()
		if held := b.Held(Requests); held != 0 || len(b.owners) > 0 || len(b.unfinished) > 0 || len(b.waiting) > 0 {
			t.Fatalf("%d bytes are still held, owners %v, %d unfinished, %d wait", held, b.owners, len(b.unfinished), len(b.waiting))
		}
	})
}

func without(all []*holder, h *holder) []*holder {
	var out []*holder
	for _, other := range all {
		if other != h {
			out = append(out, other)
		}
	}
	return out
}

func largest(all []*holder) int64 {
	most := int64(0)
	for _, h := range all {
		most = max(most, h.Bytes())
	}
	return most
}

// Guards against a newcomer that is refused while others hold room without making progress,
// and against one of these that is kept waiting for its end.
func TestStalledRequestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testSize, time.Now)
		given := make([]bool, 2)
		var all []*Holding
		for i := range given {
			var h *Holding
			h = b.Request([]string{"a", "b"}[i], func() {
				given[i] = true
				go h.Release()
			})
			all = append(all, h)
			if err := h.Grow(t.Context(), b.Share()/2); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(StallAfter / 2)
		all[1].Progress()
		began := time.Now()
		h := b.Request("c", nil)
		if err := h.Grow(t.Context(), b.Share()/2); err != nil || !given[0] || given[1] {
			t.Errorf("%v after %v, asked to give way: %v", err, time.Since(began), given)
		}
		if took := time.Since(began); took > StallAfter {
			t.Errorf("waited %v", took)
		}
	})
}

// Guards against a whole request that is dropped for a newcomer, and against a newcomer that
// waits for longer than MaxWait.
func TestWholeRequestsDoNotGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testSize, time.Now)
		whole := b.Request("a", func() { t.Error("a whole request gives way") })
		if err := whole.Grow(t.Context(), b.Share()); err != nil {
			t.Fatal(err)
		}
		if err := whole.Finish(b.Share()); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := b.Request("b", nil).Grow(t.Context(), 1); !errors.Is(err, ErrNoRoom) || time.Since(began) != MaxWait {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		time.AfterFunc(MaxWait/2, whole.Release)
		if err := b.Request("b", nil).Grow(t.Context(), 1); err != nil || time.Since(began) != MaxWait+MaxWait/2 {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}

// Guards against room that goes to a request which has ended while it waited, and is never
// returned.
func TestEndedRequestGetsNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testSize, time.Now)
		first, waiting := b.Request("a", nil), b.Request("b", nil)
		if err := first.Grow(t.Context(), b.Share()); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- waiting.Grow(t.Context(), 1) }()
		synctest.Wait()
		waiting.Release()
		first.Release()
		if err := <-ended; err == nil || b.Held(Requests) != 0 {
			t.Errorf("%v, %d bytes are held", err, b.Held(Requests))
		}
	})
}

// Guards against an owner who leaves no room for others, and whose waiting requests hold up
// theirs.
func TestOwnerDoesNotFillTheRoomOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testSize, time.Now)
		first := b.Request("a", nil)
		if err := first.Grow(t.Context(), b.Share()/2); err != nil {
			t.Fatal(err)
		}
		if err := first.Finish(b.Share() / 2); err != nil {
			t.Fatal(err)
		}
		refused := make(chan error, 1)
		go func() { refused <- b.Request("a", nil).Grow(t.Context(), b.Share()/4) }()
		synctest.Wait()
		began := time.Now()
		if err := b.Request("b", nil).Grow(t.Context(), b.Share()/4); err != nil || time.Since(began) > recheckInterval {
			t.Errorf("another owner: %v after %v", err, time.Since(began))
		}
		if err := <-refused; !errors.Is(err, ErrNoRoom) {
			t.Errorf("the same owner: %v", err)
		}
	})
}

// Guards against a request that is never served because it exceeds the share of requests, though
// the process has room for it.
func TestLargeRequestIsHeldAlone(t *testing.T) {
	b := New(testSize, time.Now)
	h := b.Request("a", nil)
	if err := h.Grow(ended(), testSize); err != nil {
		t.Error(err)
	}
	if err := b.Request("a", nil).Grow(ended(), 1); err == nil {
		t.Error("another has room beside it")
	}
	h.Release()
	if err := b.Request("a", nil).Grow(ended(), testSize+1); !errors.Is(err, ErrNoRoom) {
		t.Errorf("more than the budget: %v", err)
	}
}

// Guards against answers that leave no room for requests, or requests that leave none for
// answers.
func TestKindsHaveTheirOwnRoom(t *testing.T) {
	b := New(testSize, time.Now)
	if !b.TakeAnswer(b.Share()) || b.TakeAnswer(1) {
		t.Error("answers do not have their share")
	}
	if err := b.Request("a", nil).Grow(ended(), b.Share()); err != nil {
		t.Error(err)
	}
	b.TakeAnswer(-b.Share())
	if n := b.Held(Answers); n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
	var none *Budget
	if none.Held(Answers) != 0 || none.MaxRequest() != 0 || none.Request("a", nil).Grow(ended(), 1<<40) != nil {
		t.Error("a missing budget has a bound")
	}
}

func BenchmarkRequest(b *testing.B) {
	budget := New(testSize, time.Now)
	b.ReportAllocs()
	for b.Loop() {
		h := budget.Request("a", nil)
		_ = h.Grow(b.Context(), 1000)
		_ = h.Finish(1000)
		h.Release()
	}
}
