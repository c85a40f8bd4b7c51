package prefix

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

func splitPrompt(c *Splitter, s Seed, messages ...string) []Level {
	c.Reset(s)
	for _, m := range messages {
		c.Write([]byte(m))
		c.EndMessage()
	}
	return append([]Level(nil), c.Levels()...)
}

func TestCommonBeginningHasEqualKeys(t *testing.T) {
	c := NewSplitter(Options{PieceTokens: 4, BytesPerToken: 1})
	a := splitPrompt(c, Seed{Organisation: "o"}, "preamble", "sheet", "q1")
	b := splitPrompt(c, Seed{Organisation: "o"}, "preamble", "sheet", "q2")
	if len(a) != 5 || len(b) != 5 {
		t.Fatalf("levels = %d and %d, want 5", len(a), len(b))
	}
	for i := range 4 {
		if a[i] != b[i] {
			t.Errorf("level %d differs below the question", i)
		}
	}
	if a[4].Key == b[4].Key {
		t.Error("different questions have one key")
	}
}

// Two organisations send the same text, or text that together with the organisation's name
// gives the same bytes. If their keys were equal, answer times would reveal the other's
// prompts, and an import would transfer its cache.
func TestSeedsSeparateKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(1, 64, -1).Draw(t, "text")
		word := rapid.StringN(0, 6, -1)
		draw := func(name string) Seed {
			return Seed{
				Model: word.Draw(t, name+" model"), Version: word.Draw(t, name+" version"),
				Adapter: word.Draw(t, name+" adapter"), AdapterVersion: word.Draw(t, name+" adapter version"),
			}
		}
		one, two := draw("one"), draw("two")
		c := NewSplitter(Options{})
		a, b := splitPrompt(c, one, text), splitPrompt(c, two, text)
		if (a[0].Key == b[0].Key) != (one == two) {
			t.Fatalf("seeds %+v and %+v: keys %v and %v", one, two, a[0].Key, b[0].Key)
		}
	})
}

func TestWriteBoundariesDoNotAffectLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "text")
		at := rapid.IntRange(0, len(text)).Draw(t, "at")
		c := NewSplitter(Options{PieceTokens: 7, BytesPerToken: 2})
		want := splitPrompt(c, Seed{}, string(text))
		c.Reset(Seed{})
		c.Write(text[:at])
		c.Write(text[at:])
		c.EndMessage()
		for i, l := range c.Levels() {
			if l != want[i] {
				t.Fatalf("level %d differs when written in two parts", i)
			}
		}
		if c.Tokens() != (len(text)+1)/2 {
			t.Fatalf("Tokens = %d for %d bytes", c.Tokens(), len(text))
		}
	})
}

func TestAffinityLevel(t *testing.T) {
	tests := []struct {
		name     string
		messages []int // tokens
		want     int   // tokens up to the level; pieces are of 10
	}{
		{"nothing", nil, -1},
		{"one piece", []int{5}, 5},
		{"raw prompt", []int{45}, 20},
		{"short raw prompt", []int{15}, 10},
		{"preamble and question", []int{8, 3}, 8},
		{"long preamble and question", []int{28, 3}, 28},
		{"preamble and excerpt of the same length", []int{8, 8}, 8},
		{"document and question in one message", []int{8, 45}, 18},
		{"preamble, document, question", []int{8, 45, 3}, 53},
		{"preamble, instructions, history, question", []int{8, 15, 40, 3}, 63},
		{"a later turn", []int{8, 45, 3, 9, 4}, 53},
	}
	c := NewSplitter(Options{PieceTokens: 10, BytesPerToken: 1})
	for _, tt := range tests {
		c.Reset(Seed{})
		for _, n := range tt.messages {
			c.Write(make([]byte, n))
			c.EndMessage()
		}
		got := AffinityLevel(c.Levels())
		if got >= 0 {
			got = c.Levels()[got].Tokens
		}
		if got != tt.want {
			t.Errorf("%s: placed by the first %d tokens, want %d", tt.name, got, tt.want)
		}
	}
}

func TestKeyText(t *testing.T) {
	want := Key{1, 2, 255}
	text, _ := want.MarshalText()
	var got Key
	if err := got.UnmarshalText(text); err != nil || got != want {
		t.Errorf("UnmarshalText(%s) = %v, %v", text, got, err)
	}
	if err := got.UnmarshalText([]byte("xyz")); err == nil {
		t.Error("text that is not a key was accepted")
	}
}

func TestSplitterBoundsLevelsAndAllocations(t *testing.T) {
	c := NewSplitter(Options{PieceTokens: 1, BytesPerToken: 1})
	text := bytes.Repeat([]byte("x"), 2*MaxLevels)
	if got := len(splitPrompt(c, Seed{}, string(text))); got != MaxLevels {
		t.Errorf("levels = %d, want the bound %d", got, MaxLevels)
	}
	allocs := testing.AllocsPerRun(50, func() {
		c.Reset(Seed{Organisation: "registre", Model: "m"})
		c.Write(text)
		c.EndMessage()
	})
	if allocs != 0 {
		t.Errorf("allocations per prompt = %v, want 0", allocs)
	}
}

func BenchmarkSplit(b *testing.B) {
	text := bytes.Repeat([]byte("specification "), 4000)
	c := NewSplitter(Options{})
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		c.Reset(Seed{Organisation: "registre", Model: "m"})
		c.Write(text)
		c.EndMessage()
	}
}
