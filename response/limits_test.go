package response

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
)

const testBudget = 1 << 20

// Guards against a body that is cut off unnoticed, or held beyond its limit.
func TestBodyLimit(t *testing.T) {
	l := NewLimits(testBudget, nil)
	for _, limit := range []int64{0, 1, firstBodyBytes - 1, firstBodyBytes, 3 * firstBodyBytes, 1 << 17} {
		for _, size := range []int64{limit - 1, limit, limit + 1, 4 * limit} {
			if size < 0 {
				continue
			}
			body, held, err := l.ReadBody(strings.NewReader(strings.Repeat("x", int(size))), limit)
			if tooLong := boundOf(err) == BoundBody; tooLong != (size > limit) || !tooLong && err != nil {
				t.Errorf("%d bytes with a limit of %d: %v", size, limit, err)
			}
			if n := int64(len(body)); n != min(size, limit+1) || int64(cap(body)) > max(firstBodyBytes, limit+1) {
				t.Errorf("%d bytes with a limit of %d: %d read, %d held", size, limit, n, cap(body))
			}
			held.Release()
		}
	}
	if n := l.Held(); n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
	if _, _, err := l.ReadBody(io.MultiReader(strings.NewReader("half"), failing{}), 100); !errors.Is(err, io.ErrNoProgress) {
		t.Errorf("error %v", err)
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrNoProgress }

// Guards against a sum of bodies beyond the budget, and against short bodies that are refused
// because of it.
func TestBudgetBoundsTheSumOfBodies(t *testing.T) {
	l := NewLimits(testBudget, nil)
	var all []*Holding
	taken := int64(0)
	for {
		body, held, err := l.ReadBody(&cycle{text: "x"}, 100<<10)
		if l.Held() > testBudget {
			t.Fatalf("%d bytes are held", l.Held())
		}
		taken += int64(len(body))
		all = append(all, &held)
		if boundOf(err) == BoundBudget {
			break
		}
	}
	if taken < testBudget/2/growthFactor || len(all) < 4 {
		t.Errorf("%d bytes in %d bodies were read", taken, len(all))
	}
	if err := l.DecodeBody(strings.NewReader(strings.Repeat("x", FreeBytes)), FreeBytes, func([]byte) error { return nil }); err != nil {
		t.Errorf("short body: %v", err)
	}
	for _, h := range all {
		h.Release()
		h.Release()
	}
	if n := l.Held(); n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
}

// Guards against an accounting that loses bytes when bodies are read, resized and released at
// the same time.
func TestBudgetIsReturnedByAll(t *testing.T) {
	l := NewLimits(testBudget, nil)
	var all sync.WaitGroup
	for i := range 32 {
		all.Go(func() {
			for n := range 200 {
				held := l.Hold()
				for size := range 5 {
					_ = held.Resize(int64((i + n + size) % 7 * FreeBytes))
				}
				held.Release()
				_ = l.DecodeBody(bytes.NewReader(make([]byte, 50<<10)), 60<<10, func([]byte) error { return nil })
			}
		})
	}
	all.Wait()
	if n := l.Held(); n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
}

// Guards against limits that are exceeded without a count, and other errors that are counted.
func TestObserveReportsExceededLimits(t *testing.T) {
	var seen []string
	l := NewLimits(1, func(reader, id, from string, e *Error) {
		seen = append(seen, reader+" "+id+" "+from+" "+string(e.Bound))
	})
	l.Observe("attempt", "a", "e", errors.Join(io.EOF, &Error{Bound: BoundHead}))
	l.Observe("attempt", "a", "e", io.EOF)
	l.Observe("attempt", "a", "e", nil)
	(*Limits)(nil).Observe("attempt", "a", "e", &Error{})
	if len(seen) != 1 || seen[0] != "attempt a e head" {
		t.Errorf("%q", seen)
	}
}

func BenchmarkReadBody(b *testing.B) {
	l := NewLimits(testBudget, nil)
	body := bytes.Repeat([]byte("x"), 800)
	b.ReportAllocs()
	for b.Loop() {
		if err := l.DecodeBody(bytes.NewReader(body), 1<<20, func([]byte) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
