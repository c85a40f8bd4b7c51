package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/response"
)

// Guards against a malformed answer whose rule operators can't see, and against lines without a
// bound while an endpoint sends nothing else.
func TestRulesOfMalformedAnswersAreCountedAndLogged(t *testing.T) {
	var out bytes.Buffer
	logs, err := logging.NewFactory(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	counters := tally.NewTestScope("", nil)
	o := newObserver(counters, logs.For(logging.ComponentGateway))
	const answers = 100
	for range answers {
		o.Attempt(nil, &gateway.Placement{Endpoint: "e1"}, &gateway.AttemptResult{
			Outcome: gateway.AttemptFailed, Err: fmt.Errorf("attempt: %w", &response.Error{Bound: response.BoundSyntax, Rule: response.RuleStatus, Read: 12}),
		})
	}
	o.Attempt(nil, &gateway.Placement{}, &gateway.AttemptResult{Err: &response.Error{Bound: response.BoundHead}})
	if n := counters.Snapshot().Counters()["malformed_answers+reader=attempt,rule=status"].Value(); n != answers {
		t.Errorf("%d were counted", n)
	}
	if n := strings.Count(out.String(), `"endpoint":"e1","rule":"status","read":12`); n == 0 || n > 2*malformedPerSecond {
		t.Errorf("%d lines", n)
	}
}
