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

// A runner fails during a stream: it crashes before the first byte, between two
// tokens or before the end marker, ends the stream without the marker, skips a
// token, sends malformed data or an endless line or header, reports an error, or
// hangs. The caller must still get one complete answer in order, without
// duplicate or missing tokens.
func TestStreamIsCompleteAfterRunnerFault(t *testing.T) {
	tests := []struct {
		name      string
		fault     standin.Fault
		remaining int // tokens that the second runner has to generate
		resumes   int
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
			runInTestbed(t, testbedOptions{runners: 2}, func(tb *testbed) {
				tb.runners[0].InjectFaults(tt.fault)
				_, s := tb.streamChat(chatBody)
				s.expectComplete(t)
				if got := tb.runners[1].Stats().GeneratedTokens; got != tt.remaining {
					t.Errorf("the second runner generated %d tokens, want %d", got, tt.remaining)
				}
				if rep := tb.observer.last(); rep.Attempts != 2 || rep.ResumedAttempts != tt.resumes || rep.Tokens != 8 {
					t.Errorf("report is %+v", rep)
				}
			})
		})
	}
}

// A runner that doesn't support resuming starts again at the first token after a
// failover. The tokens that were already sent must not reach the caller twice.
func TestDropsDuplicateTokensAfterFailover(t *testing.T) {
	o := testbedOptions{runners: 2, runner: standin.RunnerOptions{IgnoresResume: true}}
	runInTestbed(t, o, func(tb *testbed) {
		tb.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultMidStream, After: 3})
		_, s := tb.streamChat(chatBody)
		s.expectComplete(t)
		if got := tb.observer.last().DuplicateTokens; got != 3 {
			t.Errorf("%d tokens were dropped, want 3", got)
		}
	})
}

// Every runner crashes in mid-stream. The stream must end with an error in place
// of the end marker, so that the caller can't take it for a complete answer.
func TestStreamEndsWithErrorWhenAllRunnersFail(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 2}, func(tb *testbed) {
		for _, r := range tb.runners {
			r.InjectFaults(standin.Fault{Kind: standin.FaultMidStream, After: 2})
		}
		a, s := tb.streamChat(chatBody)
		if a.err != nil || s.done || s.err != gateway.CodeStreamCut || s.outcome != string(gateway.OutcomeUnknown) {
			t.Errorf("stream ended with done %v, error %q, outcome %q, %v", s.done, s.err, s.outcome, a.err)
		}
		if len(s.indices) != 4 {
			t.Errorf("the caller got tokens %v, want 4 of them", s.indices)
		}
	})
}

// An engine that doesn't implement the protocol sends no token numbers. Its
// stream is relayed, but cannot be resumed: after a crash the position of the
// last token is unknown. Once a token was sent, the stream must end with an error
// instead of an answer that starts again in the middle.
func TestRunnerWithoutTokenNumbers(t *testing.T) {
	o := testbedOptions{runners: 2, runner: standin.RunnerOptions{Plain: true}}
	t.Run("whole", func(t *testing.T) {
		runInTestbed(t, o, func(tb *testbed) {
			_, s := tb.streamChat(chatBody)
			s.expectComplete(t)
		})
	})
	t.Run("crash before the first byte", func(t *testing.T) {
		runInTestbed(t, o, func(tb *testbed) {
			tb.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultBeforeFirstByte})
			_, s := tb.streamChat(chatBody)
			s.expectComplete(t)
		})
	})
	t.Run("crash in mid-stream", func(t *testing.T) {
		runInTestbed(t, o, func(tb *testbed) {
			tb.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultMidStream, After: 3})
			_, s := tb.streamChat(chatBody)
			if s.done || s.err != gateway.CodeStreamCut || len(s.indices) != 3 {
				t.Errorf("stream ended with done %v, error %q after %v", s.done, s.err, s.indices)
			}
			if n := tb.runners[1].Stats().Requests; n != 0 {
				t.Errorf("the second runner received %d requests, want none", n)
			}
		})
	})
}

// An answer to an earlier attempt or to another request arrives on the connection
// of this request. None of its tokens may reach the caller.
func TestDropsMismatchedAnswer(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 2}, func(tb *testbed) {
		tb.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultWrongAttempt})
		_, s := tb.streamChat(chatBody)
		s.expectComplete(t)
		if rep := tb.observer.last(); rep.MismatchedAnswers != 1 || rep.Attempts != 2 {
			t.Errorf("report is %+v", rep)
		}
	})
}

// A new weight version is published while a stream is open, and then its runner
// crashes. The stream must be resumed with the version that it began with. If
// only the new version is available, it must end with an error instead of mixing
// the output of two versions.
func TestResumedStreamKeepsWeightVersion(t *testing.T) {
	tests := []struct {
		name          string
		changeRunners func(tb *testbed)
		complete      bool
	}{
		{"another runner has the old version", func(*testbed) {}, true},
		{"the only other runner has the new version and refuses", func(tb *testbed) { tb.runners[1].SetWeightVersion("v2") }, false},
		{"the only other runner answers with another version", func(tb *testbed) {
			tb.runners[1].InjectFaults(standin.Fault{Kind: standin.FaultWrongWeightVersion})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := testbedOptions{runners: 2, runner: standin.RunnerOptions{WeightVersion: "v1", Decode: time.Second}}
			runInTestbed(t, o, func(tb *testbed) {
				tb.runners[0].InjectFaults(standin.Fault{Kind: standin.FaultMidStream, After: 3})
				time.AfterFunc(2*time.Second, func() {
					m := testManifest()
					m.Models[0].Version = "v2"
					tb.publish(m)
					tt.changeRunners(tb)
				})
				_, s := tb.streamChat(chatBody)
				if tt.complete {
					s.expectComplete(t)
					return
				}
				if s.done || s.err != gateway.CodeStreamCut || len(s.indices) != 3 {
					t.Errorf("stream ended with done %v, error %q after %v", s.done, s.err, s.indices)
				}
			})
		})
	}
}

// A runner breaks its connection after it ran the request, before all bytes of
// the announced length were sent or before the answer. The caller must get the
// complete answer of another runner, not a truncated one.
func TestRetriesTruncatedAnswer(t *testing.T) {
	body := strings.Replace(chatBody, `"stream":true,`, "", 1)
	for _, kind := range []standin.FaultKind{standin.FaultContentLength, standin.FaultAfterRun} {
		runInTestbed(t, testbedOptions{runners: 2}, func(tb *testbed) {
			tb.runners[0].InjectFaults(standin.Fault{Kind: kind})
			a := tb.send(tb.newRequest(http.MethodPost, "/v1/chat/completions", registreKey, body))
			if a.status != http.StatusOK || a.err != nil || !strings.Contains(a.body, `"completion_tokens":8`) {
				t.Errorf("got %d %s %v", a.status, a.body, a.err)
			}
		})
	}
}

// A runner crashes and restarts with an empty cache under the same address. Its
// answers must report the new incarnation and no cached tokens, or later requests
// would be placed there for a cache that no longer exists.
func TestAnswersReportRunnerRestart(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 1}, func(tb *testbed) {
		tb.streamChat(chatBody)
		tb.streamChat(chatBody)
		tb.runners[0].Restart()
		tb.streamChat(chatBody)
		var got []engine.Metadata
		for _, res := range tb.observer.results {
			got = append(got, res.Meta)
		}
		if len(got) != 3 || got[1].CachedTokens == 0 || got[2].CachedTokens != 0 || got[1].Incarnation == got[2].Incarnation {
			t.Errorf("metadata of the answers is %+v", got)
		}
	})
}

// A caller closes its connection in mid-stream. The request must be cancelled at
// the engine, or it occupies a batch slot until the answer is complete.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	o := testbedOptions{runners: 2, runner: standin.RunnerOptions{Decode: time.Second}}
	runInTestbed(t, o, func(tb *testbed) {
		resp, err := tb.client.Do(tb.newRequest(http.MethodPost, "/v1/chat/completions", registreKey, chatBody))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond) // virtual
		_ = resp.Body.Close()
		time.Sleep(2 * time.Second) // virtual
		if s := tb.runners[0].Stats(); s.Cancelled != 1 || s.GeneratedTokens > 3 {
			t.Errorf("counters of the runner are %+v", s)
		}
		if rep := tb.observer.last(); !rep.CallerLeft || rep.Attempts != 1 || rep.Code != gateway.CodeCallerLeft {
			t.Errorf("report is %+v", rep)
		}
	})
}
