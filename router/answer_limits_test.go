package router

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/response"
)

// Guards against a budget that a setting makes too small for any long body, or larger than its
// part of the memory.
func TestAnswerBudgetFollowsFromMemory(t *testing.T) {
	const least = 8 << 20
	for memory, budget := range map[int64]int64{
		-1: least, 0: least, 1 << 20: least, 64 << 20: least, 144 << 20: 18 << 20, 1 << 40: 1 << 37,
	} {
		l := newAnswerLimits(newHeldBudget(memory), tally.NoopScope, discardLog())
		held := l.Hold()
		var exceeded *response.Error
		if err := held.Resize(budget); !errors.As(err, &exceeded) || exceeded.Limit != budget {
			t.Errorf("%d bytes of memory: %v, want a budget of %d", memory, err, budget)
		}
		if err := held.Resize(budget / 4); err != nil {
			t.Errorf("%d bytes of memory: a quarter of the budget: %v", memory, err)
		}
	}
}

// Guards against an exceeded limit that is not counted, and against lines without a bound while
// many endpoints exceed limits.
func TestExceededLimitsAreCountedAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logs, err := logging.NewFactory(&out, "info")
		if err != nil {
			t.Fatal(err)
		}
		counters := tally.NewTestScope("", nil)
		l := newAnswerLimits(newHeldBudget(1<<30), counters, logs.For(logging.ComponentRouter))
		const exceeded = 100
		for range exceeded {
			l.Observe("attempt", "a1", "e1", &response.Error{Bound: response.BoundHead, Limit: 5, Read: 6})
		}
		time.Sleep(time.Second)
		l.Observe("report", "", "e2", &response.Error{Bound: response.BoundBody, Limit: 7, Read: 8})
		counts := counters.Snapshot().Counters()
		if n := counts["answer_limits_exceeded+bound=head,reader=attempt"].Value(); n != exceeded {
			t.Errorf("%d were counted, want %d", n, exceeded)
		}
		text := out.String()
		if n := strings.Count(text, "Answer exceeds a limit."); n != limitLinesPerSecond+1 {
			t.Errorf("%d lines, want %d", n, limitLinesPerSecond+1)
		}
		for _, want := range []string{`"id":"a1","from":"e1","bound":"head","limit":5,"read":6`, `"reader":"report"`, `"answers":80`} {
			if !strings.Contains(text, want) {
				t.Errorf("no line has %s", want)
			}
		}
	})
}

// Guards against a malformed answer whose rule operators can't see.
func TestRulesOfMalformedAnswersAreCountedAndLogged(t *testing.T) {
	var out bytes.Buffer
	logs, err := logging.NewFactory(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	counters := tally.NewTestScope("", nil)
	l := newAnswerLimits(newHeldBudget(1<<30), counters, logs.For(logging.ComponentRouter))
	l.Observe("attempt", "a1", "e1", &response.Error{Bound: response.BoundSyntax, Rule: response.RuleName, Read: 20})
	if n := counters.Snapshot().Counters()["malformed_answers+reader=attempt,rule=name"].Value(); n != 1 {
		t.Errorf("%d were counted", n)
	}
	if want := `"id":"a1","from":"e1","bound":"syntax","limit":0,"read":20,"rule":"name"`; !strings.Contains(out.String(), want) {
		t.Errorf("no line has %s", want)
	}
}
