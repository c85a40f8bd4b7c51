package prefix

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestFormatAndParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := 0
		var levels []Level
		for range rapid.IntRange(0, MaxLevels).Draw(t, "levels") {
			l := Level{}
			copy(l.Key[:], rapid.SliceOfN(rapid.Byte(), KeySize, KeySize).Draw(t, "key"))
			tokens += rapid.IntRange(0, 1<<20).Draw(t, "tokens")
			l.Tokens = tokens
			levels = append(levels, l)
		}
		text := Format(levels)
		if len(text) > MaxFormattedBytes {
			t.Fatalf("%d bytes", len(text))
		}
		got, err := Parse(text)
		if err != nil || len(got) != min(len(levels), MaxFormattedLevels) {
			t.Fatalf("%d of %d levels, %v", len(got), len(levels), err)
		}
		for i := range got {
			if got[i] != levels[i] {
				t.Fatalf("level %d: %+v, want %+v", i, got[i], levels[i])
			}
		}
	})
}

func TestParseRejectsInvalidText(t *testing.T) {
	key := strings.Repeat("ab", KeySize)
	for _, text := range []string{
		"x", key, key + ":", key + ":-1", key + ":1,", key + ":5," + key + ":4",
		key[1:] + ":1", key + ":1000000000", strings.Repeat(key+":1,", 200) + key + ":1",
	} {
		if _, err := Parse(text); err == nil {
			t.Errorf("accepted %.60q", text)
		}
	}
}

func TestFormatAllocatesOnlyResult(t *testing.T) {
	levels := make([]Level, 12)
	for i := range levels {
		levels[i].Tokens = 2000 * (i + 1)
	}
	if n := testing.AllocsPerRun(100, func() { _ = Format(levels) }); n > 1 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkFormat(b *testing.B) {
	levels := make([]Level, 12)
	for i := range levels {
		levels[i].Tokens = 2000 * (i + 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = Format(levels)
	}
}
