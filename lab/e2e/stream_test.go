package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
)

// A runner breaks in one of many ways: it dies before the first byte, between
// two tokens, or after the last token but before the end marker; it ends its
// stream cleanly without the marker, leaves out a token, sends rubbish, a line
// or a header without an end, reports an error, or hangs. The caller sees one
// whole answer in order, with nothing twice and nothing missing.
func TestStreamIsWholeWhenARunnerBreaks(t *testing.T) {
	tests := []struct {
		name    string
		fault   standin.Fault
		rest    int // tokens the second runner has left to generate
		resumes int
	}{
		{"before the first byte", standin.Fault{Kind: standin.FaultBeforeFirstByte}, 8, 0},
		{"in mid-stream", standin.Fault{Kind: standin.FaultMidStream, After: 3}, 5, 1},
		{"before the end marker", standin.Fault{Kind: standin.FaultBeforeEnd}, 0, 1},
		{"clean end without the marker", standin.Fault{Kind: standin.FaultMissingEndMarker}, 0, 1},
		{"missing token", standin.Fault{Kind: standin.FaultSkippedToken, After: 3}, 5, 1},
		{"malformed event", standin.Fault{Kind: standin.FaultMalformed, After: 3}, 5, 1},
		{"endless line", standin.Fault{Kind: standin.FaultEndlessLine, After: 3}, 5, 1},
		{"reported error", standin.Fault{Kind: standin.FaultError, After: 3}, 5, 1},
		{"missing last token", standin.Fault{Kind: standin.FaultSkippedToken, After: 7}, 1, 1},
		{"hang", standin.Fault{Kind: standin.FaultHang, After: 3}, 5, 1},
		{"hang before the first token", standin.Fault{Kind: standin.FaultHang}, 8, 0},
		{"endless header", standin.Fault{Kind: standin.FaultEndlessHeader}, 8, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, worldOptions{runners: 2}, func(w *world) {
				w.runners[0].InjectFaults(tt.fault)
				_, s := w.stream(chatBody)
				s.whole(t)
				if got := w.runners[1].Stats().GeneratedTokens; got != tt.rest {
					t.Errorf("the second runner generated %d tokens, want %d", got, tt.rest)
				}
				if rep := w.observer.last(); rep.Attempts != 2 || rep.ResumedAttempts != tt.resumes || rep.Tokens != 8 {
					t.Errorf("report is %+v", rep)
				}
			})
		})
	}
}

// The runner that takes over begins at the first token again, since it does
// not know of resuming. The caller must not read the first tokens twice.
func TestTokensSentAgainAreDropped(t *testing.T) {
	o := worldOptions{runners: 2, runner: standin.RunnerOptions{IgnoresResume: true}}
	inWorld(t, o, func(w *world) {
		w.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultMidStream, After: 3})
		_, s := w.stream(chatBody)
		s.whole(t)
		if got := w.observer.last().DuplicateTokens; got != 3 {
			t.Errorf("%d tokens were dropped, want 3", got)
		}
	})
}

// Every runner dies in mid-stream. The caller cannot get the rest, and must
// see an error where the end marker would be instead of a short answer.
func TestStreamThatCannotBeCompletedEndsWithAnError(t *testing.T) {
	inWorld(t, worldOptions{runners: 2}, func(w *world) {
		for _, r := range w.runners {
			r.InjectFaults(standin.Fault{Kind: standin.FaultMidStream, After: 2})
		}
		a, s := w.stream(chatBody)
		if a.err != nil || s.done || s.err != gateway.CodeStreamCut || s.outcome != string(gateway.OutcomeUnknown) {
			t.Errorf("stream ended with done %v, error %q, outcome %q, %v", s.done, s.err, s.outcome, a.err)
		}
		if len(s.indices) != 4 {
			t.Errorf("the caller got tokens %v, want 4 of them", s.indices)
		}
	})
}

// An engine that knows nothing of the protocol numbers no tokens. Its stream
// passes through; when it dies, nobody can say where another would go on, so
// after the first token the stream ends with an error instead of beginning
// anew in the middle.
func TestRunnerThatNumbersNoTokens(t *testing.T) {
	o := worldOptions{runners: 2, runner: standin.RunnerOptions{Plain: true}}
	t.Run("whole", func(t *testing.T) {
		inWorld(t, o, func(w *world) {
			_, s := w.stream(chatBody)
			s.whole(t)
		})
	})
	t.Run("dies before the first byte", func(t *testing.T) {
		inWorld(t, o, func(w *world) {
			w.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultBeforeFirstByte})
			_, s := w.stream(chatBody)
			s.whole(t)
		})
	})
	t.Run("dies in mid-stream", func(t *testing.T) {
		inWorld(t, o, func(w *world) {
			w.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultMidStream, After: 3})
			_, s := w.stream(chatBody)
			if s.done || s.err != gateway.CodeStreamCut || len(s.indices) != 3 {
				t.Errorf("stream ended with done %v, error %q after %v", s.done, s.err, s.indices)
			}
			if n := w.runners[1].Stats().Requests; n != 0 {
				t.Errorf("the second runner took %d requests", n)
			}
		})
	})
}

// An answer that belongs to an earlier attempt or to another request arrives
// on this one's connection. The caller must not see a token of it.
func TestCrossedAnswerIsDropped(t *testing.T) {
	inWorld(t, worldOptions{runners: 2}, func(w *world) {
		w.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultWrongAttempt})
		_, s := w.stream(chatBody)
		s.whole(t)
		if rep := w.observer.last(); rep.MismatchedAnswers != 1 || rep.Attempts != 2 {
			t.Errorf("report is %+v", rep)
		}
	})
}

// New weights are published while a stream is open, and its runner dies. The
// rest must come from the weights that the answer began with; when only the
// new ones are left, the stream ends with an error rather than in two halves
// of two models.
func TestStreamKeepsItsWeights(t *testing.T) {
	tests := []struct {
		name  string
		upset func(w *world)
		whole bool
	}{
		{"another runner has the old weights", func(*world) {}, true},
		{"the only other has the new weights and refuses", func(w *world) { w.runners[1].SetWeightVersion("v2") }, false},
		{"the only other says it used others", func(w *world) {
			w.runners[1].InjectFaults(standin.Fault{Kind: standin.FaultWrongWeightVersion})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := worldOptions{runners: 2, runner: standin.RunnerOptions{WeightVersion: "v1", Decode: time.Second}}
			inWorld(t, o, func(w *world) {
				w.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultMidStream, After: 3})
				time.AfterFunc(2*time.Second, func() {
					m := testManifest()
					m.Models[0].Version = "v2"
					w.publish(m)
					tt.upset(w)
				})
				_, s := w.stream(chatBody)
				if tt.whole {
					s.whole(t)
					return
				}
				if s.done || s.err != gateway.CodeStreamCut || len(s.indices) != 3 {
					t.Errorf("stream ended with done %v, error %q after %v", s.done, s.err, s.indices)
				}
			})
		})
	}
}

// A runner announces more bytes than it sends before its connection breaks.
// The caller gets the whole answer from another instead of a cut one.
func TestWholeAnswerIsNotCut(t *testing.T) {
	body := strings.Replace(chatBody, `"stream":true,`, "", 1)
	for _, kind := range []standin.FaultKind{standin.FaultContentLength, standin.FaultAfterRun} {
		inWorld(t, worldOptions{runners: 2}, func(w *world) {
			w.runners[0].InjectFaults(standin.Fault{Kind: kind})
			a := w.do(w.request(http.MethodPost, "/v1/chat/completions", registreKey, body))
			if a.status != http.StatusOK || a.err != nil || !strings.Contains(a.body, `"completion_tokens":8`) {
				t.Errorf("got %d %s %v", a.status, a.body, a.err)
			}
		})
	}
}

// A runner crashes and comes back empty under the same address. What answers
// say must show it, or later requests would be sent there for a cache that is
// gone.
func TestRunnerBackEmptyShowsInItsAnswers(t *testing.T) {
	inWorld(t, worldOptions{runners: 1}, func(w *world) {
		w.stream(chatBody)
		w.stream(chatBody)
		w.runners[0].Restart()
		w.stream(chatBody)
		var got []engine.Metadata
		for _, res := range w.observer.results {
			got = append(got, res.Meta)
		}
		if len(got) != 3 || got[1].CachedTokens == 0 || got[2].CachedTokens != 0 || got[1].Incarnation == got[2].Incarnation {
			t.Errorf("answers said %+v", got)
		}
	})
}

// A caller closes its connection in mid-stream. The engine's work must end
// with it, or its batch slot is lost for as long as the answer would be.
func TestCallerThatLeavesCancelsTheEngine(t *testing.T) {
	o := worldOptions{runners: 2, runner: standin.RunnerOptions{Decode: time.Second}}
	inWorld(t, o, func(w *world) {
		resp, err := w.client.Do(w.request(http.MethodPost, "/v1/chat/completions", registreKey, chatBody))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond) // virtual
		_ = resp.Body.Close()
		time.Sleep(2 * time.Second) // virtual
		if s := w.runners[0].Stats(); s.Cancelled != 1 || s.GeneratedTokens > 3 {
			t.Errorf("the runner did %+v", s)
		}
		if rep := w.observer.last(); !rep.CallerLeft || rep.Attempts != 1 || rep.Code != gateway.CodeCallerLeft {
			t.Errorf("report is %+v", rep)
		}
	})
}
