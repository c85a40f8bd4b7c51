package stream

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Property: engines may crash, restart the answer instead of resuming it, number
// their tokens or not, omit tokens and send events of earlier attempts. The
// delivered tokens are always a prefix of the answer, each token once and in order,
// and an answer reported as complete has all tokens.
func TestDeliversTokensOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.Int64Range(0, 12).Draw(t, "length")
		var a Assembler
		var got []int64
		for range rapid.IntRange(1, 5).Draw(t, "attempts") {
			numbered := rapid.Bool().Draw(t, "numbered")
			last, resumable := a.ResumePoint()
			if !resumable {
				break
			}
			n := a.BeginAttempt()
			at := int64(0)
			if numbered && rapid.Bool().Draw(t, "resumes") {
				at = last + 1
			}
			got = runAttempt(t, &a, n, at, length, numbered, got)
		}
		for i, token := range got {
			if token != int64(i) {
				t.Fatalf("delivered tokens %v", got)
			}
		}
		if a.Delivered() != int64(len(got)) || a.Complete() && a.Delivered() != length {
			t.Fatalf("complete %v with %d of %d tokens", a.Complete(), len(got), length)
		}
	})
}

// runAttempt simulates an engine that sends the tokens from at on and then the end
// marker. It may crash, omit numbered tokens and send events of the previous attempt.
func runAttempt(t *rapid.T, a *Assembler, n AttemptNumber, at, length int64, numbered bool, got []int64) []int64 {
	for ; at < length; at++ {
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			return got
		case 1:
			if numbered {
				continue
			}
		case 2:
			if _, err := a.AddToken(n-1, at); !errors.Is(err, ErrLateAttempt) {
				t.Fatalf("token of the previous attempt: %v, want ErrLateAttempt", err)
			}
		}
		index := at
		if !numbered {
			index = Unindexed
		}
		action, err := a.AddToken(n, index)
		if err != nil {
			return got
		}
		if action == Deliver {
			got = append(got, at)
		}
	}
	total := length
	if !numbered {
		total = Unindexed
	}
	_ = a.EndAttempt(n, total)
	return got
}

func TestTokenActions(t *testing.T) {
	type step struct {
		begin bool
		index int64
		want  TokenAction
		err   error
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"duplicates after a resume", []step{{begin: true}, {index: 0, want: Deliver}, {index: 1, want: Deliver}, {begin: true}, {index: 0, want: Duplicate}, {index: 1, want: Duplicate}, {index: 2, want: Deliver}}},
		{"gap", []step{{begin: true}, {index: 0, want: Deliver}, {index: 2, err: ErrGap}}},
		{"mixed", []step{{begin: true}, {index: 0, want: Deliver}, {index: Unindexed, err: ErrMixedNumbering}}},
		{"unnumbered after a numbered one", []step{{begin: true}, {index: 0, want: Deliver}, {begin: true}, {index: Unindexed, err: ErrNotResumable}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a Assembler
			var n AttemptNumber
			for i, s := range tt.steps {
				if s.begin {
					n = a.BeginAttempt()
					continue
				}
				if got, err := a.AddToken(n, s.index); got != s.want || !errors.Is(err, s.err) {
					t.Errorf("step %d gave %v, %v; want %v, %v", i, got, err, s.want, s.err)
				}
			}
		})
	}
}

// A runner that takes over a stream may generate a different, shorter answer. Its
// end marker must not complete the answer, of which more tokens were delivered.
func TestRefusesEndAtWrongLength(t *testing.T) {
	var a Assembler
	n := a.BeginAttempt()
	for i := range int64(5) {
		_, _ = a.AddToken(n, i)
	}
	n = a.BeginAttempt()
	_, _ = a.AddToken(n, 0)
	if err := a.EndAttempt(n, Unindexed); !errors.Is(err, ErrWrongLength) || a.Complete() {
		t.Errorf("EndAttempt returned %v", err)
	}
	n = a.BeginAttempt()
	if err := a.EndAttempt(n, 6); !errors.Is(err, ErrWrongLength) || a.Complete() {
		t.Errorf("EndAttempt returned %v", err)
	}
	if err := a.EndAttempt(n, 5); err != nil || !a.Complete() {
		t.Errorf("EndAttempt returned %v", err)
	}
}
