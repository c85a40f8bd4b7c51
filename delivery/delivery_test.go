package delivery

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// caller is what a caller has received, in order.
type caller struct {
	heads   int
	streams bool // the head was one of a stream
	attempt int  // that brought the last bytes
	cut     bool // the bytes end within an event or body, or behind an event that can't be continued
	ended   bool
}

// Guards against a caller who gets parts of two answers, two heads, or bytes behind the end, in
// any order of attempts, breaks, retries and ends.
func TestCallerGetsOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sent
		var c caller
		attempt := 1
		next := func() { // a retry, if one may follow
			if s.Continuable() {
				attempt++
			}
		}
		write := func() {
			if c.ended || c.cut && attempt != c.attempt {
				t.Fatalf("bytes of attempt %d behind %+v", attempt, c)
			}
			c.attempt = attempt
		}
		head := func(stream bool) {
			if c.heads++; c.heads > 1 {
				t.Fatal("two heads")
			}
			write()
			c.streams = stream
		}
		t.Repeat(map[string]func(*rapid.T){
			"retry": func(*rapid.T) { next() },
			"events": func(t *rapid.T) {
				if c.cut && attempt == c.attempt {
					return // the attempt has ended with its break
				}
				sendHead, ok := s.BeginStream()
				if !ok {
					return
				}
				if sendHead {
					head(true)
				}
				continuable := rapid.Bool().Draw(t, "continuable")
				write()
				s.AddEvents(rapid.IntRange(1, 9).Draw(t, "bytes"), continuable)
				c.cut = c.cut || !continuable
			},
			"broken event": func(*rapid.T) {
				if _, ok := s.BeginStream(); ok && c.heads > 0 {
					write()
					s.Break()
					c.cut = true
				} else if ok {
					head(true)
				}
			},
			"body": func(*rapid.T) {
				if s.BeginBody() {
					head(false)
					s.AddBody(5)
					c.cut = true
				}
			},
			"end": func(*rapid.T) {
				if s.Nothing() || c.attempt != attempt {
					return
				}
				s.End()
				c.ended = true
			},
			"": func(t *rapid.T) {
				switch {
				case s.Nothing() != (c.heads == 0):
					t.Fatalf("nothing %t, caller has %+v", s.Nothing(), c)
				case s.Continuable() && (c.cut || c.ended || c.heads > 0 && !c.streams):
					t.Fatalf("another attempt may follow %+v", c)
				case !s.Continuable() && !c.cut && !c.ended:
					t.Fatalf("no attempt may follow %+v", c)
				case !s.Nothing() && s.BeginBody():
					t.Fatal("a second answer may begin")
				}
			},
		})
	})
}
